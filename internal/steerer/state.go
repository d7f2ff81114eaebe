package steerer

import (
	"math"
	"slices"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// Ready reports whether callers may use this instance: the policy, the servers and
// the instances are known, the listener for callers is open, and no stop was
// requested.
func (s *Steerer) Ready() bool {
	return s.Synced() && s.serving && s.stoppingSince.IsZero()
}

// Synced reports whether the policy, the servers and the instances are
// known. Shares of bounds that all instances keep together come later (hasShares).
func (s *Steerer) Synced() bool {
	return s.policy != nil && s.upstreamsListed && s.instancesListed
}

// KnowsInstances reports whether the first read of the store has told which instances there
// are.
func (s *Steerer) KnowsInstances() bool {
	return s.instancesListed
}

// Limits returns the current policy's limits on requests.
func (s *Steerer) Limits() traffic.Limits {
	if s.policy == nil {
		return traffic.Limits{}
	}
	return s.policy.Limits
}

// Rank returns the rank of a request that has not arrived yet; one without a route is less
// urgent than all others.
func (s *Steerer) Rank(r traffic.Request) int {
	route := s.match(r.HostName, r.Path)
	if route == nil {
		return math.MaxInt
	}
	o, ok := s.identify(route, r.Key)
	if !ok {
		return math.MaxInt
	}
	return rankOf(route, o)
}

// MayRepeat reports whether a request that has not arrived yet may run more than once.
func (s *Steerer) MayRepeat(r traffic.Request) bool {
	route := s.match(r.HostName, r.Path)
	return route != nil && s.isIdempotent(&call{request: r, route: route})
}

// InFlight returns the number of calls that are not finished.
func (s *Steerer) InFlight() int {
	return len(s.calls)
}

// Forget ends a call whose last event can't be handled. Its attempts that have been sent count
// until they end; those that this event was to send never will be.
func (s *Steerer) Forget(call uint64) {
	c := s.calls[call]
	if c == nil {
		return
	}
	for _, a := range slices.Clone(c.pending) {
		if a.reduction == s.reductions {
			c.removeAttempt(a.number)
			a.server.remove(a)
		}
	}
	c.answered = true
	s.removeIfDone(c)
}
