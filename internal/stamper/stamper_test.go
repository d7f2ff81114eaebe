package stamper_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccathread/yuccathread/internal/model"
	"github.com/yuccathread/yuccathread/internal/stamper"
)

func before(a, b model.Stamp) bool {
	return a.WallMS < b.WallMS || a.WallMS == b.WallMS && a.Logical < b.Logical
}

// Three instances whose clocks differ by up to 40 s send each other random
// messages; receiving a message must always get a later stamp than sending it.
func TestCausesPrecedeEffects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
		var clocks [3]stamper.Stamper
		var last [3]model.Stamp
		skew := [3]time.Duration{0, 20 * time.Second, -20 * time.Second}
		for range rapid.IntRange(1, 100).Draw(t, "messages") {
			from, to := rapid.IntRange(0, 2).Draw(t, "from"), rapid.IntRange(0, 2).Draw(t, "to")
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "ms")) * time.Millisecond)
			sent := clocks[from].Next(now.Add(skew[from]))
			clocks[to].Merge(now.Add(skew[to]), sent)
			received := clocks[to].Next(now.Add(skew[to]))
			if !before(sent, received) || !before(last[from], sent) {
				t.Fatalf("sent %v after %v, received %v", sent, last[from], received)
			}
			last[from], last[to] = sent, received
		}
	})
}

func TestBrokenClockIsIgnored(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	var s stamper.Stamper
	s.Merge(now, model.Stamp{WallMS: now.Add(time.Hour).UnixMilli()})
	if got := s.Next(now); got.WallMS != now.UnixMilli() {
		t.Fatalf("%v", got)
	}
}
