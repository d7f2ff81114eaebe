package steerer

import (
	"math"
	"time"
)

// backlog is what a server is expected to have to do still.
type backlog struct {
	// requests is the number of requests at the server.
	requests float64
	// work is the time that they still need in all, and excess the part of it that is known
	// to be more than as many usual requests would need.
	work, excess time.Duration
}

// backlogOf estimates what a server has to do still: exactly as far as this instance's own
// requests go, and for those of others by their number in the newest report and its age.
func (s *Steerer) backlogOf(u *upstream) backlog {
	others := s.othersAt(u)
	b := backlog{requests: float64(u.inFlight) + others}
	if others > 0 {
		b.work = time.Duration(others * float64(s.service(u.Service).work.MeanRemaining()))
	}
	for _, a := range u.running {
		remaining := a.times.Remaining(s.ranFor(a))
		b.work += remaining
		b.excess += max(0, remaining-a.times.Mean())
	}
	return b
}

// othersAt estimates the number of other instances' requests at a server: the number last
// reported, with a weight that decays with the report's age.
func (s *Steerer) othersAt(u *upstream) float64 {
	if !u.load.Known {
		return 0
	}
	others := max(0, float64(u.load.Running)+float64(u.load.Waiting)-float64(u.ownLoad))
	return others * math.Exp(-float64(s.now.Sub(u.loadAt))/float64(loadDecay))
}

// waitAt returns how long a call is expected to wait until a server begins to work on it.
// Slots become free at the rate at which usual requests end, and later by what the requests
// at the server are known to need beyond that.
func (s *Steerer) waitAt(c *call, u *upstream, b backlog) time.Duration {
	waiting := b.requests - float64(u.Slots) + 1
	if waiting <= 0 {
		return 0
	}
	work := waiting*float64(c.route.workTimes.mean(true)) + float64(b.excess)
	wait := work / float64(u.Slots) * s.slownessOf(u)
	return time.Duration(min(wait, float64(maxExpected)))
}
