// Package shifter keeps the movement of traffic between failure domains under
// a cap.
//
// One Shifter follows the traffic of one service from one home. Time is cut
// into windows. The base is where the traffic went in the last window; what a
// window sends to a failure domain beyond its base has moved. The moved part
// stays below Cap times the requests of the window at every moment of it.
// Fractions compose: where every instance keeps below the cap, so does the sum
// over all of them, with no messages.
//
// A request that may not move yet is refused and counted with the failure
// domain that it would have left, so that refusals do not look like movement.
// The allowance goes to urgent ranks first: a rank leaves alone what the ranks
// above it asked for in the last window.
//
// Usage:
//
//	s := shifter.Shifter{Home: "gent-a", Cap: 0.1, Period: 10 * time.Second, Minimum: 1}
//	s.Advance(now)
//	if s.Take("namur-a", rank) { ... } else { s.Refuse(rank) }
package shifter

import (
	"math"
	"time"
)

// Shifter follows one service's traffic from one home. Set the exported
// fields before the first call; Cap, Period and Minimum may change later.
type Shifter struct {
	Home   string
	Cap    float64
	Period time.Duration
	// Minimum is the number of requests per window that may move in any case.
	Minimum int

	base     map[string]float64
	counts   map[string]int
	requests int
	refused  int
	started  time.Time

	moved  []int     // By rank, this window.
	wanted []int     // By rank, this window: moved or refused.
	demand []float64 // By rank, last window: wanted per request.
}

// Adopt sets the base from what the fleet reports, for an instance that has
// no history of its own. The fractions need not add up to 1.
func (s *Shifter) Adopt(base map[string]float64) {
	s.base = make(map[string]float64, len(base))
	total := 0.0
	for _, f := range base {
		total += f
	}
	if total <= 0 {
		s.base[s.Home] = 1
		return
	}
	for domain, f := range base {
		s.base[domain] = f / total
	}
}

// Advance closes the window if its period is over. Call it before Take.
func (s *Shifter) Advance(now time.Time) {
	if s.base == nil {
		s.Adopt(nil)
	}
	if s.counts == nil {
		s.open(now)
	}
	if now.Sub(s.started) < s.Period {
		return
	}
	if s.requests == 0 {
		s.started = now
		return
	}
	if s.Minimum == 0 && float64(s.requests)*s.Cap < 1 {
		return
	}
	s.close()
	s.open(now)
}

// Take counts a request sent to a failure domain, or returns false if that
// would move more than the cap allows.
func (s *Shifter) Take(domain string, rank int) bool {
	s.size(rank)
	requests := s.requests + 1
	before := s.excess(domain, s.counts[domain], requests)
	after := s.excess(domain, s.counts[domain]+1, requests)
	if after > before {
		if s.total(requests)+after-before > s.allowance(requests)-s.reserved(rank, requests) {
			return false
		}
		s.moved[rank]++
		s.wanted[rank]++
	}
	s.counts[domain]++
	s.requests++
	return true
}

// Return takes back a Take whose request did not run there.
func (s *Shifter) Return(domain string) {
	if s.counts[domain] == 0 {
		return
	}
	s.counts[domain]--
	s.requests--
}

// Refuse counts a request that could not move yet.
func (s *Shifter) Refuse(rank int) {
	s.size(rank)
	s.refused++
	s.requests++
	s.wanted[rank]++
}

// Base returns the fraction of traffic that went to a failure domain in the
// last window.
func (s *Shifter) Base() map[string]float64 {
	return s.base
}

// Requests returns the number of requests counted in the open window.
func (s *Shifter) Requests() int {
	return s.requests
}

// Moved returns the number of requests moved in the open window.
func (s *Shifter) Moved() int {
	return s.total(s.requests)
}

func (s *Shifter) open(now time.Time) {
	s.started = now
	s.counts = make(map[string]int)
	s.requests = 0
	s.refused = 0
	s.moved = make([]int, len(s.moved))
	s.wanted = make([]int, len(s.wanted))
}

func (s *Shifter) close() {
	s.demand = make([]float64, len(s.wanted))
	for r, n := range s.wanted {
		s.demand[r] = float64(n) / float64(s.requests)
	}
	base := make(map[string]float64)
	for domain, n := range s.counts {
		base[domain] = float64(n) / float64(s.requests)
	}
	s.keepRefused(base)
	s.base = base
}

// keepRefused adds the refused requests to the failure domains that had fewer
// requests than their base.
func (s *Shifter) keepRefused(base map[string]float64) {
	lacking := make(map[string]float64)
	total := 0.0
	for domain, f := range s.base {
		if lack := f - base[domain]; lack > 0 {
			lacking[domain] = lack
			total += lack
		}
	}
	if total == 0 {
		return
	}
	refused := float64(s.refused) / float64(s.requests)
	for domain, lack := range lacking {
		base[domain] += refused * lack / total
	}
}

// excess rounds the base up to whole requests, so that a steady mixture of
// failure domains does not count as movement.
func (s *Shifter) excess(domain string, count, requests int) int {
	const rounding = 1e-9
	kept := int(math.Ceil(s.base[domain]*float64(requests) - rounding))
	return max(0, count-kept)
}

func (s *Shifter) total(requests int) int {
	total := 0
	for domain, count := range s.counts {
		total += s.excess(domain, count, requests)
	}
	return total
}

func (s *Shifter) allowance(requests int) int {
	return max(s.Minimum, int(s.Cap*float64(requests)))
}

func (s *Shifter) reserved(rank, requests int) int {
	reserved := 0
	for r := 0; r < rank && r < len(s.demand); r++ {
		expected := int(s.demand[r] * float64(requests))
		reserved += max(0, expected-s.moved[r])
	}
	return reserved
}

func (s *Shifter) size(rank int) {
	for len(s.moved) <= rank {
		s.moved = append(s.moved, 0)
		s.wanted = append(s.wanted, 0)
	}
}
