package splitter

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestEveryPrefixKeepsTheShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(0, 100), 1, 5).Draw(t, "weights")
		total := 0.0
		for _, w := range weights {
			total += w
		}
		var s Splitter
		counts := make([]int, len(weights))
		for n := 1; n <= 200; n++ {
			i := s.Next(weights)
			if total == 0 {
				if i != -1 {
					t.Fatalf("part %d was chosen without weights", i)
				}
				continue
			}
			counts[i]++
			for part, w := range weights {
				if deviation := math.Abs(float64(counts[part]) - w/total*float64(n)); deviation > float64(len(weights)) {
					t.Fatalf("part %d deviates by %.1f after %d requests", part, deviation, n)
				}
			}
		}
	})
}

func TestNewWeightsResetTheCredits(t *testing.T) {
	var s Splitter
	assert.Equal(t, s.Next([]float64{1}), 0)
	assert.Equal(t, s.Next([]float64{0, 1}), 1)
	assert.Equal(t, s.Next(nil), -1)
}
