package reducer

import (
	"slices"
	"strconv"

	"github.com/yuccathread/yuccathread/internal/model"
)

const (
	// spillRoundTrips is the longest wait in this instance's queue, in round
	// trips to another region, that is preferred to forwarding there.
	spillRoundTrips = 1
	// queueWaitFactor is how many times longer a request would have to wait
	// here than at another instance before it is forwarded to that instance's
	// queue.
	queueWaitFactor = 2
)

// place decides where a request runs: on one of this instance's servers, at
// once or after it has waited for a slot, at another instance, or not at all.
func (r *Reducer) place(w *work) {
	if w.request.Hops > 0 {
		r.placeHere(w)
		return
	}
	w.countedInFlow = true
	reason := r.placeAnywhere(w)
	if reason == "" {
		return
	}
	if reason == model.CodeShiftCap {
		r.shifter(w).RecordCapRefusal(w.kind.rank)
	}
	r.refuse(w, reason, r.loadDetail(w))
}

// loadDetail returns the load figures that explain a refusal.
func (r *Reducer) loadDetail(w *work) string {
	p := r.pool(w.kind.Service)
	allowed, busy := r.capacity(p)
	s := r.shifter(w)
	return "slots=" + strconv.Itoa(allowed) + " busy=" + strconv.Itoa(busy) +
		" queued=" + strconv.Itoa(p.queue.Len()) + " home=" + w.request.Home +
		" home_share=" + strconv.FormatFloat(s.Base()[w.request.Home], 'f', 2, 64)
}

// placeHere places a request that another instance forwarded. Only this
// instance's servers are considered, because no other instance knows their
// current capacity.
func (r *Reducer) placeHere(w *work) {
	p := r.pool(w.kind.Service)
	if len(p.servers) == 0 {
		r.refuse(w, model.CodeNoUpstream, "")
		return
	}
	if !r.reserveAnswer(w) {
		r.refuse(w, model.CodeLinkLimit, w.request.OriginRegion)
		return
	}
	if !r.tryOwnServers(w, p) && !r.enqueue(w, p) {
		r.refuse(w, model.CodeOverloaded, r.loadDetail(w))
	}
}

// placeAnywhere tries the failure domains in order. It returns an empty code on
// success and the reason if none takes the request.
func (r *Reducer) placeAnywhere(w *work) model.Code {
	reason := model.CodeNoUpstream
	p := r.pool(w.kind.Service)
	order := r.policy.domainOrder(w.kind, w.request.Home)
	for _, domain := range order {
		code := r.tryDomain(w, p, order, domain)
		if code == "" {
			return ""
		}
		reason = moreSpecific(reason, code)
	}
	return r.placeInQueue(w, p, order, reason)
}

// placeInQueue queues a request here, or at another instance where its rank
// waits much less, so that urgent work does not wait here while another
// instance still runs background work.
func (r *Reducer) placeInQueue(w *work, p *pool, order []string, reason model.Code) model.Code {
	ownWait, canWaitHere := r.expectedWait(w, p)
	canWaitHere = canWaitHere && slices.Contains(order, r.Self.Domain)
	for _, domain := range order {
		peer, peerWait := r.members.shortestWait(r.now, domain, w.kind.Service, w.kind.rank, w.tried)
		if peer == nil || canWaitHere && ownWait < queueWaitFactor*peerWait {
			continue
		}
		code := r.tryMember(w, peer, "shorter queue")
		if code == "" {
			return ""
		}
		reason = moreSpecific(reason, code)
	}
	if !canWaitHere || !r.chargeDomain(w, r.Self.Domain) {
		return reason
	}
	if r.enqueue(w, p) {
		return ""
	}
	r.refundDomain(w)
	return moreSpecific(reason, model.CodeOverloaded)
}

// moreSpecific returns the code that says more about why a request was refused.
func moreSpecific(a, b model.Code) model.Code {
	order := []model.Code{
		model.CodeNoUpstream,
		model.CodeOverloaded,
		model.CodeLinkLimit,
		model.CodeShiftCap,
	}
	if slices.Index(order, b) > slices.Index(order, a) {
		return b
	}
	return a
}

func (r *Reducer) tryDomain(w *work, p *pool, order []string, domain string) model.Code {
	if domain == r.Self.Domain {
		return r.tryOwnDomain(w, p)
	}
	peer := r.freeMember(w, domain)
	if peer == nil {
		return r.noCapacityReason(w.kind.Service, domain)
	}
	if slices.Contains(order, r.Self.Domain) && r.enqueueIfFaster(w, p, peer) {
		return ""
	}
	return r.tryMember(w, peer, "free slots there")
}

func (r *Reducer) tryOwnDomain(w *work, p *pool) model.Code {
	if r.freeServer(p) != nil {
		if !r.chargeDomain(w, r.Self.Domain) {
			return model.CodeShiftCap
		}
		if r.tryOwnServers(w, p) {
			return ""
		}
		r.refundDomain(w)
	}
	peer := r.freeMember(w, r.Self.Domain)
	if peer == nil {
		return r.noCapacityReason(w.kind.Service, r.Self.Domain)
	}
	return r.tryMember(w, peer, "free slots at a sibling")
}

// noCapacityReason distinguishes a failure domain without servers of the
// service from one whose servers are all busy.
func (r *Reducer) noCapacityReason(service, domain string) model.Code {
	if r.members.serves(r.now, domain, service) {
		return model.CodeOverloaded
	}
	return model.CodeNoUpstream
}

// enqueueIfFaster queues a request here instead of forwarding it to another
// region, if the expected wait is at most spillRoundTrips round trips to that
// region. It reports whether the request was queued.
func (r *Reducer) enqueueIfFaster(w *work, p *pool, peer *member) bool {
	if peer.Region == r.Self.Region || r.policy.drained[r.Self.Domain] {
		return false
	}
	wait, ok := r.expectedWait(w, p)
	if !ok || wait > spillRoundTrips*peer.roundTrip.Mean() {
		return false
	}
	if !r.chargeDomain(w, r.Self.Domain) {
		return false
	}
	if r.enqueue(w, p) {
		return true
	}
	r.refundDomain(w)
	return false
}

func (r *Reducer) tryMember(w *work, peer *member, reason string) model.Code {
	if !r.chargeDomain(w, peer.Domain) {
		return model.CodeShiftCap
	}
	if peer.Region != r.Self.Region && !r.linker.Reserve(r.now, peer.Region, w.request.BodyBytes+envelopeBytes) {
		r.refundDomain(w)
		return model.CodeLinkLimit
	}
	r.forward(w, peer, reason)
	return ""
}

func (r *Reducer) freeMember(w *work, domain string) *member {
	return r.members.mostFree(r.now, domain, w.kind.Service, w.tried)
}

// tryOwnServers dispatches a request to a free server of this instance, or
// queues it behind the requests that are already queued for one.
func (r *Reducer) tryOwnServers(w *work, p *pool) bool {
	s := r.freeServer(p)
	if s == nil || slices.Contains(w.tried, s.Name) && len(p.servers) > 1 {
		return false
	}
	if p.queue.Len() == 0 {
		r.dispatch(w, s, "free slot")
		return true
	}
	if !r.enqueue(w, p) {
		return false
	}
	r.dispatchQueued(p)
	return true
}
