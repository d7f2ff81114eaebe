package pacer

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// No window of the given length may hold more events than the limit, wherever
// it starts.
func TestEveryWindowKeepsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 5).Draw(t, "limit")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		p := Pacer{Window: time.Second}
		now := time.Unix(1_800_000_000, 0)
		var taken []time.Time
		for range 300 {
			now = now.Add(time.Duration(random.IntN(200)) * time.Millisecond)
			if p.CanTake(now, limit) {
				p.Count(now)
				taken = append(taken, now)
			}
		}
		for i := limit; i < len(taken); i++ {
			if taken[i].Sub(taken[i-limit]) <= time.Second {
				t.Fatalf("%d events within a second", limit+1)
			}
		}
	})
}

func TestZeroLimitAllowsNothing(t *testing.T) {
	p := Pacer{Window: time.Second}
	assert.Assert(t, !p.CanTake(time.Unix(1, 0), 0))
}
