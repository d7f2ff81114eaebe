package steerer

import (
	"time"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// storeState is what is known about the store's answers.
type storeState struct {
	away     bool
	since    time.Time
	regained time.Time
}

func (s *Steerer) storeLost(e traffic.StoreLost) {
	if s.store.away {
		return
	}
	s.store = storeState{away: true, since: s.now}
	s.recordBelief("store lost", attr("error", e.Err.Error()))
}

func (s *Steerer) storeRegained() {
	if !s.store.away {
		return
	}
	away := s.now.Sub(s.store.since)
	s.store = storeState{regained: s.now}
	s.recordBelief("store regained", attr("away_for", away))
}

// doubtUntil returns until when the loss of a record may be the store's doing.
func (s *Steerer) doubtUntil() time.Time {
	if s.store.away {
		return s.now.Add(s.Settings.Bounds.ReturnWait.Duration)
	}
	if s.store.regained.IsZero() {
		return s.now
	}
	return s.store.regained.Add(s.Settings.Bounds.ReturnWait.Duration)
}

func (s *Steerer) evacuationSeen(domain string) {
	if s.evacuated[domain] {
		return
	}
	s.evacuated[domain] = true
	s.recordBelief("evacuation", attr("failure_domain", domain))
}

// evacuationGone takes a failure domain back. Its servers may have become cold
// meanwhile without a report that has reached this instance.
func (s *Steerer) evacuationGone(domain string) {
	if !s.evacuated[domain] {
		return
	}
	delete(s.evacuated, domain)
	s.cooling[domain] = s.now.Add(s.longestCold())
	s.recordBelief("evacuation ended", attr("failure_domain", domain))
}

func (s *Steerer) listEvacuations(domains map[string]bool) {
	for domain := range s.evacuated {
		if !domains[domain] {
			s.evacuationGone(domain)
		}
	}
}

func (s *Steerer) longestCold() time.Duration {
	longest := time.Duration(0)
	if s.policy == nil {
		return longest
	}
	for _, v := range s.policy.Services {
		longest = max(longest, v.ColdPeriod)
	}
	return longest
}
