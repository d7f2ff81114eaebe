package reducer

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
)

// settleRetry is the time between two tries to tell the store a result.
const settleRetry = time.Second

// begin decides who decides about a once-only request: this process for its
// own tickets, another process for theirs, the store for callers' own keys.
func (r *Reducer) begin(w *work) {
	if w.request.Key == "" {
		w.begun = true
		r.refuse(w, model.CodeKeyRequired, "once-only work needs an idempotency key")
		return
	}
	if ticket, ok := r.ticketer.Read(w.request.Key); ok {
		r.beginTicket(w, ticket)
		return
	}
	if w.request.Bound {
		r.beginBound(w)
		return
	}
	if _, ok := r.keeper.Runner(w.request.Key); ok {
		r.beginKey(w, time.Time{})
		return
	}
	r.claim(w)
}

// beginBound serves a key that another instance found to be held here.
func (r *Reducer) beginBound(w *work) {
	_, known := r.keeper.Runner(w.request.Key)
	if known || w.request.Settled == "" {
		r.beginKey(w, r.now.Add(r.policy.OnceOnly.KeyLifetime.Duration))
		return
	}
	r.finish(w, expiredResult(w.request.Settled))
}

// expiredResult is the result of work whose answer is not kept any more.
func expiredResult(outcome model.Outcome) model.Result {
	if outcome == model.Ran {
		return model.Result{Outcome: model.Ran, Code: model.CodeAnswerDropped}
	}
	return model.Result{Outcome: model.Unknown, Code: model.CodeClaimed}
}

func (r *Reducer) beginTicket(w *work, ticket model.Ticket) {
	if !r.ticketer.Mine(ticket) {
		r.forwardToIssuer(w, ticket.Instance, ticket.Incarnation, "ticket of another instance")
		return
	}
	r.ticketer.Lifetime = r.policy.OnceOnly.TicketLifetime.Duration
	if r.ticketer.Expired(ticket, r.now) {
		r.refuse(w, model.CodeTicketExpired, "")
		return
	}
	r.beginKey(w, ticket.Issued.Add(r.ticketer.Lifetime+w.kind.Deadline.Duration))
}

// beginKey runs the work, joins it or repeats its result.
func (r *Reducer) beginKey(w *work, expires time.Time) {
	record, begun := r.keeper.Begin(w.request.Key, w.request.Digest, w.request.ID, expires)
	switch {
	case begun:
		w.begun = true
		if w.claim != nil {
			r.keeper.Pin(w.request.Key, true)
		}
		r.place(w)
	case record == nil:
		r.refuse(w, model.CodeOverloaded, "too many once-only records")
	case record.Mismatch:
		r.finish(w, model.Result{
			Outcome: model.NotRun,
			Code:    model.CodeKeyReused,
			Detail:  "the key was used with another body",
		})
	case record.Done:
		r.repeat(w, record.Result, record.Runner)
	default:
		w.state = joined
		r.note("joined", w.request.ID, record.Runner, "same key", "")
		r.emit(message.Timer{At: w.request.Deadline, Event: message.Expired{ID: w.request.ID}})
	}
}

// repeat answers with the result of an earlier request.
func (r *Reducer) repeat(w *work, result model.Result, runner string) {
	delete(r.works, w.request.ID)
	if result.Outcome == model.Ran && !r.retained[runner] {
		result = expiredResult(model.Ran)
	}
	r.note("repeated", w.request.ID, runner, "same key", "")
	r.reply(w, result, runner)
}

// finishKey ends the record of a key and answers those who joined it.
func (r *Reducer) finishKey(w *work, result model.Result) {
	runner, ok := r.keeper.Runner(w.request.Key)
	if !ok || runner != w.request.ID {
		return
	}
	if result.Outcome == model.Ran {
		r.retained[w.request.ID] = true
		r.emit(message.Retain{ID: w.request.ID})
	}
	for _, id := range r.keeper.Finish(w.request.Key, result) {
		if waiter, ok := r.works[id]; ok {
			delete(r.works, id)
			r.reply(waiter, result, w.request.ID)
		}
	}
	// A claim whose work did not run stays with this process, which serves
	// later tries: giving it free could race with one of them.
	if w.claim != nil && result.Outcome != model.NotRun {
		claim := *w.claim
		claim.Outcome = result.Outcome
		r.unsettled[claim.Key] = claim
		r.settle(claim)
	}
}

func (r *Reducer) settle(claim model.Claim) {
	r.emit(message.Settle{Claim: claim, Lifetime: r.policy.OnceOnly.KeyLifetime.Duration})
}

func (r *Reducer) settled(e message.Settled) {
	if !e.OK {
		return
	}
	delete(r.unsettled, e.Key)
	r.keeper.Pin(e.Key, false)
}

// settleAgain repeats what the store has not confirmed.
func (r *Reducer) settleAgain() {
	for _, key := range slices.Sorted(maps.Keys(r.unsettled)) {
		r.settle(r.unsettled[key])
	}
}

func (r *Reducer) expireKeys() {
	for _, id := range r.keeper.Expire(r.now) {
		if r.retained[id] {
			delete(r.retained, id)
			r.emit(message.Drop{ID: id})
		}
	}
}

// claim asks the store for a caller's own key, within the instance's share of
// the store's writes.
func (r *Reducer) claim(w *work) {
	if !r.mayClaim() {
		r.refuse(w, model.CodeClaimLimit, "use a ticket")
		return
	}
	w.state = claiming
	r.emit(message.Claim{
		ID:       w.request.ID,
		Lifetime: r.policy.OnceOnly.KeyLifetime.Duration,
		Deadline: w.request.Deadline,
		Claim: model.Claim{
			Key:         w.request.Key,
			Digest:      w.request.Digest,
			Holder:      r.Self.Name,
			Incarnation: r.Self.Incarnation,
			PeerAddress: r.Self.PeerAddress,
			Nonce:       w.request.ID,
		},
	})
	r.emit(message.Timer{At: w.request.Deadline, Event: message.Expired{ID: w.request.ID}})
}

// mayClaim bounds claims to a second's worth at once.
func (r *Reducer) mayClaim() bool {
	limit := rate.Limit(r.policy.OnceOnly.ClaimsPerSecond)
	if r.claims == nil || r.claims.Limit() != limit {
		r.claims = rate.NewLimiter(limit, int(math.Ceil(float64(limit))))
	}
	return r.claims.AllowN(r.now, 1)
}

func (r *Reducer) claimed(e message.Claimed) {
	w, ok := r.works[e.ID]
	if !ok || w.state != claiming {
		return
	}
	r.note("claimed", w.request.ID, e.Holder.Holder, string(e.Verdict), "")
	switch e.Verdict {
	case message.ClaimGranted:
		r.beginClaimed(w, e.Holder)
	case message.ClaimHeld:
		r.heldBy(w, e.Holder)
	default:
		r.refuse(w, model.CodeStoreAway, "try again with the same key, or use a ticket")
	}
}

func (r *Reducer) beginClaimed(w *work, claim model.Claim) {
	w.claim = &claim
	r.beginKey(w, r.now.Add(r.policy.OnceOnly.KeyLifetime.Duration))
}

// heldBy handles a key that was claimed before.
func (r *Reducer) heldBy(w *work, claim model.Claim) {
	switch {
	case claim.Digest != w.request.Digest:
		r.finish(w, model.Result{
			Outcome: model.NotRun,
			Code:    model.CodeKeyReused,
			Detail:  "the key was used with another body",
		})
	case claim.Holder == r.Self.Name && claim.Incarnation == r.Self.Incarnation:
		r.holdAgain(w, claim)
	case claim.Outcome == model.Ran && !r.members.alive(r.now, claim.Holder, claim.Incarnation):
		r.finish(w, expiredResult(model.Ran))
	default:
		w.request.Settled = claim.Outcome
		r.forwardToIssuer(w, claim.Holder, claim.Incarnation, "key held by another instance")
	}
}

// holdAgain serves a key that the store says is held here. Without a record
// here, a settled claim has been forgotten and an open one was never used.
func (r *Reducer) holdAgain(w *work, claim model.Claim) {
	if _, known := r.keeper.Runner(claim.Key); known || claim.Outcome == "" {
		r.beginClaimed(w, claim)
		return
	}
	r.finish(w, expiredResult(claim.Outcome))
}

// forwardToIssuer hands work to the only process that may decide about its key.
func (r *Reducer) forwardToIssuer(w *work, name, incarnation, reason string) {
	if w.request.Bound {
		r.refuse(w, model.CodeIssuerAway, "handed on twice")
		return
	}
	m := r.members.find(name, incarnation)
	if m == nil {
		r.refuse(w, model.CodeIssuerAway, fmt.Sprintf("%s (%s)", name, incarnation))
		return
	}
	w.bound = true
	r.forward(w, m, reason)
}

func (r *Reducer) ticketAsked(e message.TicketAsked) {
	if r.policy == nil || r.stopping.active {
		r.emit(message.AnswerTicket{ID: e.ID})
		return
	}
	lifetime := r.policy.OnceOnly.TicketLifetime.Duration
	r.note("ticket_issued", "", strconv.FormatUint(e.Random, 36), "", "")
	r.emit(message.AnswerTicket{
		ID:      e.ID,
		Ticket:  r.ticketer.Issue(r.now, e.Random),
		Expires: r.now.Add(lifetime),
	})
}
