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

// settleRetryInterval is the time between two attempts to write an outcome to
// the store.
const settleRetryInterval = time.Second

// startOnceOnly determines which process decides about a once-only request: the
// one that issued its ticket or, for a key that the caller chose, the one that
// holds the key's claim in the store.
func (r *Reducer) startOnceOnly(w *work) {
	if w.request.Key == "" {
		w.authoritative = true
		r.refuse(w, model.CodeKeyRequired, "once-only work needs an idempotency key")
		return
	}
	if ticket, ok := r.ticketer.Parse(w.request.Key); ok {
		r.startWithTicket(w, ticket)
		return
	}
	if w.request.Bound {
		r.startAsKeyHolder(w)
		return
	}
	if _, ok := r.keeper.RunningRequestID(w.request.Key); ok {
		r.startWithKey(w, time.Time{})
		return
	}
	r.claimKey(w)
}

// startAsKeyHolder handles a request forwarded here because another instance
// found that this process holds its key.
func (r *Reducer) startAsKeyHolder(w *work) {
	_, known := r.keeper.RunningRequestID(w.request.Key)
	if known || w.request.Settled == "" {
		r.startWithKey(w, r.now.Add(r.policy.OnceOnly.KeyLifetime.Duration))
		return
	}
	r.finish(w, discardedResult(w.request.Settled))
}

// discardedResult returns the result for a request whose answer is no longer
// kept.
func discardedResult(outcome model.Outcome) model.Result {
	if outcome == model.Ran {
		return model.Result{Outcome: model.Ran, Code: model.CodeAnswerNotKept}
	}
	return model.Result{Outcome: model.Unknown, Code: model.CodeClaimedElsewhere}
}

func (r *Reducer) startWithTicket(w *work, ticket model.Ticket) {
	if !r.ticketer.IssuedHere(ticket) {
		r.forwardToKeyHolder(w, ticket.Instance, ticket.Incarnation, "ticket of another instance")
		return
	}
	r.ticketer.Lifetime = r.policy.OnceOnly.TicketLifetime.Duration
	if r.ticketer.Expired(ticket, r.now) {
		r.refuse(w, model.CodeTicketExpired, "")
		return
	}
	r.startWithKey(w, ticket.Issued.Add(r.ticketer.Lifetime+w.kind.Deadline.Duration))
}

// startWithKey runs the request, joins it to a running one with the same key or
// replays the result of a finished one.
func (r *Reducer) startWithKey(w *work, expires time.Time) {
	record, started := r.keeper.Begin(w.request.Key, w.request.Digest, w.request.ID, expires)
	switch {
	case started:
		w.authoritative = true
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
		r.replayResult(w, record.Result, record.RunningRequestID)
	default:
		w.state = joined
		r.record("joined", w.request.ID, record.RunningRequestID, "same key", "")
		r.emit(message.Timer{At: w.request.Deadline, Event: message.Expired{ID: w.request.ID}})
	}
}

// replayResult answers with the result of an earlier request.
func (r *Reducer) replayResult(w *work, result model.Result, runningRequestID string) {
	delete(r.pending, w.request.ID)
	if result.Outcome == model.Ran && !r.retained[runningRequestID] {
		result = discardedResult(model.Ran)
	}
	r.record("repeated", w.request.ID, runningRequestID, "same key", "")
	r.reply(w, result, runningRequestID)
}

// finishOnceOnly completes the record of a key and answers the requests that
// joined it.
func (r *Reducer) finishOnceOnly(w *work, result model.Result) {
	runningRequestID, ok := r.keeper.RunningRequestID(w.request.Key)
	if !ok || runningRequestID != w.request.ID {
		return
	}
	if result.Outcome == model.Ran {
		r.retained[w.request.ID] = true
		r.emit(message.RetainAnswer{ID: w.request.ID})
	}
	for _, id := range r.keeper.Finish(w.request.Key, result) {
		if waiter, ok := r.pending[id]; ok {
			delete(r.pending, id)
			r.reply(waiter, result, w.request.ID)
		}
	}
	// A claim whose work did not run stays with this process, which handles
	// later attempts: releasing the claim could race with one of them.
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

func (r *Reducer) handleSettled(e message.Settled) {
	if !e.OK {
		return
	}
	delete(r.unsettled, e.Key)
	r.keeper.Pin(e.Key, false)
}

// retrySettling repeats the writes of outcomes that the store has not confirmed.
func (r *Reducer) retrySettling() {
	for _, key := range slices.Sorted(maps.Keys(r.unsettled)) {
		r.settle(r.unsettled[key])
	}
}

func (r *Reducer) expireOnceOnlyRecords() {
	for _, runningRequestID := range r.keeper.Expire(r.now) {
		if r.retained[runningRequestID] {
			delete(r.retained, runningRequestID)
			r.emit(message.DiscardAnswer{ID: runningRequestID})
		}
	}
}

// claimKey claims, in the store, a key that the caller chose. It refuses the
// request if the instance's share of the store's writes is used up.
func (r *Reducer) claimKey(w *work) {
	if !r.allowClaim() {
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

// allowClaim limits the rate of claims, with bursts of at most one second's
// worth.
func (r *Reducer) allowClaim() bool {
	limit := rate.Limit(r.policy.OnceOnly.ClaimsPerSecond)
	if r.claimLimiter == nil || r.claimLimiter.Limit() != limit {
		r.claimLimiter = rate.NewLimiter(limit, int(math.Ceil(float64(limit))))
	}
	return r.claimLimiter.AllowN(r.now, 1)
}

func (r *Reducer) handleClaimed(e message.Claimed) {
	w, ok := r.pending[e.ID]
	if !ok || w.state != claiming {
		return
	}
	r.record("claimed", w.request.ID, e.Holder.Holder, string(e.Status), "")
	switch e.Status {
	case message.ClaimGranted:
		r.startClaimed(w, e.Holder)
	case message.ClaimHeld:
		r.handleHeldClaim(w, e.Holder)
	default:
		r.refuse(w, model.CodeStoreUnavailable, "try again with the same key, or use a ticket")
	}
}

func (r *Reducer) startClaimed(w *work, claim model.Claim) {
	w.claim = &claim
	r.startWithKey(w, r.now.Add(r.policy.OnceOnly.KeyLifetime.Duration))
}

// handleHeldClaim handles a key that was claimed before.
func (r *Reducer) handleHeldClaim(w *work, claim model.Claim) {
	switch {
	case claim.Digest != w.request.Digest:
		r.finish(w, model.Result{
			Outcome: model.NotRun,
			Code:    model.CodeKeyReused,
			Detail:  "the key was used with another body",
		})
	case claim.Holder == r.Self.Name && claim.Incarnation == r.Self.Incarnation:
		r.handleClaimHeldHere(w, claim)
	case claim.Outcome == model.Ran && !r.members.alive(r.now, claim.Holder, claim.Incarnation):
		r.finish(w, discardedResult(model.Ran))
	default:
		w.request.Settled = claim.Outcome
		r.forwardToKeyHolder(w, claim.Holder, claim.Incarnation, "key held by another instance")
	}
}

// handleClaimHeldHere handles a key that this process holds according to the
// store. If there is no record in memory, the record of a settled claim has
// expired, and no work has run for a claim without an outcome.
func (r *Reducer) handleClaimHeldHere(w *work, claim model.Claim) {
	if _, known := r.keeper.RunningRequestID(claim.Key); known || claim.Outcome == "" {
		r.startClaimed(w, claim)
		return
	}
	r.finish(w, discardedResult(claim.Outcome))
}

// forwardToKeyHolder forwards a request to the only process that may decide
// about its key.
func (r *Reducer) forwardToKeyHolder(w *work, name, incarnation, reason string) {
	if w.request.Bound {
		r.refuse(w, model.CodeIssuerUnreachable, "handed on twice")
		return
	}
	peer := r.members.find(name, incarnation)
	if peer == nil {
		r.refuse(w, model.CodeIssuerUnreachable, fmt.Sprintf("%s (%s)", name, incarnation))
		return
	}
	w.withKeyHolder = true
	r.forward(w, peer, reason)
}

func (r *Reducer) handleTicketRequested(e message.TicketRequested) {
	if r.policy == nil || r.stopping.active {
		r.emit(message.AnswerTicket{ID: e.ID})
		return
	}
	lifetime := r.policy.OnceOnly.TicketLifetime.Duration
	r.record("ticket_issued", "", strconv.FormatUint(e.Random, 36), "", "")
	r.emit(message.AnswerTicket{
		ID:      e.ID,
		Ticket:  r.ticketer.Issue(r.now, e.Random),
		Expires: r.now.Add(lifetime),
	})
}
