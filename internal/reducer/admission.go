package reducer

import (
	"time"

	"github.com/yuccathread/yuccathread/internal/budgeter"
	"github.com/yuccathread/yuccathread/internal/estimator"
	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
)

// workState is the processing state of a request.
type workState int

const (
	arrived workState = iota
	claiming
	joined
	waiting
	dispatched
	forwarded
)

// work is a request that has not been answered yet.
type work struct {
	request        model.Request
	kind           *kindPolicy
	state          workState
	attempt        int
	arrivedAt      time.Time
	attemptStarted time.Time

	server *server
	pool   *pool
	peer   *member

	// chargedDomain is the failure domain that the shifter counts the request
	// for.
	chargedDomain string
	// countedInFlow is set if the shifter of the request's flow counts it, as
	// sent to a failure domain or as refused. It is not set for a request that
	// another instance counted before forwarding it here.
	countedInFlow bool
	// tried holds the names of the servers and instances that refused the
	// request or failed.
	tried []string
	// authoritative is set once this instance alone decides whether the request
	// runs.
	authoritative bool
	// uncertain is set once an attempt had an unknown outcome.
	uncertain bool
	// withKeyHolder is set once the request is forwarded to the process that
	// holds its key.
	withKeyHolder bool
	claim         *model.Claim
	// callerGone is set if the caller no longer waits for the answer.
	callerGone bool
	// linkReservedBytes is the number of bytes reserved for the answer on the
	// link back to the origin.
	linkReservedBytes int64
}

func (r *Reducer) arrive(request model.Request) {
	if _, ok := r.pending[request.ID]; ok {
		r.record("ignored", request.ID, request.Origin, "request id is in use", "")
		return
	}
	w := &work{request: request, arrivedAt: r.now}
	if !r.admit(w) {
		return
	}
	r.pending[request.ID] = w
	switch {
	case !w.kind.OnceOnly || request.Hops > 0:
		w.authoritative = true
		r.place(w)
	default:
		r.startOnceOnly(w)
	}
}

// admit checks everything that does not depend on load and refuses the request
// if a check fails.
func (r *Reducer) admit(w *work) bool {
	if !r.Ready() {
		r.refuse(w, model.CodeNotReady, "this instance is starting")
		return false
	}
	k, ok := r.policy.kinds[w.request.Kind]
	if !ok {
		w.authoritative = true
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
		w.authoritative = true
		r.refuse(w, model.CodeBodyTooLarge, "")
	case !w.request.Deadline.After(r.now):
		r.refuse(w, model.CodeDeadlineExceeded, "expired on arrival")
	case r.stopping.refusesWork(r.now):
		r.refuse(w, model.CodeLeaving, "this instance is stopping")
	default:
		return true
	}
	return false
}

// refuse ends a request that is not running at any upstream. Once-only work is
// reported as not run only if this instance alone decides about its key;
// otherwise an earlier request with the same key may have run it.
func (r *Reducer) refuse(w *work, code model.Code, detail string) {
	outcome := model.NotRun
	// An instance that is not ready refuses requests without determining their
	// kind. A request with a key is then treated as once-only work.
	onceOnly := w.request.Key != "" && w.kind == nil || w.kind != nil && w.kind.OnceOnly
	if onceOnly && !w.authoritative {
		outcome = model.Unknown
	}
	r.finish(w, model.Result{Outcome: outcome, Code: code, Detail: detail})
}

func (r *Reducer) handleExpired(id string) {
	w, ok := r.pending[id]
	if !ok {
		return
	}
	switch w.state {
	case waiting:
		w.pool.queue.Remove(id)
		r.refuse(w, model.CodeDeadlineExceeded, "waited too long for a slot")
	case claiming, joined:
		r.finish(w, model.Result{Outcome: model.Unknown, Code: model.CodeDeadlineExceeded})
	}
}

func (r *Reducer) handleCallerGone(id string) {
	w, ok := r.pending[id]
	if !ok || w.callerGone {
		return
	}
	w.callerGone = true
	switch w.state {
	case waiting:
		w.pool.queue.Remove(id)
		r.refuse(w, model.CodeCallerGone, "")
	case joined:
		r.finish(w, model.Result{Outcome: model.Unknown, Code: model.CodeCallerGone})
	case dispatched, forwarded:
		// Once-only work continues, so that a retry finds its result.
		if w.kind.OnceOnly {
			return
		}
		r.emit(message.CancelAttempt{ID: id, Attempt: w.attempt})
	}
}

// MaxBodyBytes returns the largest allowed body of a kind in bytes, 0 for unknown
// kinds.
func (r *Reducer) MaxBodyBytes(kind string) int64 {
	if r.policy == nil {
		return 0
	}
	k, ok := r.policy.kinds[kind]
	if !ok {
		return 0
	}
	return k.MaxBodyBytes
}

func (r *Reducer) kindDuration(kind string) *estimator.Estimator {
	d, ok := r.durations[kind]
	if !ok {
		d = &estimator.Estimator{Initial: initialDuration}
		r.durations[kind] = d
	}
	return d
}

func (r *Reducer) retryBudget(service string) *budgeter.Budgeter {
	b, ok := r.retryBudgets[service]
	if !ok {
		b = &budgeter.Budgeter{}
		r.retryBudgets[service] = b
	}
	b.Fraction = r.policy.Retry.Fraction
	b.Burst = r.policy.Retry.Burst
	return b
}
