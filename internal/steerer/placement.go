package steerer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

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
	expected   time.Duration
	known      bool
	refusal    traffic.Refusal
	retryAfter time.Duration
}

// candidate is a server that may get a call.
type candidate struct {
	server *upstream
	score  float64
}

// place chooses the server that is expected to answer first. The first server
// in the object's order has the object at hand; others only if this instance
// has sent it there before.
func (s *Steerer) place(c *call) choice {
	if !c.until.After(s.now) {
		return choice{refusal: traffic.TooLate}
	}
	found := s.eligible(c)
	if len(found) == 0 {
		return choice{refusal: traffic.NoServer, retryAfter: startRetryAfter}
	}
	if c.request.Object != "" && c.route.Sticky {
		slices.SortFunc(found, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
		found = found[:min(len(found), objectServers)]
	}
	best := choice{refusal: traffic.Overloaded, retryAfter: maxRetryAfter}
	bestCost := time.Duration(math.MaxInt64)
	object := objectKey(c)
	for i, x := range found {
		u := x.server
		load := s.loadOf(u)
		if load >= float64(u.Slots)*(1+queuePart(c.route.Rank)) {
			continue
		}
		known := i == 0 || u.objects.knows(object, s.now)
		expected := s.expect(c, u, load, known && object != "")
		cost := expected + time.Duration(s.faultOf(u)*faultPenalty*float64(c.route.Target))
		if cost < bestCost {
			bestCost = cost
			best = choice{server: u, expected: expected, known: known}
		}
	}
	if best.server != nil && best.expected > c.until.Sub(s.now) && c.attempts == 0 && c.route.times.learned() {
		return choice{refusal: traffic.Overloaded, retryAfter: best.expected / 2}
	}
	return best
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

// eligible returns the servers that may get a call, with their places in the
// object's order.
func (s *Steerer) eligible(c *call) []candidate {
	v := s.service(c.service)
	shares := s.regionShares(v)
	found := make([]candidate, 0, len(v.servers))
	for _, u := range v.servers {
		if !s.usable(u) || c.tried[u.ID] || !allowedIn(c.route.Homes, u.region) {
			continue
		}
		weight := float64(u.Slots) * shares[u.region]
		found = append(found, candidate{server: u, score: v.placer.Score(c.request.Object, u.ID, weight)})
	}
	return found
}

func (s *Steerer) usable(u *upstream) bool {
	if u.Draining || u.misdirected || s.evacuated[u.Domain] || u.ejector.Ejected(s.now) {
		return false
	}
	return !s.cold(u) || u.pacer.Room(s.now, s.coldShare(u))
}

func allowedIn(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

// coldShare is the number of requests a second that this instance may send to
// a cold server. Instances divide the bound by a server's hash, so that the
// parts of all instances add up to it without messages.
func (s *Steerer) coldShare(u *upstream) int {
	v := s.policy.Services[u.Service]
	bounds := s.Settings.Bounds
	total := int(v.ColdRate*bounds.ColdFactor + bounds.ColdSlack)
	size := s.instances.size()
	share := total / size
	if s.hashOrder(u.ID) < total%size {
		share++
	}
	return share
}

// hashOrder is this instance's place among all in a server's order.
func (s *Steerer) hashOrder(server string) int {
	own := xxhash.Sum64String(server + "\x00" + s.Self.Name)
	before := 0
	for name := range s.instances.records {
		if name != s.Self.Name && xxhash.Sum64String(server+"\x00"+name) < own {
			before++
		}
	}
	return before
}
