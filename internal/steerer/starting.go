package steerer

import (
	"slices"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// Reasons for which an attempt is withdrawn, beside the obstacles of its server.
const (
	withdrawnEnded  = "the call has ended"
	withdrawnGone   = "the server is gone"
	withdrawnPolicy = "the configuration has changed"
	withdrawnKeys   = "the keys may be outdated"
	withdrawnStop   = "the instance is stopping"
	withdrawnQuota  = "the token has expired"
)

// handleStarting decides whether an attempt may be sent now that its first byte is due. It
// may have been held up since it was decided on, and what has been learned since counts.
func (s *Steerer) handleStarting(e traffic.Starting) {
	c := s.calls[e.Call]
	if c == nil {
		return
	}
	a := c.pendingAttempt(e.Attempt)
	if a == nil {
		return
	}
	if reason := s.withdrawalReason(c, a); reason != "" {
		s.recordWithdrawal(c, a, reason)
		return
	}
	s.emit(traffic.Start{})
}

// withdrawalReason returns why an attempt may no longer be sent, or an empty string if it
// may.
func (s *Steerer) withdrawalReason(c *call, a *attempt) string {
	u := a.server
	switch {
	case c.answered || c.expired:
		return withdrawnEnded
	case s.upstreams[u.ID] != u:
		return withdrawnGone
	case !s.policyAllows(c), !c.mayRunIn(u.region):
		return withdrawnPolicy
	case c.organisation != nil && s.keysOutdated():
		return withdrawnKeys
	case !s.maySend(c):
		return withdrawnStop
	case a.token.outlived(s.now):
		return withdrawnQuota
	}
	return s.obstacle(u)
}

// policyAllows reports whether the policy in force still sends a call to the service that
// was chosen for it.
func (s *Steerer) policyAllows(c *call) bool {
	if c.policyNumber == s.policyNumber {
		return true
	}
	if s.match(c.request.HostName, c.request.Path) != c.route || !c.route.sendsTo(c.service) {
		return false
	}
	o, ok := s.identify(c.route, c.request.Key)
	return ok && o == c.organisation
}

// sendsTo reports whether a part of the route's calls goes to a service.
func (r *route) sendsTo(service string) bool {
	return slices.ContainsFunc(r.Shares, func(share traffic.Share) bool { return share.Service == service && share.Weight > 0 })
}

// followPolicy chooses a call's route, organisation and service anew if the policy in force
// no longer allows those that it has. It returns why there are none any more, or an empty
// refusal.
func (s *Steerer) followPolicy(c *call) traffic.Refusal {
	if s.policyAllows(c) {
		c.policyNumber = s.policyNumber
		return ""
	}
	r := s.match(c.request.HostName, c.request.Path)
	if r == nil {
		return traffic.NoRoute
	}
	o, ok := s.identify(r, c.request.Key)
	if !ok {
		return traffic.Unidentified
	}
	c.route, c.organisation = r, o
	c.idempotent = c.idempotent && s.isIdempotent(c)
	s.chooseService(c)
	return ""
}

// chooseService deals a call out to one of its route's services.
func (s *Steerer) chooseService(c *call) {
	c.policyNumber = s.policyNumber
	c.service = c.route.Shares[max(c.route.splitter.Next(c.route.weights), 0)].Service
	s.retryBudget(c.service).Deposit()
}
