package shifter_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/yuccathread/yuccathread/internal/shifter"
)

var startTime = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// TestNeverMovesMoreThanTheCap sends a random number of requests per window to a
// random failure domain and compares the requests beyond its base with the cap.
func TestNeverMovesMoreThanTheCap(t *testing.T) {
	domains := []string{"home", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		shiftCap := float64(rapid.IntRange(1, 10).Draw(t, "cap")) / 20
		s := shifter.Shifter{Home: "home", Cap: shiftCap, Period: 10 * time.Second}
		now := startTime
		for range rapid.IntRange(1, 6).Draw(t, "windows") {
			s.Advance(now)
			base := make(map[string]float64)
			for d, f := range s.Base() {
				base[d] = f
			}
			counts := make(map[string]int)
			requests, slices := 0, 1
			target := domains[rapid.IntRange(0, 2).Draw(t, "wanted")]
			for range rapid.IntRange(20, 400).Draw(t, "requests") {
				now = now.Add(20 * time.Millisecond)
				s.Advance(now)
				requests++
				if s.TryMove(target, 0) {
					counts[target]++
				} else {
					s.RecordCapRefusal(0)
					s.RecordRefused()
				}
			}
			slices += requests * 20 / 1000
			moved := max(0, float64(counts[target])-base[target]*float64(requests))
			// Each slice rounds the base up by less than one request.
			if moved > shiftCap*float64(requests)+float64(slices) {
				t.Fatalf("moved %.1f of %d requests to %s with a base of %.2f and a cap of %.2f", moved, requests, target, base[target], shiftCap)
			}
			now = startTime.Add(now.Sub(startTime).Truncate(10*time.Second) + 10*time.Second)
		}
	})
}

func TestRefusedRequestsDoNotCountAsMoved(t *testing.T) {
	s := shifter.Shifter{Home: "home", Cap: 0.2, Period: 10 * time.Second}
	now := startTime
	for window := range 6 {
		for range 500 {
			s.Advance(now)
			now = now.Add(20 * time.Millisecond)
			if !s.TryMove("away", 0) {
				s.RecordCapRefusal(0)
				s.RecordRefused()
			}
		}
		s.Advance(now)
		want := min(1, 0.2*float64(window+1))
		got := s.Base()["away"]
		assert.Assert(t, got > want-0.03 && got < want+0.03, "window %d: %.3f", window, got)
	}
}

func TestUrgentRanksMoveFirst(t *testing.T) {
	s := shifter.Shifter{Home: "home", Cap: 0.2, Period: 10 * time.Second}
	now := startTime
	var moved [2]int
	for i := range 2000 {
		s.Advance(now)
		now = now.Add(10 * time.Millisecond)
		rank := 0
		if i%5 > 0 {
			rank = 1 // Four of five requests have the less urgent rank.
		}
		if s.TryMove("away", rank) {
			if i >= 1000 {
				moved[rank]++
			}
			continue
		}
		s.RecordCapRefusal(rank)
		s.RecordRefused()
	}
	assert.Assert(t, moved[0] > 150, "urgent requests moved in the second window: %d of 200", moved[0])
}

func TestMinimumMovesAtLowTraffic(t *testing.T) {
	s := shifter.Shifter{Home: "home", Cap: 0.1, Period: 10 * time.Second, MinRequests: 1}
	moved := 0
	for i := range 9 {
		s.Advance(startTime.Add(time.Duration(i) * 3 * time.Second))
		if s.TryMove("away", 0) {
			moved++
			continue
		}
		s.RecordRefused()
	}
	assert.Assert(t, moved >= 3, "%d of 9 requests moved", moved)
}
