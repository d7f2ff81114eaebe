package reducer

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/yuccathread/yuccathread/internal/ejector"
	"github.com/yuccathread/yuccathread/internal/estimator"
	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
	"github.com/yuccathread/yuccathread/internal/scheduler"
)

const (
	// abortedSlotHold is how long a slot stays reserved after this side aborted
	// the exchange, to give the server time to notice.
	abortedSlotHold = 50 * time.Millisecond
	// refusalBackoff is how long no work is sent to a server after it refused
	// work.
	refusalBackoff = 100 * time.Millisecond
	// maxWaitDivisor limits the wait for a slot: a request is queued only if its
	// expected wait is at most the time left to its deadline, less the mean
	// duration of its kind, divided by maxWaitDivisor. This keeps queues short
	// and limits the harm of wrong estimates.
	maxWaitDivisor = 2
	// loadMaxAge is the age up to which a load report is used.
	loadMaxAge = 3 * time.Second
	// reportedLoadPeriod is how long the busy slots that a server reports are
	// taken into account after a takeover that its previous owner did not
	// acknowledge.
	reportedLoadPeriod = 30 * time.Second
	// drainMarkLifetime is how long a drain mark in an answer is valid.
	drainMarkLifetime = 5 * time.Minute
	// initialDuration is the assumed duration of a request until durations are
	// measured, and of requests sent to another instance since its last report.
	initialDuration = 20 * time.Millisecond
)

// pool holds this instance's servers of one service and the queue of requests
// that wait for them.
type pool struct {
	servers []*server
	// durations estimates the duration of the service's requests over all
	// kinds.
	durations estimator.Estimator
	queue     scheduler.Scheduler[*work]
}

// server is an upstream server that this instance owns, or a former one that
// still has requests of this instance in flight.
type server struct {
	model.Assignment
	ejector.Ejector

	slots    int
	inFlight int
	// foreign counts the requests that previous owners still have in flight, by
	// owner.
	foreign map[string]int
	owned   bool
	// usableFrom is the time from which this instance may dispatch to the
	// server. Before it, a previous owner may still use the server.
	usableFrom    time.Time
	cautiousUntil time.Time
	coldSince     time.Time
	refusedUntil  time.Time

	// The next three fields record where the server was marked as draining: in
	// the platform's list, in its load report, or in an answer (the time of the
	// last one).
	drainingInList   bool
	drainingInReport bool
	drainingAnswerAt time.Time

	// reportedForeign is the number of busy slots in the last load report
	// beyond the requests of this instance.
	reportedForeign int
	reportedAt      time.Time
}

// allowedSlots returns the number of slots that may be in use now.
func (s *server) allowedSlots(now time.Time, recovery model.Recovery) int {
	if !s.owned || s.draining(now) || s.Ejected(now) {
		return 0
	}
	if now.Before(s.usableFrom) || now.Before(s.refusedUntil) {
		return 0
	}
	return s.slowStartSlots(now, recovery.SlowStart.Duration)
}

// draining reports whether any source marks the server as draining. A mark in
// an answer stays valid for drainMarkLifetime even while load reports carry no
// mark, since these may be wrong. It is cleared earlier only by a load report
// without a mark that follows one with a mark.
func (s *server) draining(now time.Time) bool {
	return s.Leaving || s.drainingInList || s.drainingInReport || now.Sub(s.drainingAnswerAt) < drainMarkLifetime
}

// slowStartSlots returns the slots of a cold or returned server, which grow
// from one to all during the slow start period.
func (s *server) slowStartSlots(now time.Time, period time.Duration) int {
	start := s.coldSince
	if returned := s.Returned(); returned.After(start) {
		start = returned
	}
	elapsed := now.Sub(start)
	if elapsed >= period || period == 0 {
		return s.slots
	}
	n := int(math.Ceil(float64(s.slots) * float64(elapsed) / float64(period)))
	return max(1, n)
}

// busySlots returns the number of slots known to be in use by any instance.
func (s *server) busySlots(now time.Time) int {
	foreign := 0
	for _, n := range s.foreign {
		foreign += n
	}
	if now.Before(s.cautiousUntil) && now.Sub(s.reportedAt) < loadMaxAge {
		foreign = max(foreign, s.reportedForeign)
	}
	return s.inFlight + foreign
}

// pool returns a service's pool. A new pool takes its floors from the current
// configuration; a configuration change updates them in every pool.
func (r *Reducer) pool(service string) *pool {
	p, ok := r.pools[service]
	if !ok {
		p = &pool{durations: estimator.Estimator{Initial: initialDuration}}
		if r.policy != nil {
			p.queue.Floors = r.policy.floors
		}
		r.pools[service] = p
	}
	return p
}

// freeServer returns the server of the pool with the smallest fraction of its
// slots in use, or nil if none has a free slot.
func (r *Reducer) freeServer(p *pool) *server {
	if !r.leaser.Valid(r.now) {
		return nil
	}
	var best *server
	lowestUse := 1.0
	for _, s := range p.servers {
		allowed := r.allowedSlots(s)
		busy := s.busySlots(r.now)
		if busy >= allowed {
			continue
		}
		if use := float64(busy) / float64(allowed); best == nil || use < lowestUse {
			best, lowestUse = s, use
		}
	}
	return best
}

// allowedSlots returns the number of a server's slots that may be in use, which is zero
// until there is a configuration.
func (r *Reducer) allowedSlots(s *server) int {
	if r.policy == nil {
		return 0
	}
	return s.allowedSlots(r.now, r.policy.Recovery)
}

// capacity returns the number of slots that may be in use and the number that
// are.
func (r *Reducer) capacity(p *pool) (allowed, busy int) {
	if !r.leaser.Valid(r.now) {
		return 0, 0
	}
	for _, s := range p.servers {
		n := r.allowedSlots(s)
		allowed += n
		busy += min(n, s.busySlots(r.now))
	}
	return allowed, busy
}

// dispatchQueued dispatches queued requests while there are free slots.
func (r *Reducer) dispatchQueued(p *pool) {
	for p.queue.Len() > 0 {
		s := r.freeServer(p)
		if s == nil {
			return
		}
		item, _ := p.queue.Peek()
		if r.wouldMissDeadline(item.Value) {
			p.queue.Remove(item.ID)
			r.refuse(item.Value, model.CodeDeadlineExceeded, "waited too long for a slot")
			continue
		}
		p.queue.Pop()
		r.dispatch(item.Value, s, "waited")
	}
}

// dispatchAllQueued runs dispatchQueued for every pool, ordered by name so that
// replayed sessions give the same result.
func (r *Reducer) dispatchAllQueued() {
	for _, name := range slices.Sorted(maps.Keys(r.pools)) {
		r.dispatchQueued(r.pools[name])
	}
}

// wouldMissDeadline reports whether a request would probably miss its deadline
// if it started now.
func (r *Reducer) wouldMissDeadline(w *work) bool {
	return w.request.Deadline.Sub(r.now) < r.kindDuration(w.kind.Name).Bound()
}

// enqueue queues a request for one of this instance's slots if it can expect
// one in time.
func (r *Reducer) enqueue(w *work, p *pool) bool {
	if p.queue.Waiting(w.kind.rank, w.kind.Name) >= w.kind.QueueLimit {
		return false
	}
	wait, ok := r.expectedWait(w, p)
	remaining := w.request.Deadline.Sub(r.now) - r.kindDuration(w.kind.Name).Mean()
	if !ok || wait > remaining/maxWaitDivisor {
		return false
	}
	w.state = waiting
	w.pool = p
	p.queue.Push(scheduler.Item[*work]{
		ID:    w.request.ID,
		Rank:  w.kind.rank,
		Kind:  w.kind.Name,
		Cost:  r.kindDuration(w.kind.Name).Mean(),
		Value: w,
	})
	r.emit(message.Timer{At: w.request.Deadline, Event: message.Expired{ID: w.request.ID}})
	return true
}

// expectedWait estimates the time until a slot of the pool is free for the
// request. It returns false if none of the pool's servers takes work.
func (r *Reducer) expectedWait(w *work, p *pool) (time.Duration, bool) {
	slots := r.usableSlots(p)
	if slots == 0 {
		return 0, false
	}
	ahead := p.queue.ItemsAhead(w.kind.rank, w.kind.Name)
	mean := r.kindDuration(w.kind.Name).Mean()
	return time.Duration(ahead * float64(mean) / float64(slots)), true
}

// usableSlots counts the slots, free or busy, of the pool's servers that take
// work.
func (r *Reducer) usableSlots(p *pool) int {
	if !r.leaser.Valid(r.now) {
		return 0
	}
	slots := 0
	for _, s := range p.servers {
		if s.owned && !s.draining(r.now) && !s.Ejected(r.now) && !r.now.Before(s.usableFrom) {
			slots += s.slots
		}
	}
	return slots
}

// waitsByRank estimates for each rank how long a new request would wait for a
// slot.
func (r *Reducer) waitsByRank(p *pool) []time.Duration {
	slots := r.usableSlots(p)
	if slots == 0 || r.policy == nil {
		return nil
	}
	waits := make([]time.Duration, len(r.policy.Ranks))
	for rank := range waits {
		ahead := p.queue.ItemsAheadInRank(rank)
		waits[rank] = time.Duration(ahead * float64(p.durations.Mean()) / float64(slots))
	}
	return waits
}

func (r *Reducer) releaseSlot(s *server, aborted bool) {
	if aborted {
		r.emit(message.Timer{
			At:    r.now.Add(abortedSlotHold),
			Event: message.SlotFreed{Server: s.Name},
		})
		return
	}
	r.handleSlotFreed(s.Name)
}

func (r *Reducer) handleSlotFreed(name string) {
	s, ok := r.servers[name]
	if !ok {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	if !s.owned && s.inFlight == 0 {
		delete(r.servers, name)
		return
	}
	r.dispatchQueued(r.pool(s.Service))
}

func (r *Reducer) handleLoadReported(e message.LoadReported) {
	s, ok := r.servers[e.Server]
	if !ok {
		return
	}
	s.reportedForeign = max(0, e.Busy-s.inFlight)
	s.reportedAt = r.now
	if e.Draining == s.drainingInReport {
		return
	}
	s.drainingInReport = e.Draining
	if e.Draining {
		r.record("server_draining", "", s.Name, "reported by the server", "")
		return
	}
	s.drainingAnswerAt = time.Time{}
	s.coldSince = r.now
	r.record("server_returned", "", s.Name, "reported by the server", "")
}

// markDrainingFromAnswer records a drain mark in an answer.
func (r *Reducer) markDrainingFromAnswer(s *server) {
	if !s.draining(r.now) {
		r.record("server_draining", "", s.Name, "marked in an answer", "")
	}
	s.drainingAnswerAt = r.now
}

// markDrainingFromList records which servers the platform's list marks as
// leaving.
func (r *Reducer) markDrainingFromList(leaving []string) {
	for _, name := range slices.Sorted(maps.Keys(r.servers)) {
		s := r.servers[name]
		marked := slices.Contains(leaving, s.Name)
		if marked && !s.draining(r.now) {
			r.record("server_draining", "", s.Name, "marked in the list", "")
		}
		s.drainingInList = marked
	}
}
