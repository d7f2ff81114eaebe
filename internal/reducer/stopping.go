package reducer

import (
	"time"

	"github.com/yuccathread/yuccathread/internal/message"
)

// cacheGrace is added to the look-up TTL before work is refused on the way out.
const cacheGrace = time.Second

// stopping is the state of a graceful shutdown.
type stopping struct {
	active  bool
	since   time.Time
	closing time.Time
	done    bool
}

// refuses reports whether cached look-up answers are over, so that work that
// still comes is refused.
func (s *stopping) refuses(now time.Time) bool {
	return s.active && !now.Before(s.closing)
}

// stopRequested starts a graceful shutdown: look-ups name this instance no
// more, its servers go to others, callers with cached answers are still served.
func (r *Reducer) stopRequested() {
	if r.stopping.active {
		return
	}
	r.stopping.active = true
	r.stopping.since = r.now
	r.stopping.closing = r.now.Add(cacheGrace)
	if r.policy != nil {
		r.stopping.closing = r.stopping.closing.Add(r.policy.LookUp.TTL.Duration)
	}
	r.note("stopping", "", r.Self.Name, "requested", "")
	r.schedules.gossip = time.Time{}
	r.plan()
	r.checkStop()
}

// checkStop exits once cached answers are over and no work is left, or at the
// time limit.
func (r *Reducer) checkStop() {
	if !r.stopping.active || r.stopping.done {
		return
	}
	late := r.now.Sub(r.stopping.since) >= r.StopLimit
	idle := r.stopping.refuses(r.now) && len(r.works) == 0
	if !idle && !late {
		return
	}
	r.stopping.done = true
	r.note("stopped", "", r.Self.Name, "", "took="+r.now.Sub(r.stopping.since).String())
	r.emit(message.Exit{InFlight: len(r.works)})
}
