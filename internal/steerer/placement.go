package steerer

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"github.com/yuccathread/yuccathread/internal/apportioner"
	"github.com/yuccathread/yuccathread/internal/measurer"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

const (
	// initialRoundTrip is the network round-trip time to another region until a
	// connection to it has been opened.
	initialRoundTrip = 50 * time.Millisecond
	// coldSlowdown is how many times longer a cold server takes.
	coldSlowdown = 2
	// failurePenalty is the time, in target latencies, added to the cost of a server
	// whose failure rate is 1.
	failurePenalty = 3
	// maxExpected bounds expected times, so that sums of them do not overflow.
	maxExpected = time.Hour
)

// serversPerObject is the number of servers among which an object's requests are
// spread. With more, the objects would evict each other from the servers' caches.
const serversPerObject = 2

// queueFractions holds, for each rank, the longest queue that a server may have to
// get a request of that rank, as a fraction of the server's slots. Less urgent ranks
// leave room for more urgent ones.
var queueFractions = [...]float64{1.5, 1.0, 0.6}

// choice is the server chosen for a call, or the reason why there is none.
type choice struct {
	server     *upstream
	refusal    traffic.Refusal
	retryAfter time.Duration
	// estimate is that of the chosen server, or of the fastest one if all are
	// overloaded.
	estimate
	// alternative is the expected response time of the next best server, or zero if there is
	// none.
	alternative time.Duration
	// eligible is the number of servers that were compared.
	eligible int
	// beyondShare is set if the best server has room only for organisations within their share.
	beyondShare bool
	// obstacles counts the service's servers by the reason why each may not get the call, if
	// none may.
	obstacles map[string]int
}

// estimate is a server's expected response time for one call and what it is based
// on.
type estimate struct {
	expected time.Duration
	// wait is the part of it that passes before the server begins to work, and work the part
	// for which it works.
	wait, work time.Duration
	// cached is set if the server is expected to have the object in its cache.
	cached bool
	// load is the estimated number of requests at the server, and loadAge the age
	// of the report that it is based on.
	load    float64
	loadAge time.Duration
	// remaining is the work that the server has to do still.
	remaining time.Duration
}

// candidate is a server that may get a call.
type candidate struct {
	server *upstream
	score  float64
}

// place chooses the server with the lowest cost. Once the route's work times are
// reliable, it chooses none for a first attempt that is expected to miss the call's
// deadline.
func (s *Steerer) place(c *call) choice {
	if !c.deadline.After(s.now) {
		return choice{refusal: traffic.TooLate}
	}
	if !s.maySend(c) {
		return choice{refusal: traffic.Stopping, retryAfter: stoppingRetryAfter}
	}
	found, preferred := s.candidates(c)
	if len(found) == 0 {
		return s.noChoice(c)
	}
	best := s.cheapest(c, found, preferred)
	if best.server != nil && !s.expectedInTime(c, best.expected) && c.attempts == 0 && c.route.workTimes.reliable() {
		return s.noServerInTime(c, best)
	}
	return best
}

// noChoice explains why no server may get a call: all are at the limits that they name or
// want a pause, and the caller is told when the next request fits, or none is available.
func (s *Steerer) noChoice(c *call) choice {
	wait := time.Duration(math.MaxInt64)
	obstacles := make(map[string]int)
	for _, u := range s.service(c.service).servers {
		if reason := s.obstacleNow(c, u); reason != "" {
			obstacles[reason]++
		}
		if !c.mayRunIn(u.region) || c.tried[u.ID] {
			continue
		}
		if serverWait, waits := s.waitFor(c, u); waits {
			wait = min(wait, serverWait)
		}
	}
	if wait == math.MaxInt64 {
		return choice{refusal: traffic.NoServer, retryAfter: defaultRetryAfter, obstacles: obstacles}
	}
	return choice{refusal: traffic.Overloaded, retryAfter: wait, obstacles: obstacles}
}

// waitFor returns the time until a server may get a call. waits is false if that is not a
// matter of time.
func (s *Steerer) waitFor(c *call, u *upstream) (wait time.Duration, waits bool) {
	switch s.obstacle(u) {
	case obstaclePause:
		return spread(u.notice.pausedUntil.Sub(s.now), c.request.ID), true
	case "":
		return s.limitWait(u)
	}
	return 0, false
}

// spread returns a wait that is up to half as long again, so that callers that are refused
// together do not come back together.
func spread(wait time.Duration, seed string) time.Duration {
	const steps = 1 << 10
	return wait + wait/2*time.Duration(apportioner.Hash("", seed)%steps)/steps
}

// candidates returns the servers to compare for a call, and the object's preferred
// server, which has the lowest score and is expected to have the object in its
// cache. Other servers are expected to have it only if this instance has sent them
// a request for it before.
func (s *Steerer) candidates(c *call) (found []candidate, preferred *upstream) {
	if c.request.Object == "" || !c.route.Sticky {
		found = slices.DeleteFunc(s.eligible(c), func(x candidate) bool { return !s.hasRoom(x.server) || c.tried[x.server.ID] })
		return found, nil
	}
	// Whether a server has room is asked of the first ones only, since it costs more than
	// all else.
	queue := byScore(s.eligible(c))
	heap.Init(&queue)
	for len(queue) > 0 && len(found) < serversPerObject {
		next := heap.Pop(&queue).(candidate)
		if !s.hasRoom(next.server) {
			continue
		}
		if preferred == nil {
			preferred = next.server
		}
		if !c.tried[next.server.ID] {
			found = append(found, next)
		}
	}
	return found, preferred
}

// byScore is a heap of candidates. It implements heap.Interface.
type byScore []candidate

// Len implements sort.Interface.
func (h byScore) Len() int { return len(h) }

// Less implements sort.Interface.
func (h byScore) Less(i, j int) bool { return h[i].score < h[j].score }

// Swap implements sort.Interface.
func (h byScore) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *byScore) Push(x any) { *h = append(*h, x.(candidate)) }

// Pop implements heap.Interface.
func (h *byScore) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// cheapest returns the server with the lowest cost among those whose queue is short
// enough for the call's rank. The cost is the expected time plus a penalty for the
// server's failure rate.
func (s *Steerer) cheapest(c *call, found []candidate, preferred *upstream) choice {
	best := choice{refusal: traffic.Overloaded, retryAfter: maxRetryAfter, eligible: len(found)}
	bestCost := time.Duration(math.MaxInt64)
	for _, x := range found {
		u := x.server
		e := s.estimate(c, u, u == preferred)
		if e.load >= float64(u.Slots)*(1+queueFraction(c.rank())) {
			if best.server == nil && (best.expected == 0 || e.expected < best.expected) {
				best.estimate = e
			}
			continue
		}
		cost := e.expected + time.Duration(s.failureRateOf(u)*failurePenalty*float64(c.route.Target))
		if cost < bestCost {
			best.alternative = 0
			if best.server != nil {
				best.alternative = best.expected
			}
			bestCost = cost
			best.server = u
			best.estimate = e
		} else if best.alternative == 0 || e.expected < best.alternative {
			best.alternative = e.expected
		}
	}
	return s.withinShare(c, best, preferred)
}

// estimate returns a server's expected response time for a call. preferred is set
// for the object's preferred server.
func (s *Steerer) estimate(c *call, u *upstream, preferred bool) estimate {
	object := objectKey(c)
	b := s.backlogOf(u)
	e := estimate{load: b.requests, remaining: b.work, cached: object != "" && (preferred || u.objects.contains(object, s.now))}
	if u.load.Known {
		e.loadAge = s.now.Sub(u.loadAt)
	}
	e.wait = s.waitAt(c, u, b)
	e.work = s.workAt(c, u, e.cached)
	e.expected = e.wait + e.work + s.roundTrip(u).Value()
	return e
}

func queueFraction(rank int) float64 {
	return queueFractions[min(rank, len(queueFractions)-1)]
}

// workAt returns how long a server is expected to work on a call.
func (s *Steerer) workAt(c *call, u *upstream, cached bool) time.Duration {
	work := float64(c.route.workTimes.mean(cached)) * s.slownessOf(u)
	if s.isCold(u) {
		work *= coldSlowdown
	}
	return time.Duration(min(work, float64(maxExpected)))
}

// roundTrip returns the measured round-trip time to a server's failure domain.
func (s *Steerer) roundTrip(u *upstream) *measurer.Measurer {
	m := s.roundTrips[u.Domain]
	if m == nil {
		m = &measurer.Measurer{}
		if u.region != s.Self.Region {
			m.Initial = initialRoundTrip
		}
		s.roundTrips[u.Domain] = m
	}
	return m
}
