// Package shifter limits how fast traffic moves between failure domains.
//
// A Shifter tracks the requests for one service whose callers have the same
// home failure domain. Time is divided into windows of length Period. The base
// is the distribution of requests over failure domains in the previous window;
// requests sent to a failure domain beyond its base count as moved. Each window
// is divided into slices, and at any moment the moved requests of a slice stay
// within Cap times the requests of the slice so far. Allowance that one slice
// did not use is not carried over to the next, so that traffic does not return
// faster after a period of refusals. The cap is a fraction of an instance's own
// requests: if every instance respects it, so does the fleet as a whole, without
// any coordination.
//
// Refused requests are attributed to the failure domains that received fewer
// requests than their base, so that refusals do not count as movement. More
// urgent ranks use the allowance first: each rank leaves free what the ranks
// above it asked for in the previous window.
//
// Usage:
//
//	s := shifter.Shifter{Home: "gent-a", Cap: 0.1, Period: 10 * time.Second, MinRequests: 1}
//	s.Advance(now)
//	if !s.TryMove("namur-a", rank) {
//		s.RecordCapRefusal(rank)
//		s.RecordRefused()
//	}
package shifter

import (
	"math"
	"time"
)

// slicesPerWindow is the number of slices that a window is divided into.
const slicesPerWindow = 10

// interval counts the requests of one window or slice.
type interval struct {
	start    time.Time
	byDomain map[string]int
	requests int
}

func newInterval(now time.Time) interval {
	return interval{start: now, byDomain: make(map[string]int)}
}

func (i *interval) add(domain string, n int) {
	if domain != "" {
		i.byDomain[domain] = max(0, i.byDomain[domain]+n)
	}
	i.requests = max(0, i.requests+n)
}

// Shifter tracks the requests for one service from one home failure domain and
// limits how many of them move. Set the exported fields before the first call;
// Cap, Period and MinRequests may change later.
type Shifter struct {
	Home   string
	Cap    float64
	Period time.Duration
	// MinRequests is the number of requests per window that may move even if the cap
	// allows fewer.
	MinRequests int

	base   map[string]float64
	window interval
	slice  interval
	// refused counts the requests of the window that were refused.
	refused int
	// previousRequests is the number of requests in the last closed window.
	// Windows without requests are not closed.
	previousRequests int
	lastUsed         time.Time
	now              time.Time

	moved  []int     // By rank, in the open window.
	wanted []int     // By rank, in the open window: moved, or refused because of the cap.
	demand []float64 // By rank, in the previous window: wanted divided by all requests.
}

// SetBase sets the base from the distribution that other instances report, for an
// instance that has no history of its own. The values are normalized to fractions;
// without any, the whole base is in the home failure domain.
func (s *Shifter) SetBase(base map[string]float64) {
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

// Advance starts a new slice or closes the window when its time is over. Call it
// before TryMove. A window without requests is restarted, and one whose requests
// are too few for the cap to let any move is extended, unless MinRequests is set.
func (s *Shifter) Advance(now time.Time) {
	if s.base == nil {
		s.SetBase(nil)
	}
	if s.window.byDomain == nil {
		s.openWindow(now)
		s.lastUsed = now
	}
	s.now = now
	if now.Sub(s.slice.start) >= s.Period/slicesPerWindow && s.permitsMove(s.slice) {
		s.slice = newInterval(now)
	}
	if now.Sub(s.window.start) < s.Period {
		return
	}
	if s.window.requests == 0 {
		s.window.start = now
		return
	}
	if s.MinRequests == 0 && !s.permitsMove(s.window) {
		return
	}
	s.closeWindow()
	s.openWindow(now)
}

// permitsMove reports whether the interval has enough requests for the cap to
// let at least one of them move.
func (s *Shifter) permitsMove(i interval) bool {
	return float64(i.requests)*s.Cap >= 1
}

// TryMove counts a request as sent to a failure domain, which may be the home. It
// returns false and counts nothing if that would move more requests than the cap
// allows.
func (s *Shifter) TryMove(domain string, rank int) bool {
	s.growRanks(rank)
	requests := s.slice.requests + 1
	before := s.excess(domain, s.slice.byDomain[domain], requests)
	after := s.excess(domain, s.slice.byDomain[domain]+1, requests)
	if after > before {
		if !s.mayMove(rank, requests, after-before) {
			return false
		}
		s.moved[rank]++
		s.wanted[rank]++
	}
	s.slice.add(domain, 1)
	s.window.add(domain, 1)
	s.lastUsed = s.now
	return true
}

// mayMove reports whether the given number of additional requests of a rank may
// move.
func (s *Shifter) mayMove(rank, requests, additional int) bool {
	if s.totalExcess(requests)+additional <= int(s.Cap*float64(requests))-s.reserved(rank) {
		return true
	}
	movedTotal := 0
	for _, n := range s.moved {
		movedTotal += n
	}
	return movedTotal < s.MinRequests
}

// Undo reverses a TryMove for a request that did not run in the failure domain.
func (s *Shifter) Undo(domain string) {
	s.slice.add(domain, -1)
	s.window.add(domain, -1)
}

// RecordCapRefusal records that a request of a rank was refused because of the cap.
func (s *Shifter) RecordCapRefusal(rank int) {
	s.growRanks(rank)
	s.wanted[rank]++
}

// RecordRefused counts a request that was refused for any reason, and so did not
// move.
func (s *Shifter) RecordRefused() {
	s.refused++
	s.slice.add("", 1)
	s.window.add("", 1)
	s.lastUsed = s.now
}

// Base returns the fraction of requests that each failure domain received in the
// previous window.
func (s *Shifter) Base() map[string]float64 {
	return s.base
}

// Shares returns the current distribution of requests over failure domains: that
// of the open window once it has enough requests, otherwise that of the previous
// one.
func (s *Shifter) Shares() map[string]float64 {
	if !s.permitsMove(s.window) {
		return s.base
	}
	return s.nextBase()
}

// RequestCount returns the number of requests in the open window or the previous
// one, whichever is larger.
func (s *Shifter) RequestCount() int {
	return max(s.window.requests, s.previousRequests)
}

// Idle returns the time since the last request.
func (s *Shifter) Idle(now time.Time) time.Duration {
	return now.Sub(s.lastUsed)
}

func (s *Shifter) openWindow(now time.Time) {
	s.window = newInterval(now)
	s.slice = newInterval(now)
	s.refused = 0
	s.moved = make([]int, len(s.moved))
	s.wanted = make([]int, len(s.wanted))
}

func (s *Shifter) closeWindow() {
	s.demand = make([]float64, len(s.wanted))
	for r, n := range s.wanted {
		s.demand[r] = float64(n) / float64(s.window.requests)
	}
	s.previousRequests = s.window.requests
	s.base = s.nextBase()
}

// nextBase returns the base that results from closing the open window now.
func (s *Shifter) nextBase() map[string]float64 {
	base := make(map[string]float64)
	for domain, n := range s.window.byDomain {
		base[domain] = float64(n) / float64(s.window.requests)
	}
	s.attributeRefused(base)
	return base
}

// attributeRefused adds the refused requests to the failure domains that received
// fewer requests than their base, in proportion to their shortfall.
func (s *Shifter) attributeRefused(base map[string]float64) {
	shortfalls := make(map[string]float64)
	total := 0.0
	for domain, f := range s.base {
		if shortfall := f - base[domain]; shortfall > 0 {
			shortfalls[domain] = shortfall
			total += shortfall
		}
	}
	if total == 0 {
		return
	}
	refused := float64(s.refused) / float64(s.window.requests)
	for domain, shortfall := range shortfalls {
		base[domain] += refused * shortfall / total
	}
}

// excess returns how many of a failure domain's requests are beyond its base. The
// base is rounded up to whole requests, so that a constant distribution over
// several failure domains does not count as movement.
func (s *Shifter) excess(domain string, count, requests int) int {
	const epsilon = 1e-9
	baseCount := int(math.Ceil(s.base[domain]*float64(requests) - epsilon))
	return max(0, count-baseCount)
}

func (s *Shifter) totalExcess(requests int) int {
	totalExcess := 0
	for domain, count := range s.slice.byDomain {
		totalExcess += s.excess(domain, count, requests)
	}
	return totalExcess
}

// reserved returns the part of the slice's allowance that more urgent ranks are
// expected to need, based on their demand in the previous window.
func (s *Shifter) reserved(rank int) int {
	reserved := 0.0
	for r := 0; r < rank && r < len(s.demand); r++ {
		reserved += s.demand[r] * float64(s.slice.requests)
	}
	return int(reserved)
}

func (s *Shifter) growRanks(rank int) {
	for len(s.moved) <= rank {
		s.moved = append(s.moved, 0)
		s.wanted = append(s.wanted, 0)
	}
}
