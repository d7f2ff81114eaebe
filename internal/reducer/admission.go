package reducer

import (
	"time"

	"github.com/yuccathread/yuccathread/internal/budgeter"
	"github.com/yuccathread/yuccathread/internal/estimator"
	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
)

// state is where a request stands.
type state int

const (
	arrived state = iota
	claiming
	joined
	waiting
	dispatched
	forwarded
)

// work is a request that has not been answered yet.
type work struct {
	request model.Request
	kind    *kindPolicy
	state   state
	attempt int
	arrived time.Time
	started time.Time

	server *server
	pool   *pool
	peer   *member

	// domain is the failure domain charged for the request in the shifter.
	domain string
	// steered is set once the shifter of its flow counts the request.
	steered bool
	// tried holds servers and instances that refused or failed.
	tried []string
	// begun is set once this instance alone decides whether the work runs.
	begun bool
	// uncertain is set once a try had an unknown outcome.
	uncertain bool
	// bound is set while the request is with the process that holds its key.
	bound bool
	claim *model.Claim
	// gone is set where nobody waits for the answer.
	gone bool
	// linkReserved is what was reserved for the answer on the link back.
	linkReserved int64
}

func (r *Reducer) arrive(request model.Request) {
	if _, ok := r.works[request.ID]; ok {
		r.note("ignored", request.ID, request.Origin, "request id is in use", "")
		return
	}
	w := &work{request: request, arrived: r.now}
	if !r.admit(w) {
		return
	}
	r.works[request.ID] = w
	switch {
	case !w.kind.OnceOnly || request.Hops > 0:
		w.begun = true
		r.place(w)
	default:
		r.begin(w)
	}
}

// admit refuses what needs no knowledge of load.
func (r *Reducer) admit(w *work) bool {
	if !r.Ready() {
		r.refuse(w, model.CodeNotReady, "this instance is starting")
		return false
	}
	k, ok := r.policy.kinds[w.request.Kind]
	if !ok {
		w.begun = true
		r.refuse(w, model.CodeUnknownKind, w.request.Kind)
		return false
	}
	w.kind = k
	if limit := r.now.Add(k.Deadline.Duration); w.request.Deadline.After(limit) || w.request.Deadline.IsZero() {
		w.request.Deadline = limit
	}
	if w.request.Home == "" || r.policy.regionOf[w.request.Home] == "" {
		w.request.Home = r.Self.Domain
	}
	switch {
	case w.request.BodyBytes > k.MaxBodyBytes:
		w.begun = true
		r.refuse(w, model.CodeBodyTooLarge, "")
	case !w.request.Deadline.After(r.now):
		r.refuse(w, model.CodeDeadline, "expired on arrival")
	case r.stopping.refuses(r.now):
		r.refuse(w, model.CodeLeaving, "this instance is stopping")
	default:
		return true
	}
	return false
}

// refuse ends work that no upstream has been given. Once-only work counts as
// not run only if this instance is the one that decides about its key;
// otherwise an earlier request with the key may have run it.
func (r *Reducer) refuse(w *work, code model.Code, detail string) {
	outcome := model.NotRun
	// Before there is a configuration, a key is the sign of once-only work.
	onceOnly := w.request.Key != "" && w.kind == nil || w.kind != nil && w.kind.OnceOnly
	if onceOnly && !w.begun {
		outcome = model.Unknown
	}
	r.finish(w, model.Result{Outcome: outcome, Code: code, Detail: detail})
}

func (r *Reducer) expired(id string) {
	w, ok := r.works[id]
	if !ok {
		return
	}
	switch w.state {
	case waiting:
		w.pool.queue.Remove(id)
		r.refuse(w, model.CodeDeadline, "waited too long for a slot")
	case claiming, joined:
		r.finish(w, model.Result{Outcome: model.Unknown, Code: model.CodeDeadline})
	}
}

func (r *Reducer) callerGone(id string) {
	w, ok := r.works[id]
	if !ok || w.gone {
		return
	}
	w.gone = true
	switch w.state {
	case waiting:
		w.pool.queue.Remove(id)
		r.refuse(w, model.CodeCallerGone, "")
	case joined:
		r.finish(w, model.Result{Outcome: model.Unknown, Code: model.CodeCallerGone})
	case dispatched, forwarded:
		// Once-only work goes on, so that a retry finds its result.
		if w.kind.OnceOnly {
			return
		}
		r.emit(message.Cancel{ID: id, Attempt: w.attempt})
	}
}

// BodyLimit returns the largest body of a kind in bytes, 0 for unknown kinds.
func (r *Reducer) BodyLimit(kind string) int64 {
	if r.policy == nil {
		return 0
	}
	k, ok := r.policy.kinds[kind]
	if !ok {
		return 0
	}
	return k.MaxBodyBytes
}

func (r *Reducer) duration(kind string) *estimator.Estimator {
	d, ok := r.durations[kind]
	if !ok {
		d = &estimator.Estimator{Initial: initialDuration}
		r.durations[kind] = d
	}
	return d
}

func (r *Reducer) budget(service string) *budgeter.Budgeter {
	b, ok := r.retries[service]
	if !ok {
		b = &budgeter.Budgeter{}
		r.retries[service] = b
	}
	b.Fraction = r.policy.Retry.Fraction
	b.Burst = r.policy.Retry.Burst
	return b
}
