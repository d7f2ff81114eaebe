package steerer

import (
	"github.com/yuccathread/yuccathread/internal/budgeter"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

const (
	// budgetFraction is the fraction of the shared retry slack that instances use. The
	// rest is for retries that are held up and arrive within a later window.
	budgetFraction = 0.8
	// maxReceived bounds the attempts of one call that reach a server, and with them
	// the load that one call puts on the servers.
	maxReceived = 4
	// maxAttempts bounds the attempts of one call, including those at unreachable
	// servers.
	maxAttempts = 6
	// A retry is worth its cost only if the remaining time is at least the mean work
	// time of cached objects divided by minTimeDivisor.
	minTimeDivisor = 2
)

// retry sends a call to another server after a failed attempt, or gives it up. It
// does nothing while another attempt is pending.
func (s *Steerer) retry(c *call, received bool, reason traffic.Refusal) {
	if len(c.pending) > 0 {
		return
	}
	if s.allowRetry(c, received) {
		s.dispatch(c)
		return
	}
	s.giveUp(c, reason, defaultRetryAfter)
}

// allowRetry reports whether a call may be sent to another server. If the last
// attempt reached its server, it also withdraws the retry from the budget.
func (s *Steerer) allowRetry(c *call, received bool) bool {
	if c.expired {
		return false
	}
	if c.executions+len(c.pending) >= c.route.MaxAttempts || c.received >= maxReceived || c.attempts >= maxAttempts {
		return false
	}
	if c.deadline.Sub(s.now) < c.route.workTimes.mean(true)/minTimeDivisor {
		return false
	}
	if !received {
		return true
	}
	return s.retryBudget(c.service).Withdraw()
}

// retryBudget returns this instance's retry budget for a service, with its present share
// of the burst. It starts empty: the process that this one follows may have spent its
// share within the same window, and other instances may not know of this one yet.
func (s *Steerer) retryBudget(service string) *budgeter.Budgeter {
	b := &s.service(service).budget
	b.StartsEmpty = true
	b.Fraction = s.Settings.Bounds.RetryRatio
	b.Burst = int(s.Settings.Bounds.RetrySlack * budgetFraction / float64(s.instances.size()))
	return b
}
