package steerer

import (
	"slices"
	"time"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

const (
	// budgetPart keeps some of the shared slack of repeats for instances that
	// restart with a full one.
	budgetPart = 0.8
	// maxArrivals bounds the servers that one call may bother.
	maxArrivals = 4
	// maxAttempts bounds the tries of one call, unreachable servers included.
	maxAttempts = 6
	// minTimeLeft is the least time in which a repeat is worth its cost, as a
	// divisor of the expected time.
	minTimeLeft = 2
	// patienceFactor times the expected time, and at least minPatience more,
	// is how long an answer is waited for before its server is taken for slow.
	patienceFactor = 3
	minPatience    = 250 * time.Millisecond
)

// tryAgain goes to another server after an attempt without a good answer, or
// gives up; where another attempt is under way, that one decides.
func (s *Steerer) tryAgain(c *call, arrived bool, reason traffic.Refusal) {
	if len(c.open) > 0 {
		return
	}
	if s.mayRepeat(c, arrived) {
		s.try(c)
		return
	}
	s.giveUp(c, reason, startRetryAfter)
}

func patience(expected time.Duration) time.Duration {
	return max(patienceFactor*expected, expected+minPatience)
}

// overdue takes a server for slow that has not answered in time. An idempotent
// request is sent to a second server beside it while there is time for an
// answer (see mayRepeat); the first good one counts.
func (s *Steerer) overdue(e traffic.Overdue) {
	c := s.calls[e.Call]
	if c == nil || c.answered {
		return
	}
	i := slices.IndexFunc(c.open, func(a *attempt) bool { return a.number == e.Attempt })
	if i < 0 {
		return
	}
	a := c.open[i]
	waited := s.now.Sub(a.sentAt)
	if ratio := float64(waited) / float64(max(a.expected, time.Millisecond)); ratio > s.slownessOf(a.server) {
		s.observeSlowness(a.server, ratio)
	}
	if !c.route.Idempotent || len(c.open) > 1 {
		return
	}
	choice := s.place(c)
	if choice.server == nil || !s.mayRepeat(c, true) {
		return
	}
	s.recordHedge(c, a, choice)
	s.send(c, choice)
}

// mayRepeat reports whether a call may go to another server, and takes that
// from the budget if the first server counts as an arrival.
func (s *Steerer) mayRepeat(c *call, arrived bool) bool {
	if c.runs+len(c.open) >= c.route.MaxAttempts || c.arrivals >= maxArrivals || c.attempts >= maxAttempts {
		return false
	}
	if c.until.Sub(s.now) < c.route.times.expect(true)/minTimeLeft {
		return false
	}
	if !arrived {
		return true
	}
	b := &s.service(c.service).budget
	b.Fraction = s.Settings.Bounds.RetryRatio
	b.Burst = int(s.Settings.Bounds.RetrySlack * budgetPart / float64(s.instances.size()))
	return b.Withdraw()
}
