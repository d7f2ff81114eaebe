package steerer

import (
	"time"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// storeState is what is known about the store's answers on one subject.
type storeState struct {
	away     bool
	since    time.Time
	regained time.Time
}

func (s *Steerer) storeLost(e traffic.StoreLost) {
	state := s.store[e.Subject]
	if state.away {
		return
	}
	s.store[e.Subject] = storeState{away: true, since: s.now}
	s.recordBelief("store lost", attr("subject", string(e.Subject)), attr("error", e.Err.Error()))
}

func (s *Steerer) storeRegained(subject traffic.Subject) {
	state := s.store[subject]
	if !state.away {
		return
	}
	s.store[subject] = storeState{regained: s.now}
	s.recordBelief("store regained", attr("subject", string(subject)), attr("away_for", s.now.Sub(state.since)))
}

// doubtUntil returns until when the loss of a record may be the store's doing.
func (s *Steerer) doubtUntil(subject traffic.Subject) time.Time {
	state := s.store[subject]
	if state.away {
		return s.now.Add(s.Settings.Bounds.ReturnWait.Duration)
	}
	if state.regained.IsZero() {
		return s.now
	}
	return state.regained.Add(s.Settings.Bounds.ReturnWait.Duration)
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

func (s *Steerer) evacuationsListed(domains map[string]bool) {
	s.listed[traffic.Operators] = true
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
