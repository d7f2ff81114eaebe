package apportioner

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// The shares of all instances must add up to the rate, and what each may save up, one
// request or what its share gives in a second, to no more than twice the rate.
func TestSharesAddUpToTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Apportioner{}
		n := 0
		for range rapid.IntRange(1, 4).Draw(t, "groups") {
			g := Group{Weight: rapid.Float64Range(0.001, 1).Draw(t, "weight")}
			for range rapid.IntRange(1, 40).Draw(t, "instances") {
				g.Names = append(g.Names, fmt.Sprintf("front-%d", n))
				n++
			}
			a.Groups = append(a.Groups, g)
		}
		a.Sort()
		rate := rapid.Float64Range(0.05, 200).Draw(t, "rate")
		sum, saved := 0.0, 0.0
		for _, g := range a.Groups {
			for _, name := range g.Names {
				share := a.Share(rate, "server-1", name)
				sum += share
				if share > 0 {
					saved += max(1, math.Floor(share))
				}
			}
		}
		assert.Assert(t, math.Abs(sum-rate) < 1e-6*rate, "%v of %v", sum, rate)
		assert.Assert(t, saved <= max(1, 2*rate), "%v saved at a rate of %v", saved, rate)
	})
}

// Every server's few holders are others, so that all instances have some.
func TestHoldersDiffer(t *testing.T) {
	a := Apportioner{Groups: []Group{{Weight: 1, Names: []string{"front-1", "front-2", "front-3", "front-4"}}}}
	held := make(map[string]int)
	for server := range 400 {
		for _, name := range a.Groups[0].Names {
			seed := fmt.Sprintf("server-%d", server)
			if a.Share(0.4, seed, name) > 0 {
				held[name]++
				assert.Equal(t, a.Rank(seed, name), 0)
			}
		}
	}
	for name, servers := range held {
		assert.Assert(t, servers > 60 && servers < 140, "%s holds %d", name, servers)
	}
}
