package reducer

import (
	"strconv"

	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
)

func (r *Reducer) handleDispatchDone(e message.DispatchDone) {
	w, ok := r.pending[e.ID]
	if !ok || w.attempt != e.Attempt || w.state != dispatched {
		return
	}
	s := w.server
	r.observeServer(w, s, e)
	r.finishOrRetry(w, e.Result, s.Name)
	r.releaseSlot(s, e.Aborted)
}

// observeServer updates a server's health and the duration estimates from an
// answer.
func (r *Reducer) observeServer(w *work, s *server, e message.DispatchDone) {
	if e.Draining {
		r.markDrainingFromAnswer(s)
	}
	switch {
	case e.Result.Outcome == model.Ran && e.Result.Status < 500:
		s.Succeed()
		r.kindDuration(w.kind.Name).Observe(r.now.Sub(w.attemptStarted))
		r.pool(w.kind.Service).durations.Observe(r.now.Sub(w.attemptStarted))
	case e.Result.Code == model.CodeUpstreamRefused:
		s.refusedUntil = r.now.Add(refusalBackoff)
	case w.callerGone:
	default:
		r.recordServerFailure(s)
	}
}

func (r *Reducer) recordServerFailure(s *server) {
	s.Failures = r.policy.Recovery.Failures
	s.Period = r.policy.Recovery.Ejection.Duration
	if !r.mayEject(s) {
		return
	}
	if s.Fail(r.now) {
		r.record("server_ejected", "", s.Name, "failures in a row", strconv.Itoa(s.Failures))
	}
}

// mayEject limits how many of this instance's servers of a service are ejected
// at once, so that some stay in use even if all fail. If the failure domain has
// more than one server of the service, at least one may be ejected.
func (r *Reducer) mayEject(s *server) bool {
	p := r.pool(s.Service)
	ejected := 0
	for _, other := range p.servers {
		if other != s && other.Ejected(r.now) {
			ejected++
		}
	}
	limit := int(r.policy.Recovery.MaxEjected * float64(len(p.servers)))
	if r.countDomainServers(s.Service) > 1 {
		limit = max(1, limit)
	}
	return ejected < limit
}

// countDomainServers counts the failure domain's servers of a service.
func (r *Reducer) countDomainServers(service string) int {
	n := 0
	for _, a := range r.table.current.Assignments {
		if a.Service == service {
			n++
		}
	}
	return n
}

func (r *Reducer) handleForwardDone(e message.ForwardDone) {
	w, ok := r.pending[e.ID]
	if !ok || w.attempt != e.Attempt || w.state != forwarded {
		return
	}
	peer := w.peer
	peer.removeInFlight(w.kind.Service)
	switch {
	case e.Result.Code == model.CodePeerFailed:
		peer.markUnreachable(r.now)
	case e.Result.Outcome == model.NotRun:
		peer.backOff(r.now, w.kind.Service)
	}
	if !w.withKeyHolder {
		r.finishOrRetry(w, e.Result, peer.Name)
		return
	}
	if e.Result.Outcome == model.NotRun && e.Result.Code == model.CodePeerFailed {
		// The key holder did not receive this request, but may have run an
		// earlier one with the same key.
		e.Result = model.Result{Outcome: model.Unknown, Code: model.CodeIssuerUnreachable, Detail: peer.Name}
	}
	r.finish(w, e.Result)
}

// finishOrRetry finishes a request or retries it elsewhere.
func (r *Reducer) finishOrRetry(w *work, result model.Result, target string) {
	if result.Outcome != model.Ran && r.retryable(w, result) {
		w.tried = append(w.tried, target)
		w.uncertain = w.uncertain || result.Outcome == model.Unknown
		r.refundDomain(w)
		r.record("retried", w.request.ID, target, string(result.Code), "")
		w.state = arrived
		r.place(w)
		return
	}
	r.finish(w, result)
}

// retryable reports whether a request may be retried: it did not run or may run
// twice, its caller still waits, and time and retry budget are left.
func (r *Reducer) retryable(w *work, result model.Result) bool {
	if w.callerGone || w.attempt >= r.policy.Retry.Attempts {
		return false
	}
	if w.kind.OnceOnly && result.Outcome != model.NotRun {
		return false
	}
	if r.wouldMissDeadline(w) {
		return false
	}
	// A forwarded request is retried only by the instance that forwarded it,
	// so that retries do not multiply over both hops.
	if w.request.Hops > 0 {
		return false
	}
	return r.retryBudget(w.kind.Service).Withdraw()
}

// finish answers a request and all requests that joined it with the same key.
func (r *Reducer) finish(w *work, result model.Result) {
	delete(r.pending, w.request.ID)
	if result.Outcome == model.NotRun && w.countedInFlow {
		r.refundDomain(w)
		r.shifter(w).RecordRefused()
	}
	if w.uncertain && result.Outcome == model.NotRun {
		result.Outcome = model.Unknown
	}
	result.RetryAfter = 0
	if result.Outcome == model.NotRun && r.policy != nil {
		result.RetryAfter = r.retryAfter(result.Code)
	}
	r.settleLinkReservation(w, result)
	if w.authoritative && w.kind != nil && w.kind.OnceOnly && w.request.Hops == 0 {
		r.finishOnceOnly(w, result)
	}
	r.reply(w, result, w.request.ID)
}

func (r *Reducer) reply(w *work, result model.Result, body string) {
	subject := result.Server
	if result.Outcome == model.Ran {
		r.record("answered", w.request.ID, subject, string(result.Outcome), "")
	} else {
		inputs := string(result.Outcome)
		if result.Detail != "" {
			inputs += " " + result.Detail
		}
		r.record("refused", w.request.ID, subject, string(result.Code), inputs)
	}
	r.emit(message.Reply{ID: w.request.ID, Result: result, Body: body})
}

func (r *Reducer) settleLinkReservation(w *work, result model.Result) {
	if w.linkReservedBytes == 0 {
		return
	}
	sent := result.AnswerBytes + envelopeBytes
	r.linker.Settle(r.now, w.request.OriginRegion, w.linkReservedBytes, sent)
}
