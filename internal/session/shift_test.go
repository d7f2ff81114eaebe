package session

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/model"
)

// maxShift returns the largest fraction of a home's requests that moved to other
// failure domains between two adjacent windows, over all offsets.
func (sim *simulation) maxShift(home string, period time.Duration) float64 {
	worst := 0.0
	for from := settleTime; from+2*period <= sim.elapsed(); from += period / 10 {
		before, _ := sim.servedShares(home, from, from+period)
		after, n := sim.servedShares(home, from+period, from+2*period)
		gained, lost := 0.0, 0.0
		for domain := range sim.regionOf {
			change := after[domain] - before[domain]
			gained += max(0, change-1/float64(n))
			lost += max(0, -change)
		}
		// A domain can gain requests that were refused before, without a loss
		// elsewhere. These have not moved.
		moved := min(gained, lost)
		worst = max(worst, moved)
	}
	return worst
}

// servedShares returns the fraction of a home's requests that each failure domain
// executed, and the number of requests.
func (sim *simulation) servedShares(home string, from, to time.Duration) (map[string]float64, int) {
	servedShares := make(map[string]float64)
	total := 0
	for _, r := range sim.requests {
		sentAt := r.sentAt.Sub(sim.start)
		if r.home != home || sentAt < from || sentAt >= to {
			continue
		}
		total++
		if domain, ok := sim.executedIn[r.id]; ok {
			servedShares[domain]++
		}
	}
	for domain := range servedShares {
		servedShares[domain] /= float64(max(1, total))
	}
	return servedShares, max(1, total)
}

// TestShiftCap guards against moving more traffic per period than the shift cap
// allows. A region fails together with the store, recovers and then flaps. While
// it is down, its callers use instances elsewhere.
func TestShiftCap(t *testing.T) {
	const maxAllowed = 0.2 + 0.02 // The configured cap and a margin for rounding.
	sim := loadDeployment(t, 3, "verhaegen")
	sim.advance(settleTime)
	phases := []struct {
		regionDown bool
		d          time.Duration
	}{
		{false, 20 * time.Second},
		{true, 70 * time.Second},
		{false, 70 * time.Second},
		{true, 7 * time.Second},
		{false, 7 * time.Second},
		{true, 7 * time.Second},
		{false, 40 * time.Second},
	}
	for _, phase := range phases {
		if phase.regionDown {
			sim.stopDomains("gent-a", "gent-b")
			sim.store.down = true
			sim.sendStreamFrom("gent-a", "stock", 200, phase.d, "namur-a-1", "elsene-a-1", "namur-b-1")
		} else {
			if !sim.instances["gent-a-1"].alive {
				sim.restartDomains("gent-a", "gent-b")
				sim.store.down = false
			}
			sim.sendStreamFrom("gent-a", "stock", 200, phase.d, "gent-a-1", "gent-a-2")
		}
		sim.advance(phase.d)
	}
	sim.advance(3 * time.Second)
	sim.checkOutcomes()
	worst := sim.maxShift("gent-a", 10*time.Second)
	servedShares, _ := sim.servedShares("gent-a", settleTime+80*time.Second, settleTime+90*time.Second)
	t.Logf("largest shift in a period: %.3f; served at the end of the outage: %v", worst, servedShares)
	assert.Assert(t, worst <= maxAllowed, "moved %.3f", worst)
	served := 0.0
	for _, s := range servedShares {
		served += s
	}
	assert.Assert(t, served > 0.95, "not all traffic has moved after six periods: %v", servedShares)
}

// TestShiftCapUnderPatch checks that the shift cap also applies when a
// configuration patch drains a whole failure domain.
func TestShiftCapUnderPatch(t *testing.T) {
	sim := loadDeployment(t, 4, "verhaegen")
	sim.advance(settleTime)
	sim.sendStream("stock", 300, 120*time.Second, "namur-a-1", "namur-a-2")
	sim.advance(20 * time.Second)
	assert.NilError(t, sim.patch(1, "drain", []byte(`[{"op":"add","path":"/regions/1/drained","value":["namur-a"]}]`)))
	sim.advance(102 * time.Second)
	sim.checkOutcomes()
	worst := sim.maxShift("namur-a", 10*time.Second)
	remaining, _ := sim.servedShares("namur-a", settleTime+100*time.Second, settleTime+110*time.Second)
	t.Logf("largest shift in a period: %.3f; served at the end: %v", worst, remaining)
	assert.Assert(t, worst <= 0.22, "moved %.3f", worst)
	assert.Assert(t, remaining["namur-a"] < 0.01, "the domain is not drained: %v", remaining)
	assert.Equal(t, sim.countOutcomes(settleTime, sim.elapsed())[model.NotRun], 0, "requests were refused while draining")
}
