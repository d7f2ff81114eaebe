package reducer

import (
	"strconv"
	"time"

	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
)

// envelopeBytes is added to the size of a body to account for headers.
const envelopeBytes = 512

func (r *Reducer) dispatch(w *work, s *server, reason string) {
	w.state = dispatched
	w.attempt++
	w.server = s
	w.attemptStarted = r.now
	s.inFlight++
	r.depositRetryBudget(w)
	r.record("dispatched", w.request.ID, s.Name, reason, r.placementInputs(s))
	r.emit(message.Dispatch{
		ID:        w.request.ID,
		Attempt:   w.attempt,
		Server:    s.Server,
		Kind:      w.request.Kind,
		Key:       w.request.Key,
		DecidedAt: r.now,
		Deadline:  w.request.Deadline,
	})
}

func (r *Reducer) placementInputs(s *server) string {
	return "in_flight=" + strconv.Itoa(s.inFlight) + " slots=" + strconv.Itoa(s.slots)
}

func (r *Reducer) forward(w *work, peer *member, reason string) {
	w.state = forwarded
	w.attempt++
	w.peer = peer
	w.attemptStarted = r.now
	peer.addInFlight(w.kind.Service)
	r.depositRetryBudget(w)
	request := w.request
	request.ID += "/" + strconv.Itoa(w.attempt)
	request.Origin = r.Self.Name
	request.OriginRegion = r.Self.Region
	request.Bound = w.withKeyHolder
	if !w.withKeyHolder {
		request.Hops++
	}
	r.record("forwarded", w.request.ID, peer.Name, reason, "")
	r.emit(message.Forward{
		ID:        w.request.ID,
		Attempt:   w.attempt,
		Peer:      peer.Instance,
		Request:   request,
		DecidedAt: r.now,
		Deadline:  w.request.Deadline,
	})
}

// depositRetryBudget adds to the service's retry budget on the first attempt of
// a request.
func (r *Reducer) depositRetryBudget(w *work) {
	if w.attempt == 1 {
		r.retryBudget(w.kind.Service).Deposit()
	}
}

// reserveAnswer reserves the expected size of the answer on the link back to
// the origin.
func (r *Reducer) reserveAnswer(w *work) bool {
	if w.request.OriginRegion == "" || w.request.OriginRegion == r.Self.Region {
		return true
	}
	expected := w.kind.AnswerBytes + envelopeBytes
	if !r.linker.Reserve(r.now, w.request.OriginRegion, expected) {
		return false
	}
	w.linkReservedBytes = expected
	return true
}

// retryAfter returns how long a refused caller should wait before it tries
// again.
func (r *Reducer) retryAfter(code model.Code) time.Duration {
	switch code {
	case model.CodeShiftCap:
		return r.policy.Shift.Period.Duration
	case model.CodeOverloaded, model.CodeLinkLimit, model.CodeNoUpstream, model.CodeClaimLimit:
		return time.Second
	}
	return 0
}
