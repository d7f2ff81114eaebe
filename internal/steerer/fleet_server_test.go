package steerer

import (
	"slices"
	"time"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

type simServer struct {
	traffic.Upstream
	region  string
	running int
	queue   []*simAttempt
	// cached holds the objects in the server's cache, the least recently used first.
	cached    []string
	cacheSize int
	// slowdown multiplies the time of all work.
	slowdown float64
	// pace, if set, multiplies the time of work that starts now. It is part of the load
	// reports if reportsPace is set.
	pace        float64
	reportsPace bool
	// rejectRate is the fraction of requests that the server rejects.
	rejectRate float64
	// down servers refuse connections.
	down     bool
	executed int
}

type simAttempt struct {
	instance *testBench
	send     traffic.Send
	call     *simCall
	sentAt   time.Time
	running  bool
	// startedAt is when the server began to work on it.
	startedAt time.Time
	// ended is set once the instance has the outcome.
	ended bool
}

// abort closes the connection of a request that has no response. The server stops
// working on it.
func (f *fleet) abort(a *simAttempt, err error) {
	if a.ended {
		return
	}
	a.ended = true
	f.deliver(a.instance, traffic.Ended{Call: a.send.Call, Attempt: a.send.Attempt, Outcome: traffic.Outcome{Fate: traffic.Unknown, Err: err}})
	f.schedule(f.delay(a.instance, a.send.Upstream.ID), func() {
		if s := f.servers[a.send.Upstream.ID]; a.running {
			a.running = false
			f.worked += f.now.Sub(a.startedAt)
			f.wasted += f.now.Sub(a.startedAt)
			s.running--
			f.startQueued(s)
		}
	})
}

func (f *fleet) receive(a *simAttempt) {
	s := f.servers[a.send.Upstream.ID]
	switch {
	case a.ended:
	case s.down:
		// The connection is refused.
		f.respond(a, traffic.Outcome{Fate: traffic.NotRun, Unreachable: true})
	case len(s.queue) >= 3*s.Slots || f.random.Float64() < s.rejectRate:
		f.respond(a, traffic.Outcome{Fate: traffic.NotRun, Reply: traffic.Reply{Status: 503, NotRun: true, Load: s.load()}})
	case s.running >= s.Slots:
		s.queue = append(s.queue, a)
	default:
		f.execute(s, a)
	}
}

func (s *simServer) load() traffic.Load {
	load := traffic.Load{Known: true, Running: s.running, Waiting: len(s.queue), Slots: s.Slots}
	if s.reportsPace {
		load.Pace = s.pace
	}
	return load
}

func (f *fleet) execute(s *simServer, a *simAttempt) {
	s.running++
	s.executed++
	a.running = true
	a.startedAt = f.now
	work := float64(a.call.kind.work) * s.slowdown * (0.85 + 0.3*f.random.Float64())
	if s.pace > 0 {
		work *= s.pace
	}
	key := a.call.kind.path + a.call.object
	if slices.Contains(s.cached, key) {
		work *= simCachedFraction
	}
	if a.call.kind.tailShare > 0 && f.random.Float64() < a.call.kind.tailShare {
		work *= a.call.kind.tailFactor
	}
	f.schedule(time.Duration(work), func() {
		if !a.running {
			return
		}
		a.running = false
		f.worked += f.now.Sub(a.startedAt)
		s.running--
		s.cache(key)
		load := s.load()
		f.respond(a, traffic.Outcome{Fate: traffic.Ran, Reply: traffic.Reply{Status: 200, Signed: true, Load: load}})
		f.startQueued(s)
	})
}

func (s *simServer) cache(key string) {
	if i := slices.Index(s.cached, key); i >= 0 {
		s.cached = slices.Delete(s.cached, i, i+1)
	}
	s.cached = append(s.cached, key)
	if len(s.cached) > s.cacheSize {
		s.cached = s.cached[1:]
	}
}

func (f *fleet) startQueued(s *simServer) {
	for len(s.queue) > 0 && s.running < s.Slots {
		a := s.queue[0]
		s.queue = s.queue[1:]
		if a.ended {
			continue
		}
		if !f.now.Before(a.send.Deadline) {
			f.respond(a, traffic.Outcome{Fate: traffic.NotRun, Reply: traffic.Reply{Status: 503, NotRun: true, Load: s.load()}})
			continue
		}
		f.execute(s, a)
	}
}

func (f *fleet) respond(a *simAttempt, o traffic.Outcome) {
	delay := f.delay(a.instance, a.send.Upstream.ID)
	f.schedule(delay, func() {
		if a.ended {
			return
		}
		a.ended = true
		o.Connected = 2 * delay
		o.Took = o.Connected + f.now.Sub(a.sentAt)
		f.deliver(a.instance, traffic.Ended{Call: a.send.Call, Attempt: a.send.Attempt, Outcome: o})
	})
}
