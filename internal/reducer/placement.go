package reducer

import (
	"slices"
	"strconv"

	"github.com/yuccathread/yuccathread/internal/model"
)

const (
	// spillFactor is how many round trips of waiting here are better than
	// going to another region.
	spillFactor = 1
	// queueFactor is how many times longer work must wait here than elsewhere
	// before it is handed on to wait there.
	queueFactor = 2
)

// place decides where work runs: at once on an own server, at another
// instance, later here, or not at all.
func (r *Reducer) place(w *work) {
	if w.request.Hops > 0 {
		r.placeHere(w)
		return
	}
	w.steered = true
	reason := r.placeAnywhere(w)
	if reason == "" {
		return
	}
	if reason == model.CodeShiftCap {
		r.shifter(w).Want(w.kind.rank)
	}
	r.refuse(w, reason, r.explain(w))
}

// explain gives the figures behind a refusal.
func (r *Reducer) explain(w *work) string {
	p := r.pool(w.kind.Service)
	allowed, busy := r.capacity(p)
	s := r.shifter(w)
	return "slots=" + strconv.Itoa(allowed) + " busy=" + strconv.Itoa(busy) +
		" queued=" + strconv.Itoa(p.queue.Len()) + " home=" + w.request.Home +
		" home_share=" + strconv.FormatFloat(s.Base()[w.request.Home], 'f', 2, 64)
}

// placeHere admits work that another instance handed on. Only own servers
// count: what they can take is known here and nowhere else.
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
	if !r.runHere(w, p) && !r.enqueue(w, p) {
		r.refuse(w, model.CodeOverloaded, r.explain(w))
	}
}

// placeAnywhere tries the failure domains in order and returns the reason
// where none takes the work.
func (r *Reducer) placeAnywhere(w *work) model.Code {
	reason := model.CodeNoUpstream
	p := r.pool(w.kind.Service)
	order := r.policy.order(w.kind, w.request.Home)
	for _, domain := range order {
		code := r.tryDomain(w, p, order, domain)
		if code == "" {
			return ""
		}
		reason = worse(reason, code)
	}
	return r.placeInQueue(w, p, order, reason)
}

// placeInQueue lets work wait here, or at another instance where its rank
// waits much less, so that urgent work does not wait beside another's
// background work.
func (r *Reducer) placeInQueue(w *work, p *pool, order []string, reason model.Code) model.Code {
	wait, here := r.expectedWait(w, p)
	here = here && slices.Contains(order, r.Self.Domain)
	for _, domain := range order {
		m, there := r.members.shortest(r.now, domain, w.kind.Service, w.kind.rank, w.tried)
		if m == nil || here && wait < queueFactor*there {
			continue
		}
		code := r.tryMember(w, m, "shorter queue")
		if code == "" {
			return ""
		}
		reason = worse(reason, code)
	}
	if !here || !r.take(w, r.Self.Domain) {
		return reason
	}
	if r.enqueue(w, p) {
		return ""
	}
	r.untake(w)
	return worse(reason, model.CodeOverloaded)
}

// worse returns the reason that explains a refusal best.
func worse(a, b model.Code) model.Code {
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
	m := r.freeMember(w, domain)
	if m == nil {
		return r.emptyReason(w.kind.Service, domain)
	}
	if slices.Contains(order, r.Self.Domain) && r.betterHere(w, p, m) {
		return ""
	}
	return r.tryMember(w, m, "free slots there")
}

func (r *Reducer) tryOwnDomain(w *work, p *pool) model.Code {
	if r.freeServer(p) != nil {
		if !r.take(w, r.Self.Domain) {
			return model.CodeShiftCap
		}
		if r.runHere(w, p) {
			return ""
		}
		r.untake(w)
	}
	m := r.freeMember(w, r.Self.Domain)
	if m == nil {
		return r.emptyReason(w.kind.Service, r.Self.Domain)
	}
	return r.tryMember(w, m, "free slots at a sibling")
}

func (r *Reducer) emptyReason(service, domain string) model.Code {
	if r.members.serves(r.now, domain, service) {
		return model.CodeOverloaded
	}
	return model.CodeNoUpstream
}

// betterHere lets work wait here where that costs less than another region's
// round trip.
func (r *Reducer) betterHere(w *work, p *pool, m *member) bool {
	if m.Region == r.Self.Region || r.policy.drained[r.Self.Domain] {
		return false
	}
	wait, ok := r.expectedWait(w, p)
	if !ok || wait > spillFactor*m.roundTrip.Mean() {
		return false
	}
	if !r.take(w, r.Self.Domain) {
		return false
	}
	if r.enqueue(w, p) {
		return true
	}
	r.untake(w)
	return false
}

func (r *Reducer) tryMember(w *work, m *member, reason string) model.Code {
	if !r.take(w, m.Domain) {
		return model.CodeShiftCap
	}
	if m.Region != r.Self.Region && !r.linker.Reserve(r.now, m.Region, w.request.BodyBytes+envelopeBytes) {
		r.untake(w)
		return model.CodeLinkLimit
	}
	r.forward(w, m, reason)
	return ""
}

func (r *Reducer) freeMember(w *work, domain string) *member {
	return r.members.free(r.now, domain, w.kind.Service, w.tried)
}

func (r *Reducer) runHere(w *work, p *pool) bool {
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
	r.pump(p)
	return true
}
