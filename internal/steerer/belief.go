package steerer

import (
	"time"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// storeState records whether the store responds.
type storeState struct {
	unavailable bool
	lostAt      time.Time
	// recordsDueAt is the time by which records that lapsed in the last outage must be
	// back.
	recordsDueAt time.Time
	// restoredUntil is the time until which the store may lack what it had acknowledged
	// before it came back from a copy.
	restoredUntil time.Time
}

func (s *Steerer) handleStoreLost(e traffic.StoreLost) {
	if s.store.unavailable {
		return
	}
	s.store = storeState{unavailable: true, lostAt: s.now, restoredUntil: s.store.restoredUntil}
	s.recordStateChange("store lost", attr("error", e.Err.Error()))
}

func (s *Steerer) handleStoreRegained(e traffic.StoreRegained) {
	if !s.store.unavailable {
		return
	}
	outage := s.now.Sub(s.store.lostAt)
	s.store = storeState{recordsDueAt: s.now.Add(s.times().LapsedRecordWait(e.SinceFailure)), restoredUntil: s.store.restoredUntil}
	s.recordStateChange("store regained", attr("away_for", outage))
}

// missingRecordDeadline returns the time until which a missing record may be due to
// a store outage. Its owner must have written it again by then.
func (s *Steerer) missingRecordDeadline() time.Time {
	if s.store.unavailable {
		return s.now.Add(s.Settings.Bounds.ReturnWait.Duration)
	}
	if s.store.recordsDueAt.IsZero() {
		return s.now
	}
	return s.store.recordsDueAt
}

func (s *Steerer) handleEvacuationSeen(domain string) {
	if s.evacuated[domain] {
		return
	}
	s.evacuated[domain] = true
	s.recordStateChange("evacuation", attr("evacuated_domain", domain))
}

// handleEvacuationGone makes a failure domain's servers eligible again. They
// are treated as cold for the longest cold period, since they may have
// restarted during the evacuation without a report that reached this instance.
func (s *Steerer) handleEvacuationGone(domain string) {
	if !s.evacuated[domain] {
		return
	}
	delete(s.evacuated, domain)
	s.coldDomains[domain] = s.now.Add(s.longestColdPeriod())
	s.recordStateChange("evacuation ended", attr("evacuated_domain", domain))
}

func (s *Steerer) handleEvacuationsListed(domains map[string]bool) {
	if s.isRestored() {
		return
	}
	for domain := range s.evacuated {
		if !domains[domain] {
			s.handleEvacuationGone(domain)
		}
	}
}

func (s *Steerer) longestColdPeriod() time.Duration {
	longest := time.Duration(0)
	if s.policy == nil {
		return longest
	}
	for _, svc := range s.policy.Services {
		longest = max(longest, svc.ColdPeriod)
	}
	return longest
}
