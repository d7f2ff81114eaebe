package reducer

import (
	"github.com/yuccathread/yuccathread/internal/shifter"
)

// flowIdlePeriods is the number of shift periods after which a flow without
// requests is dropped.
const flowIdlePeriods = 2

// chargeDomain counts the request as sent to a failure domain in the shifter of
// the request's flow. It returns false if the shift cap does not allow that.
func (r *Reducer) chargeDomain(w *work, domain string) bool {
	if !r.shifter(w).TryMove(domain, w.kind.rank) {
		return false
	}
	w.chargedDomain = domain
	return true
}

// refundDomain reverses chargeDomain for a request that did not run there.
func (r *Reducer) refundDomain(w *work) {
	if w.chargedDomain == "" {
		return
	}
	r.shifter(w).Undo(w.chargedDomain)
	w.chargedDomain = ""
}

func (r *Reducer) shifter(w *work) *shifter.Shifter {
	return r.flowShifter(flow{service: w.kind.Service, home: w.request.Home, regions: w.kind.regionsKey})
}

// flowShifter returns the shifter of a flow. A new shifter starts with the
// shares that the rest of the fleet reports.
func (r *Reducer) flowShifter(f flow) *shifter.Shifter {
	s, ok := r.shifters[f]
	if !ok {
		s = &shifter.Shifter{Home: f.home}
		s.SetBase(r.members.flowShares(r.now, f))
		r.shifters[f] = s
	}
	s.Cap = r.policy.Shift.Cap
	s.Period = r.policy.Shift.Period.Duration
	s.MinRequests = r.policy.Shift.MinimumRequests
	s.Advance(r.now)
	return s
}

// expireFlows drops flows without requests, so that a flow that resumes starts
// with the shares that the fleet reports at that time.
func (r *Reducer) expireFlows() {
	for f, s := range r.shifters {
		if s.Idle(r.now) > flowIdlePeriods*s.Period {
			delete(r.shifters, f)
		}
	}
}
