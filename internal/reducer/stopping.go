package reducer

import (
	"time"

	"github.com/yuccathread/yuccathread/internal/message"
)

// lookUpCacheGrace is added to the look-up TTL to get the time after which a
// stopping instance refuses work.
const lookUpCacheGrace = time.Second

// stopping is the state of a graceful shutdown.
type stopping struct {
	active     bool
	since      time.Time
	refuseFrom time.Time
	// waitedForRequests is set once requests were left when no look-up named the instance
	// any more.
	waitedForRequests bool
	done              bool
}

// refusesWork reports whether the instance is stopping and cached look-up
// answers that name it have expired.
func (s *stopping) refusesWork(now time.Time) bool {
	return s.active && !now.Before(s.refuseFrom)
}

// handleStopRequested starts a graceful shutdown: look-ups no longer return this
// instance and its servers go to others, but callers with cached look-up
// answers are still served.
func (r *Reducer) handleStopRequested() {
	if r.stopping.active {
		return
	}
	r.stopping.active = true
	r.stopping.since = r.now
	r.stopping.refuseFrom = r.now.Add(lookUpCacheGrace)
	if r.policy != nil {
		r.stopping.refuseFrom = r.stopping.refuseFrom.Add(r.policy.LookUp.TTL.Duration)
	}
	r.record("stopping", "", r.Self.Name, "requested", "")
	r.schedules.gossip = time.Time{}
	r.planTable()
	r.checkStop()
}

// checkStop exits once cached look-up answers have expired and no request is
// left, or when StopLimit is reached.
func (r *Reducer) checkStop() {
	if !r.stopping.active || r.stopping.done {
		return
	}
	timedOut := r.now.Sub(r.stopping.since) >= r.StopLimit
	refusesWork := r.stopping.refusesWork(r.now)
	idle := refusesWork && len(r.pending) == 0
	if !idle && !timedOut {
		r.stopping.waitedForRequests = r.stopping.waitedForRequests || refusesWork
		return
	}
	r.stopping.done = true
	waitedFor := message.WaitedForLookUps
	switch {
	case !idle:
		waitedFor = message.WaitedForLimit
	case r.stopping.waitedForRequests:
		waitedFor = message.WaitedForRequests
	}
	r.record("stopped", "", r.Self.Name, "", "took="+r.now.Sub(r.stopping.since).String())
	r.emit(message.Exit{InFlight: len(r.pending), WaitedFor: waitedFor})
}
