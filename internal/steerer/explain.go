package steerer

import (
	"github.com/yuccathread/yuccathread/internal/traffic"
)

// handleExplanation explains where a request would go now. It takes nothing from any rate or
// budget.
func (s *Steerer) handleExplanation(r traffic.Request) {
	c := &call{request: r, readAt: s.now, explained: true}
	x := traffic.Explanation{Version: s.Version(), Refusal: s.admit(c)}
	if c.route != nil {
		x.Route, x.Rank, x.TimeoutMS = c.route.Name, c.rank(), traffic.Milliseconds(c.route.Timeout)
		x.Organisation = c.organisationName()
	}
	if x.Refusal != "" {
		s.emit(x)
		return
	}
	x.Idempotent = c.idempotent
	for _, share := range c.route.Shares {
		c.service = share.Service
		x.Services = append(x.Services, s.explainService(c, share))
	}
	s.emit(x)
}

func (s *Steerer) explainService(c *call, share traffic.Share) traffic.ServiceExplanation {
	x := traffic.ServiceExplanation{Service: share.Service, Weight: share.Weight}
	c.claim = roomClaim{}
	chosen := s.place(c)
	if chosen.server != nil {
		x.Server = chosen.server.ID
	} else {
		x.Refusal, x.RetryAfterMS = chosen.refusal, traffic.Milliseconds(chosen.retryAfter)
	}
	found, preferred := s.candidates(c)
	for _, f := range found {
		x.Servers = append(x.Servers, s.explainServer(c, f.server, f.server == preferred))
	}
	for _, u := range s.service(c.service).servers {
		reason := s.obstacleNow(c, u)
		if reason == "" {
			continue
		}
		if x.Obstacles == nil {
			x.Obstacles = make(map[string]int)
		}
		x.Obstacles[reason]++
	}
	return x
}

func (s *Steerer) explainServer(c *call, u *upstream, preferred bool) traffic.ServerExplanation {
	e := s.estimate(c, u, preferred)
	return traffic.ServerExplanation{
		ID:          u.ID,
		Domain:      u.Domain,
		Preferred:   preferred,
		Cached:      e.cached,
		Load:        e.load,
		Slots:       u.Slots,
		LoadAgeMS:   traffic.Milliseconds(e.loadAge),
		ExpectedMS:  traffic.Milliseconds(e.expected),
		FailureRate: s.failureRateOf(u),
	}
}
