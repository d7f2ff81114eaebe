package reducer

import (
	"github.com/yuccathread/yuccathread/internal/shifter"
)

// idlePeriods is the number of shift periods after which a flow without
// requests is forgotten.
const idlePeriods = 2

// take charges the request to a failure domain, if the shift cap allows it.
func (r *Reducer) take(w *work, domain string) bool {
	if !r.shifter(w).Take(domain, w.kind.rank) {
		return false
	}
	w.domain = domain
	return true
}

func (r *Reducer) untake(w *work) {
	if w.domain == "" {
		return
	}
	r.shifter(w).Return(w.domain)
	w.domain = ""
}

func (r *Reducer) shifter(w *work) *shifter.Shifter {
	return r.flow(flow{service: w.kind.Service, home: w.request.Home, regions: w.kind.regions})
}

// flow returns the shifter of a flow. A new one starts from where the rest of
// the fleet reports that the traffic goes.
func (r *Reducer) flow(f flow) *shifter.Shifter {
	s, ok := r.shifters[f]
	if !ok {
		s = &shifter.Shifter{Home: f.home}
		s.Adopt(r.members.shares(r.now, f))
		r.shifters[f] = s
	}
	s.Cap = r.policy.Shift.Cap
	s.Period = r.policy.Shift.Period.Duration
	s.Minimum = r.policy.Shift.MinimumRequests
	s.Advance(r.now)
	return s
}

// expireFlows drops flows without requests, so that one that comes back starts
// from where the fleet sends it then.
func (r *Reducer) expireFlows() {
	for f, s := range r.shifters {
		if s.Idle(r.now) > idlePeriods*s.Period {
			delete(r.shifters, f)
		}
	}
}
