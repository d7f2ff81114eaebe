package sharer

import (
	"math"
	"slices"
	"time"
)

// divide divides the room anew if the last time is long ago.
func (s *Sharer) divide(now time.Time) {
	elapsed := now.Sub(s.dividedAt)
	if elapsed < dividePeriod && !s.dividedAt.IsZero() {
		return
	}
	if s.dividedAt.IsZero() {
		s.startedAt = now
	}
	s.bounded(0)
	decay := math.Exp(-elapsed.Seconds() / s.Window.Seconds())
	s.dividedAt = now
	s.fitting *= decay
	s.collectDemands(now, decay)
	asked := 0.0
	for r := range s.ranks {
		asked += s.ranks[r].asked
	}
	if asked-s.fitting <= tolerance*asked {
		for r := range s.ranks {
			s.ranks[r].level = math.Inf(1)
		}
		return
	}
	parts := s.parts()
	for r := range s.ranks {
		s.ranks[r].level = waterLevel(s.ranks[r].demands, parts[r])
	}
}

// collectDemands lets what was asked for decay, forgets idle organisations and lists the
// demands by rank.
func (s *Sharer) collectDemands(now time.Time, decay float64) {
	for r := range s.ranks {
		s.ranks[r].asked = 0
		s.ranks[r].demands = s.ranks[r].demands[:0]
	}
	for key, a := range s.accounts {
		if now.Sub(a.askedAt) > idleWindows*s.Window {
			delete(s.accounts, key)
			continue
		}
		a.asked *= decay
		r := &s.ranks[key.rank]
		r.demands = append(r.demands, a.asked)
	}
	for i := range s.ranks {
		r := &s.ranks[i]
		// The order of a map differs from run to run, and sums of floats depend on it.
		slices.Sort(r.demands)
		for _, demand := range r.demands {
			r.asked += demand
		}
	}
}

// parts returns the part of the room that each rank gets: its floor, and then, in the order
// of urgency, what it asks for beyond that.
func (s *Sharer) parts() []float64 {
	parts := make([]float64, len(s.ranks))
	rest := s.fitting
	for r := range parts {
		floor := 0.0
		if r < len(s.Floors) {
			floor = s.Floors[r]
		}
		parts[r] = min(s.ranks[r].asked, floor*s.fitting)
		rest -= parts[r]
	}
	for r := range parts {
		extra := min(s.ranks[r].asked-parts[r], max(rest, 0))
		parts[r] += extra
		rest -= extra
	}
	return parts
}

// waterLevel returns the level at which the demands, cut off there, add up to the room. The
// demands are sorted. The level is infinite if there is room for all.
func waterLevel(demands []float64, room float64) float64 {
	for i, demand := range demands {
		rest := float64(len(demands) - i)
		if demand*rest >= room {
			return level(room, rest, demand)
		}
		room -= demand
	}
	return math.Inf(1)
}

// level divides the room among those that ask for at least demand.
func level(room, claimants, demand float64) float64 {
	const roundingError = 1e-9
	if claimants == 1 && demand-room <= roundingError*demand {
		return math.Inf(1)
	}
	return room / claimants
}
