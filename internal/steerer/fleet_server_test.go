package steerer

import (
	"slices"
	"time"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

type modelServer struct {
	traffic.Upstream
	region  string
	running int
	queue   []*modelWork
	// atHand holds the objects that the server knows, the oldest first.
	atHand []string
	keeps  int
	slow   float64
	shed   float64
	dead   bool
	ran    int
}

type modelWork struct {
	instance *bench
	send     traffic.Send
	call     *modelCall
	running  bool
	// ended is set once the instance has an outcome.
	ended bool
}

// cut closes the connection of a request without an answer; the server drops it.
func (f *fleet) cut(w *modelWork, err error) {
	if w.ended {
		return
	}
	w.ended = true
	f.give(w.instance, traffic.Ended{Call: w.send.Call, Attempt: w.send.Attempt, Outcome: traffic.Outcome{Fate: traffic.Unknown, Err: err}})
	f.at(f.way(w.instance, w.send.Upstream.ID), func() {
		if s := f.servers[w.send.Upstream.ID]; w.running {
			w.running = false
			s.running--
			f.next(s)
		}
	})
}

func (f *fleet) reach(w *modelWork) {
	s := f.servers[w.send.Upstream.ID]
	switch {
	case w.ended:
	case s.dead:
		// Its connections are refused.
		f.answer(w, traffic.Outcome{Fate: traffic.NotRun, Unreachable: true})
	case len(s.queue) >= 3*s.Slots || f.random.Float64() < s.shed:
		f.answer(w, traffic.Outcome{Fate: traffic.NotRun, Reply: traffic.Reply{Status: 503, NotRun: true, Load: s.load()}})
	case s.running >= s.Slots:
		s.queue = append(s.queue, w)
	default:
		f.start(s, w)
	}
}

func (s *modelServer) load() traffic.Load {
	return traffic.Load{Known: true, Running: s.running, Waiting: len(s.queue), Slots: s.Slots}
}

func (f *fleet) start(s *modelServer, w *modelWork) {
	s.running++
	s.ran++
	w.running = true
	work := float64(w.call.kind.work) * s.slow * (0.85 + 0.3*f.random.Float64())
	key := w.call.kind.path + w.call.object
	if slices.Contains(s.atHand, key) {
		work *= modelGain
	}
	f.at(time.Duration(work), func() {
		if !w.running {
			return
		}
		w.running = false
		s.running--
		s.learn(key)
		load := s.load()
		f.answer(w, traffic.Outcome{Fate: traffic.Ran, Reply: traffic.Reply{Status: 200, Signed: true, Load: load}})
		f.next(s)
	})
}

func (s *modelServer) learn(key string) {
	if i := slices.Index(s.atHand, key); i >= 0 {
		s.atHand = slices.Delete(s.atHand, i, i+1)
	}
	s.atHand = append(s.atHand, key)
	if len(s.atHand) > s.keeps {
		s.atHand = s.atHand[1:]
	}
}

func (f *fleet) next(s *modelServer) {
	for len(s.queue) > 0 && s.running < s.Slots {
		w := s.queue[0]
		s.queue = s.queue[1:]
		if w.ended {
			continue
		}
		if !f.now.Before(w.send.Deadline) {
			f.answer(w, traffic.Outcome{Fate: traffic.NotRun, Reply: traffic.Reply{Status: 503, NotRun: true, Load: s.load()}})
			continue
		}
		f.start(s, w)
	}
}

func (f *fleet) answer(w *modelWork, o traffic.Outcome) {
	way := f.way(w.instance, w.send.Upstream.ID)
	f.at(way, func() {
		if w.ended {
			return
		}
		w.ended = true
		o.Took = f.now.Sub(w.send.Deadline.Add(-w.call.kind.deadline * 2 / 3))
		f.give(w.instance, traffic.Ended{Call: w.send.Call, Attempt: w.send.Attempt, Outcome: o})
	})
}
