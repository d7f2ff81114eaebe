package session

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/model"
)

// worstShift returns the largest part of a home's requests that moved between
// two windows next to each other, over all offsets.
func (w *world) worstShift(home string, period time.Duration) float64 {
	worst := 0.0
	for from := settled; from+2*period <= w.elapsed(); from += period / 10 {
		before, _ := w.shares(home, from, from+period)
		after, n := w.shares(home, from+period, from+2*period)
		gained, lost := 0.0, 0.0
		for domain := range w.regions {
			change := after[domain] - before[domain]
			gained += max(0, change-1/float64(n))
			lost += max(0, -change)
		}
		// What is served again where it was refused has not moved.
		moved := min(gained, lost)
		worst = max(worst, moved)
	}
	return worst
}

// shares returns where a home's requests ran, as parts of all its requests.
func (w *world) shares(home string, from, to time.Duration) (map[string]float64, int) {
	shares := make(map[string]float64)
	total := 0
	for _, r := range w.results {
		due := r.due.Sub(w.begin)
		if r.home != home || due < from || due >= to {
			continue
		}
		total++
		if domain, ok := w.places[r.id]; ok {
			shares[domain]++
		}
	}
	for domain := range shares {
		shares[domain] /= float64(max(1, total))
	}
	return shares, max(1, total)
}

// TestShiftCap loses a region with the store in it, brings it back, and lets
// it flap. The callers of the lost region go to other instances meanwhile.
func TestShiftCap(t *testing.T) {
	const bound = 0.2 + 0.02 // The configured cap and rounding.
	w := load(t, 3, "verhaegen")
	w.run(settled)
	phases := []struct {
		lost bool
		d    time.Duration
	}{
		{false, 20 * time.Second},
		{true, 70 * time.Second},
		{false, 70 * time.Second},
		{true, 7 * time.Second},
		{false, 7 * time.Second},
		{true, 7 * time.Second},
		{false, 40 * time.Second},
	}
	for _, p := range phases {
		if p.lost {
			w.killDomains("gent-a", "gent-b")
			w.store.down = true
			w.streamFrom("gent-a", "stock", 200, p.d, "namur-a-1", "elsene-a-1", "namur-b-1")
		} else {
			if !w.nodes["gent-a-1"].alive {
				w.reviveDomains("gent-a", "gent-b")
				w.store.down = false
			}
			w.streamFrom("gent-a", "stock", 200, p.d, "gent-a-1", "gent-a-2")
		}
		w.run(p.d)
	}
	w.run(3 * time.Second)
	w.checkTruth()
	worst := w.worstShift("gent-a", 10*time.Second)
	shares, _ := w.shares("gent-a", settled+80*time.Second, settled+90*time.Second)
	t.Logf("worst shift in a period: %.3f; served at the end of the loss: %v", worst, shares)
	assert.Assert(t, worst <= bound, "moved %.3f", worst)
	served := 0.0
	for _, s := range shares {
		served += s
	}
	assert.Assert(t, served > 0.95, "after six periods all traffic has moved: %v", shares)
}

// TestShiftCapUnderPatch drains a failure domain by a patch that moves
// everything at once.
func TestShiftCapUnderPatch(t *testing.T) {
	w := load(t, 4, "verhaegen")
	w.run(settled)
	w.stream("stock", 300, 120*time.Second, "namur-a-1", "namur-a-2")
	w.run(20 * time.Second)
	assert.NilError(t, w.patch(1, "drain", []byte(`[{"op":"add","path":"/regions/1/drained","value":["namur-a"]}]`)))
	w.run(102 * time.Second)
	w.checkTruth()
	worst := w.worstShift("namur-a", 10*time.Second)
	left, _ := w.shares("namur-a", settled+100*time.Second, settled+110*time.Second)
	t.Logf("worst shift in a period: %.3f; at the end: %v", worst, left)
	assert.Assert(t, worst <= 0.22, "moved %.3f", worst)
	assert.Assert(t, left["namur-a"] < 0.01, "drained: %v", left)
	assert.Equal(t, w.sumOutcomes(settled, w.elapsed())[model.NotRun], 0, "a drain refuses nothing")
}
