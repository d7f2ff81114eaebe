package steerer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

const (
	// regionDelay is the time of a request to another region and back.
	regionDelay = 110 * time.Millisecond
	// coldSlowness is how much longer cold servers take.
	coldSlowness = 2
	// faultPenalty is what a server that fails everything costs, in target
	// latencies.
	faultPenalty = 3
)

// objectServers is the number of servers among which an object's requests are
// spread: more would push each other's objects out of the servers' memory.
const objectServers = 2

// queueParts is the number of waiting requests that a rank accepts at a server,
// in parts of its slots; less urgent ranks leave room for the others.
var queueParts = [...]float64{1.5, 1.0, 0.6}

// choice is where a call goes, or why it goes nowhere.
type choice struct {
	server     *upstream
	refusal    traffic.Refusal
	retryAfter time.Duration
	// estimate is that of the chosen server, or of the best one that was refused.
	estimate
	// eligible is the number of servers among which the choice was made.
	eligible int
}

// estimate is what is expected of a server for one call, and why.
type estimate struct {
	expected time.Duration
	// known is set where the server is expected to have the object at hand.
	known bool
	// load is the number of requests believed to be at the server; the part of
	// other instances was reported so long ago.
	load    float64
	loadAge time.Duration
}

// candidate is a server that may get a call.
type candidate struct {
	server *upstream
	score  float64
}

// place chooses the server that is expected to answer first.
func (s *Steerer) place(c *call) choice {
	if !c.until.After(s.now) {
		return choice{refusal: traffic.TooLate}
	}
	found, first := s.order(c)
	if len(found) == 0 {
		return choice{refusal: traffic.NoServer, retryAfter: startRetryAfter}
	}
	best := s.cheapest(c, found, first)
	if best.server != nil && best.expected > c.until.Sub(s.now) && c.attempts == 0 && c.route.times.learned() {
		best.server = nil
		best.retryAfter = best.expected / 2
	}
	return best
}

// order returns the servers that may get a call now, and the first in the
// object's order, which is expected to have the object at hand; others only if
// this instance has sent it there before.
func (s *Steerer) order(c *call) (found []candidate, first *upstream) {
	found = s.eligible(c)
	spread := c.request.Object == "" || !c.route.Sticky
	if !spread && len(found) > 0 {
		slices.SortFunc(found, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
		first = found[0].server
	}
	found = slices.DeleteFunc(found, func(x candidate) bool { return c.tried[x.server.ID] })
	if !spread {
		found = found[:min(len(found), objectServers)]
	}
	return found, first
}

// cheapest returns the server with the least expected time, failures priced
// in, among those that have room for the call's rank.
func (s *Steerer) cheapest(c *call, found []candidate, first *upstream) choice {
	best := choice{refusal: traffic.Overloaded, retryAfter: maxRetryAfter, eligible: len(found)}
	bestCost := time.Duration(math.MaxInt64)
	for _, x := range found {
		u := x.server
		e := s.estimate(c, u, u == first)
		if e.load >= float64(u.Slots)*(1+queuePart(c.route.Rank)) {
			if best.server == nil && (best.expected == 0 || e.expected < best.expected) {
				best.estimate = e
			}
			continue
		}
		cost := e.expected + time.Duration(s.faultOf(u)*faultPenalty*float64(c.route.Target))
		if cost < bestCost {
			bestCost = cost
			best.server = u
			best.estimate = e
		}
	}
	return best
}

// estimate works out what is expected of a server; first is set for the first
// in the object's order.
func (s *Steerer) estimate(c *call, u *upstream, first bool) estimate {
	object := objectKey(c)
	e := estimate{load: s.loadOf(u), known: object != "" && (first || u.objects.knows(object, s.now))}
	if u.load.Known {
		e.loadAge = s.now.Sub(u.loadAt)
	}
	e.expected = s.expect(c, u, e.load, e.known)
	return e
}

func queuePart(rank int) float64 {
	return queueParts[min(rank, len(queueParts)-1)]
}

// expect is the time until a server's answer is here.
func (s *Steerer) expect(c *call, u *upstream, load float64, known bool) time.Duration {
	work := float64(c.route.times.expect(known)) * s.slownessOf(u)
	if s.cold(u) {
		work *= coldSlowness
	}
	if waiting := load - float64(u.Slots) + 1; waiting > 0 {
		work += waiting / float64(u.Slots) * float64(c.route.times.expect(true)) * s.slownessOf(u)
	}
	expected := time.Duration(work)
	if u.region != s.Self.Region {
		expected += regionDelay
	}
	return expected
}
