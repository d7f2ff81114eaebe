package placer

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// first returns the server with the lowest score.
func first(p *Placer, object string, weights map[string]float64) string {
	best := ""
	lowest := math.Inf(1)
	for server, weight := range weights {
		if score := p.Score(object, server, weight); score < lowest {
			best, lowest = server, score
		}
	}
	return best
}

func TestSharesFollowWeights(t *testing.T) {
	p := &Placer{Seed: "stock"}
	counts := make(map[string]int)
	for i := range 9000 {
		counts[first(p, fmt.Sprint(i), map[string]float64{"a": 1, "b": 2, "c": 6})]++
	}
	for server, want := range map[string]int{"a": 1000, "b": 2000, "c": 6000} {
		assert.Assert(t, math.Abs(float64(counts[server]-want)) < 200, "server %s has %d objects, expected about %d", server, counts[server], want)
	}
}

// When a server leaves, only its own objects move to other servers.
func TestLeavingMovesOnlyOwnObjects(t *testing.T) {
	p := &Placer{Seed: "stock"}
	for i := range 1000 {
		object := fmt.Sprint(i)
		before := first(p, object, map[string]float64{"a": 1, "b": 1, "c": 1})
		after := first(p, object, map[string]float64{"a": 1, "b": 1})
		if before != "c" {
			assert.Equal(t, after, before)
		}
	}
	assert.Assert(t, math.IsInf(p.Score("x", "a", 0), 1))
}
