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
	// abandonedHold keeps a slot taken after its exchange was cut off from
	// this side, until the server has noticed.
	abandonedHold = 50 * time.Millisecond
	// refusalHold leaves a server alone after it refused work.
	refusalHold = 100 * time.Millisecond
	// waitShare divides the time to the deadline: work waits only if it expects
	// a slot within that part, which keeps queues short and estimates harmless.
	waitShare = 2
	// loadFresh is the age up to which a load report is believed.
	loadFresh = 3 * time.Second
	// cautionPeriod is how long after a takeover without acknowledgement the
	// server's own count of busy slots is taken into account.
	cautionPeriod = 30 * time.Second
	// drainRetention is how long a drain mark in an answer is believed.
	drainRetention = 5 * time.Minute
	// initialDuration stands in for the time of a kind never seen before.
	initialDuration = 20 * time.Millisecond
)

// pool is one service's own servers and the work that waits for them.
type pool struct {
	servers []*server
	// durations follows the service's work of all kinds.
	durations estimator.Estimator
	queue     scheduler.Scheduler[*work]
}

// server is an upstream server that this instance owns, or owned while
// requests are still in flight there.
type server struct {
	model.Assignment
	ejector.Ejector

	slots    int
	inFlight int
	// foreign counts requests in flight of the owners before.
	foreign map[string]int
	owned   bool
	// usable is the time from which no earlier owner dispatches any more.
	usable   time.Time
	cautious time.Time
	cold     time.Time
	refused  time.Time

	// listed, reported and answered say who has marked the server as leaving.
	listed   bool
	reported bool
	answered time.Time

	// reportedForeign is what the server reported beyond the own requests.
	reportedForeign int
	reportedAt      time.Time
}

// allowed returns the number of slots that may be in use now.
func (s *server) allowed(now time.Time, recovery model.Recovery) int {
	if !s.owned || s.draining(now) || s.Ejected(now) {
		return 0
	}
	if now.Before(s.usable) || now.Before(s.refused) {
		return 0
	}
	return s.ramp(now, recovery.SlowStart.Duration)
}

// draining reports whether anything says that the server leaves. A mark in an
// answer outlives reports to the contrary, which may mislead.
func (s *server) draining(now time.Time) bool {
	return s.Leaving || s.listed || s.reported || now.Sub(s.answered) < drainRetention
}

// ramp grows the slots of a cold or returned server from one to all.
func (s *server) ramp(now time.Time, period time.Duration) int {
	start := s.cold
	if returned := s.Returned(); returned.After(start) {
		start = returned
	}
	warm := now.Sub(start)
	if warm >= period || period == 0 {
		return s.slots
	}
	n := int(math.Ceil(float64(s.slots) * float64(warm) / float64(period)))
	return max(1, n)
}

// busy returns the slots known to be in use, by whomever.
func (s *server) busy(now time.Time) int {
	foreign := 0
	for _, n := range s.foreign {
		foreign += n
	}
	if now.Before(s.cautious) && now.Sub(s.reportedAt) < loadFresh {
		foreign = max(foreign, s.reportedForeign)
	}
	return s.inFlight + foreign
}

// pool returns a service's pool. Its floors follow the configuration, which
// sets them anew in every pool.
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

// freeServer returns the own server with the smallest part of its slots in
// use, or nil if none has a free one.
func (r *Reducer) freeServer(p *pool) *server {
	if !r.leaser.Valid(r.now) {
		return nil
	}
	var best *server
	bestUse := 1.0
	for _, s := range p.servers {
		allowed := s.allowed(r.now, r.policy.Recovery)
		busy := s.busy(r.now)
		if busy >= allowed {
			continue
		}
		if use := float64(busy) / float64(allowed); best == nil || use < bestUse {
			best, bestUse = s, use
		}
	}
	return best
}

// capacity returns the slots that may be in use and those that are.
func (r *Reducer) capacity(p *pool) (allowed, busy int) {
	if !r.leaser.Valid(r.now) {
		return 0, 0
	}
	for _, s := range p.servers {
		n := s.allowed(r.now, r.policy.Recovery)
		allowed += n
		busy += min(n, s.busy(r.now))
	}
	return allowed, busy
}

// pump dispatches waiting work while there are free slots.
func (r *Reducer) pump(p *pool) {
	for p.queue.Len() > 0 {
		s := r.freeServer(p)
		if s == nil {
			return
		}
		item, _ := p.queue.Peek()
		if r.tooLate(item.Value) {
			p.queue.Remove(item.ID)
			r.refuse(item.Value, model.CodeDeadline, "waited too long for a slot")
			continue
		}
		p.queue.Pop()
		r.dispatch(item.Value, s, "waited")
	}
}

// pumpAll pumps every pool, in the order of their names, so that a session
// runs the same way each time.
func (r *Reducer) pumpAll() {
	for _, name := range slices.Sorted(maps.Keys(r.pools)) {
		r.pump(r.pools[name])
	}
}

// tooLate reports whether work would probably miss its deadline if it started now.
func (r *Reducer) tooLate(w *work) bool {
	return w.request.Deadline.Sub(r.now) < r.duration(w.kind.Name).Bound()
}

// enqueue lets work wait for an own slot if it can expect one in time.
func (r *Reducer) enqueue(w *work, p *pool) bool {
	if p.queue.Waiting(w.kind.rank, w.kind.Name) >= w.kind.QueueLimit {
		return false
	}
	wait, ok := r.expectedWait(w, p)
	remaining := w.request.Deadline.Sub(r.now) - r.duration(w.kind.Name).Mean()
	if !ok || wait > remaining/waitShare {
		return false
	}
	w.state = waiting
	w.pool = p
	p.queue.Push(scheduler.Item[*work]{
		ID:    w.request.ID,
		Rank:  w.kind.rank,
		Kind:  w.kind.Name,
		Cost:  r.duration(w.kind.Name).Mean(),
		Value: w,
	})
	r.emit(message.Timer{At: w.request.Deadline, Event: message.Expired{ID: w.request.ID}})
	return true
}

// expectedWait estimates the time until an own slot is free for the work. It
// returns false where no own server can take any.
func (r *Reducer) expectedWait(w *work, p *pool) (time.Duration, bool) {
	slots := r.slotsInUse(p)
	if slots == 0 {
		return 0, false
	}
	ahead := p.queue.Ahead(w.kind.rank, w.kind.Name)
	mean := r.duration(w.kind.Name).Mean()
	return time.Duration(ahead * float64(mean) / float64(slots)), true
}

// slotsInUse counts the slots of own servers that take work, busy or not.
func (r *Reducer) slotsInUse(p *pool) int {
	if !r.leaser.Valid(r.now) {
		return 0
	}
	slots := 0
	for _, s := range p.servers {
		if s.owned && !s.draining(r.now) && !s.Ejected(r.now) && !r.now.Before(s.usable) {
			slots += s.slots
		}
	}
	return slots
}

// waits estimates by rank how long new work would wait for a slot.
func (r *Reducer) waits(p *pool) []time.Duration {
	slots := r.slotsInUse(p)
	if slots == 0 || r.policy == nil {
		return nil
	}
	waits := make([]time.Duration, len(r.policy.Ranks))
	for rank := range waits {
		ahead := p.queue.AheadOfRank(rank)
		waits[rank] = time.Duration(ahead * float64(p.durations.Mean()) / float64(slots))
	}
	return waits
}

func (r *Reducer) releaseSlot(s *server, abandoned bool) {
	if abandoned {
		r.emit(message.Timer{
			At:    r.now.Add(abandonedHold),
			Event: message.SlotFreed{Server: s.Name},
		})
		return
	}
	r.slotFreed(s.Name)
}

func (r *Reducer) slotFreed(name string) {
	s, ok := r.servers[name]
	if !ok {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	if !s.owned && s.inFlight == 0 {
		delete(r.servers, name)
		return
	}
	r.pump(r.pool(s.Service))
}

func (r *Reducer) loadReported(e message.LoadReported) {
	s, ok := r.servers[e.Server]
	if !ok {
		return
	}
	s.reportedForeign = max(0, e.Busy-s.inFlight)
	s.reportedAt = r.now
	if e.Draining == s.reported {
		return
	}
	s.reported = e.Draining
	if e.Draining {
		r.note("server_draining", "", s.Name, "reported by the server", "")
		return
	}
	s.answered = time.Time{}
	s.cold = r.now
	r.note("server_returned", "", s.Name, "reported by the server", "")
}

// markAnswered notes a drain mark in an answer.
func (r *Reducer) markAnswered(s *server) {
	if !s.draining(r.now) {
		r.note("server_draining", "", s.Name, "marked in an answer", "")
	}
	s.answered = r.now
}

// markListed notes which servers the platform's list marks as leaving.
func (r *Reducer) markListed(leaving []string) {
	for _, name := range slices.Sorted(maps.Keys(r.servers)) {
		s := r.servers[name]
		listed := slices.Contains(leaving, s.Name)
		if listed && !s.draining(r.now) {
			r.note("server_draining", "", s.Name, "marked in the list", "")
		}
		s.listed = listed
	}
}
