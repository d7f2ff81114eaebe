package reducer

import (
	"strconv"
	"time"

	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
)

// envelopeBytes is added to a body for its headers.
const envelopeBytes = 512

func (r *Reducer) dispatch(w *work, s *server, reason string) {
	w.state = dispatched
	w.attempt++
	w.server = s
	w.started = r.now
	s.inFlight++
	r.countTry(w)
	r.note("dispatched", w.request.ID, s.Name, reason, r.placementInputs(s))
	r.emit(message.Dispatch{
		ID:       w.request.ID,
		Attempt:  w.attempt,
		Server:   s.Server,
		Kind:     w.request.Kind,
		Key:      w.request.Key,
		Decided:  r.now,
		Deadline: w.request.Deadline,
	})
}

func (r *Reducer) placementInputs(s *server) string {
	return "in_flight=" + strconv.Itoa(s.inFlight) + " slots=" + strconv.Itoa(s.slots)
}

func (r *Reducer) forward(w *work, m *member, reason string) {
	w.state = forwarded
	w.attempt++
	w.peer = m
	w.started = r.now
	m.send(w.kind.Service)
	r.countTry(w)
	request := w.request
	request.ID += "/" + strconv.Itoa(w.attempt)
	request.Origin = r.Self.Name
	request.OriginRegion = r.Self.Region
	request.Bound = w.bound
	if !w.bound {
		request.Hops++
	}
	r.note("forwarded", w.request.ID, m.Name, reason, "")
	r.emit(message.Forward{
		ID:       w.request.ID,
		Attempt:  w.attempt,
		Peer:     m.Instance,
		Request:  request,
		Decided:  r.now,
		Deadline: w.request.Deadline,
	})
}

func (r *Reducer) countTry(w *work) {
	if w.attempt == 1 {
		r.budget(w.kind.Service).Deposit()
	}
}

// reserveAnswer reserves the expected answer on the link back to the origin.
func (r *Reducer) reserveAnswer(w *work) bool {
	if w.request.OriginRegion == "" || w.request.OriginRegion == r.Self.Region {
		return true
	}
	expected := w.kind.AnswerBytes + envelopeBytes
	if !r.linker.Reserve(r.now, w.request.OriginRegion, expected) {
		return false
	}
	w.linkReserved = expected
	return true
}

// retryAfter is when a refused caller may try again.
func (r *Reducer) retryAfter(code model.Code) time.Duration {
	switch code {
	case model.CodeShiftCap:
		return r.policy.Shift.Period.Duration
	case model.CodeOverloaded, model.CodeLinkLimit, model.CodeNoUpstream, model.CodeClaimLimit:
		return time.Second
	}
	return 0
}
