package reducer

import (
	"strconv"

	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
)

func (r *Reducer) answered(e message.Answered) {
	w, ok := r.works[e.ID]
	if !ok || w.attempt != e.Attempt || w.state != dispatched {
		return
	}
	s := w.server
	r.observe(w, s, e)
	r.end(w, e.Result, s.Name)
	r.releaseSlot(s, e.Abandoned)
}

// observe lets a server's outcomes speak for its health.
func (r *Reducer) observe(w *work, s *server, e message.Answered) {
	if e.Draining {
		r.markAnswered(s)
	}
	switch {
	case e.Result.Outcome == model.Ran && e.Result.Status < 500:
		s.Succeed()
		r.duration(w.kind.Name).Observe(r.now.Sub(w.started))
		r.pool(w.kind.Service).durations.Observe(r.now.Sub(w.started))
	case e.Result.Code == model.CodeUpstreamRefused:
		s.refused = r.now.Add(refusalHold)
	case w.gone:
	default:
		r.failServer(s)
	}
}

func (r *Reducer) failServer(s *server) {
	s.Failures = r.policy.Recovery.Failures
	s.Period = r.policy.Recovery.Ejection.Duration
	if !r.mayEject(s) {
		return
	}
	if s.Fail(r.now) {
		r.note("server_ejected", "", s.Name, "failures in a row", strconv.Itoa(s.Failures))
	}
}

// mayEject keeps a part of the own servers in use however badly they do, but
// gives up a single one where the failure domain has others.
func (r *Reducer) mayEject(s *server) bool {
	p := r.pool(s.Service)
	ejected := 0
	for _, x := range p.servers {
		if x != s && x.Ejected(r.now) {
			ejected++
		}
	}
	limit := int(r.policy.Recovery.MaxEjected * float64(len(p.servers)))
	if r.serversOf(s.Service) > 1 {
		limit = max(1, limit)
	}
	return ejected < limit
}

// serversOf counts the failure domain's servers of a service.
func (r *Reducer) serversOf(service string) int {
	n := 0
	for _, a := range r.table.table.Assignments {
		if a.Service == service {
			n++
		}
	}
	return n
}

func (r *Reducer) peerAnswered(e message.PeerAnswered) {
	w, ok := r.works[e.ID]
	if !ok || w.attempt != e.Attempt || w.state != forwarded {
		return
	}
	m := w.peer
	m.receive(w.kind.Service)
	switch {
	case e.Result.Code == model.CodePeerFailed:
		m.fail(r.now)
	case e.Result.Outcome == model.NotRun:
		m.refuse(r.now, w.kind.Service)
	}
	if !w.bound {
		r.end(w, e.Result, m.Name)
		return
	}
	if e.Result.Outcome == model.NotRun && e.Result.Code == model.CodePeerFailed {
		// The holder of the key did not get this request, but may have run it before.
		e.Result = model.Result{Outcome: model.Unknown, Code: model.CodeIssuerAway, Detail: m.Name}
	}
	r.finish(w, e.Result)
}

// end finishes work or tries it again elsewhere.
func (r *Reducer) end(w *work, result model.Result, target string) {
	if result.Outcome != model.Ran && r.retryable(w, result) {
		w.tried = append(w.tried, target)
		w.uncertain = w.uncertain || result.Outcome == model.Unknown
		r.untake(w)
		r.note("retried", w.request.ID, target, string(result.Code), "")
		w.state = arrived
		r.place(w)
		return
	}
	r.finish(w, result)
}

// retryable reports whether work may be tried again: it did not run or may
// run twice, somebody waits for it, and there is time and budget.
func (r *Reducer) retryable(w *work, result model.Result) bool {
	if w.gone || w.attempt >= r.policy.Retry.Attempts {
		return false
	}
	if w.kind.OnceOnly && result.Outcome != model.NotRun {
		return false
	}
	if r.tooLate(w) {
		return false
	}
	// Work handed on by another instance is retried there, once, not on both hops.
	if w.request.Hops > 0 {
		return false
	}
	return r.budget(w.kind.Service).Withdraw()
}

// finish answers the request and everyone who waits for the same key.
func (r *Reducer) finish(w *work, result model.Result) {
	delete(r.works, w.request.ID)
	if result.Outcome == model.NotRun && w.steered {
		r.untake(w)
		r.shifter(w).Stay()
	}
	if w.uncertain && result.Outcome == model.NotRun {
		result.Outcome = model.Unknown
	}
	result.RetryAfter = 0
	if result.Outcome == model.NotRun && r.policy != nil {
		result.RetryAfter = r.retryAfter(result.Code)
	}
	r.settleLink(w, result)
	if w.begun && w.kind != nil && w.kind.OnceOnly && w.request.Hops == 0 {
		r.finishKey(w, result)
	}
	r.reply(w, result, w.request.ID)
}

func (r *Reducer) reply(w *work, result model.Result, body string) {
	subject := result.Server
	if result.Outcome == model.Ran {
		r.note("answered", w.request.ID, subject, string(result.Outcome), "")
	} else {
		inputs := string(result.Outcome)
		if result.Detail != "" {
			inputs += " " + result.Detail
		}
		r.note("refused", w.request.ID, subject, string(result.Code), inputs)
	}
	r.emit(message.Reply{ID: w.request.ID, Result: result, Body: body})
}

func (r *Reducer) settleLink(w *work, result model.Result) {
	if w.linkReserved == 0 {
		return
	}
	sent := result.AnswerBytes + envelopeBytes
	r.linker.Settle(r.now, w.request.OriginRegion, w.linkReserved, sent)
}
