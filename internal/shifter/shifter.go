// Package shifter keeps the movement of traffic between failure domains under
// a cap.
//
// One Shifter follows the traffic of one service from one home. Time is cut
// into windows of a period. The base is where the traffic went in the last
// window; what is sent to a failure domain beyond its base has moved. Windows
// are cut into slices, and the moved part stays below Cap times the requests
// of the slice at every moment of it. A slice does not make up for what an
// earlier one left out, so that traffic comes back no faster after refusals.
// Fractions compose: where every instance keeps below the cap, so does the sum
// over all of them, with no messages.
//
// A request that is refused counts with the failure domains that had fewer
// requests than their base, so that refusals do not look like movement.
// The allowance goes to urgent ranks first: a rank leaves alone what the ranks
// above it asked for in the last window.
//
// Usage:
//
//	s := shifter.Shifter{Home: "gent-a", Cap: 0.1, Period: 10 * time.Second, Minimum: 1}
//	s.Advance(now)
//	if !s.Take("namur-a", rank) {
//		s.Want(rank)
//		s.Stay()
//	}
package shifter

import (
	"math"
	"time"
)

// slices is the number of slices in a window.
const slices = 10

// tally counts requests in a part of time.
type tally struct {
	started  time.Time
	counts   map[string]int
	requests int
}

func newTally(now time.Time) tally {
	return tally{started: now, counts: make(map[string]int)}
}

func (t *tally) add(domain string, n int) {
	if domain != "" {
		t.counts[domain] = max(0, t.counts[domain]+n)
	}
	t.requests = max(0, t.requests+n)
}

// Shifter follows one service's traffic from one home. Set the exported
// fields before the first call; Cap, Period and Minimum may change later.
type Shifter struct {
	Home   string
	Cap    float64
	Period time.Duration
	// Minimum is the number of requests per window that may move in any case.
	Minimum int

	base   map[string]float64
	window tally
	slice  tally
	// refused counts the requests of the window that went nowhere.
	refused int
	// last is the number of requests in the last window that had any.
	last int
	used time.Time
	now  time.Time

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
	if s.window.counts == nil {
		s.open(now)
		s.used = now
	}
	s.now = now
	if now.Sub(s.slice.started) >= s.Period/slices && s.enough(s.slice) {
		s.slice = newTally(now)
	}
	if now.Sub(s.window.started) < s.Period {
		return
	}
	if s.window.requests == 0 {
		s.window.started = now
		return
	}
	if s.Minimum == 0 && !s.enough(s.window) {
		return
	}
	s.close()
	s.open(now)
}

// enough reports whether a tally is large enough for the cap to let one
// request pass.
func (s *Shifter) enough(t tally) bool {
	return float64(t.requests)*s.Cap >= 1
}

// Take counts a request sent to a failure domain, or returns false if that
// would move more than the cap allows.
func (s *Shifter) Take(domain string, rank int) bool {
	s.size(rank)
	requests := s.slice.requests + 1
	before := s.excess(domain, s.slice.counts[domain], requests)
	after := s.excess(domain, s.slice.counts[domain]+1, requests)
	if after > before {
		if !s.mayMove(rank, requests, after-before) {
			return false
		}
		s.moved[rank]++
		s.wanted[rank]++
	}
	s.slice.add(domain, 1)
	s.window.add(domain, 1)
	s.used = s.now
	return true
}

// mayMove reports whether more requests of a rank may move.
func (s *Shifter) mayMove(rank, requests, more int) bool {
	if s.total(requests)+more <= int(s.Cap*float64(requests))-s.reserved(rank) {
		return true
	}
	all := 0
	for _, n := range s.moved {
		all += n
	}
	return all < s.Minimum
}

// Return takes back a Take whose request did not run there.
func (s *Shifter) Return(domain string) {
	s.slice.add(domain, -1)
	s.window.add(domain, -1)
}

// Want notes that a request of a rank could not move yet.
func (s *Shifter) Want(rank int) {
	s.size(rank)
	s.wanted[rank]++
}

// Stay counts a request that was refused, for whatever reason: it has not moved.
func (s *Shifter) Stay() {
	s.refused++
	s.slice.add("", 1)
	s.window.add("", 1)
	s.used = s.now
}

// Base returns the fraction of traffic that went to a failure domain in the
// last window.
func (s *Shifter) Base() map[string]float64 {
	return s.base
}

// Shares returns where the traffic goes now: in the open window once it has
// enough requests to say so, else in the last one.
func (s *Shifter) Shares() map[string]float64 {
	if !s.enough(s.window) {
		return s.base
	}
	return s.closing()
}

// Weight returns the number of requests in the open window or the last one,
// whichever is larger.
func (s *Shifter) Weight() int {
	return max(s.window.requests, s.last)
}

// Idle returns the time since the last request.
func (s *Shifter) Idle(now time.Time) time.Duration {
	return now.Sub(s.used)
}

func (s *Shifter) open(now time.Time) {
	s.window = newTally(now)
	s.slice = newTally(now)
	s.refused = 0
	s.moved = make([]int, len(s.moved))
	s.wanted = make([]int, len(s.wanted))
}

func (s *Shifter) close() {
	s.demand = make([]float64, len(s.wanted))
	for r, n := range s.wanted {
		s.demand[r] = float64(n) / float64(s.window.requests)
	}
	s.last = s.window.requests
	s.base = s.closing()
}

// closing returns the base that the open window would leave behind.
func (s *Shifter) closing() map[string]float64 {
	base := make(map[string]float64)
	for domain, n := range s.window.counts {
		base[domain] = float64(n) / float64(s.window.requests)
	}
	s.keepRefused(base)
	return base
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
	refused := float64(s.refused) / float64(s.window.requests)
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
	for domain, count := range s.slice.counts {
		total += s.excess(domain, count, requests)
	}
	return total
}

// reserved is the part of the slice's allowance that ranks above are expected
// to ask for, by what they asked for in the last window.
func (s *Shifter) reserved(rank int) int {
	reserved := 0.0
	for r := 0; r < rank && r < len(s.demand); r++ {
		reserved += s.demand[r] * float64(s.slice.requests)
	}
	return int(reserved)
}

func (s *Shifter) size(rank int) {
	for len(s.moved) <= rank {
		s.moved = append(s.moved, 0)
		s.wanted = append(s.wanted, 0)
	}
}
