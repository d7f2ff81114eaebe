package steerer

import (
	"iter"
	"slices"
	"testing"
	"time"
)

// Guards against refusals below the quota where demand is calm and uneven, and against a
// message for each request.
func TestQuotaInCalm(t *testing.T) {
	for nodes, burst := range quotaSizes() {
		f := newQuotaFleet(1, nodes, *quotaOrganisations, 21, 2, burst)
		f.run(10 * time.Second)
		f.checkRule(t, "calm")
		missing := f.shortfall(quotaWarmUp+time.Second, quotaWarmUp+10*time.Second)
		perSecond := float64(f.queries) / float64(nodes) / 10
		t.Logf("%d instances, bursts of %s: %.4f refused below the quota, %d requests, %d queries (%d to other regions) with %d wishes (%.1f queries per second and instance)",
			nodes, burst, missing, f.requests(), f.queries, f.far, f.wishes, perSecond)
		slices.Sort(f.waits)
		t.Logf("%d instances, bursts of %s: half of the requests waited up to %s for a token, 90 %% up to %s, 99 %% up to %s",
			nodes, burst, f.waits[len(f.waits)/2], f.waits[len(f.waits)*9/10], f.waits[len(f.waits)*99/100])
		if missing > 0.005 {
			t.Errorf("%d instances, bursts of %s: %.4f refused below the quota", nodes, burst, missing)
		}
		if f.queries > f.requests()*3/4 {
			t.Errorf("%d instances, bursts of %s: %d queries for %d requests", nodes, burst, f.queries, f.requests())
		}
	}
}

const (
	shortBurst = 100 * time.Millisecond
	longBurst  = 500 * time.Millisecond
)

// quotaSizes returns numbers of instances with the bursts of the organisations.
func quotaSizes() iter.Seq2[int, time.Duration] {
	sizes := []int{10, 88}
	if *quotaInstances > 0 {
		sizes = []int{*quotaInstances}
	}
	return func(yield func(int, time.Duration) bool) {
		for _, nodes := range sizes {
			for _, burst := range []time.Duration{shortBurst, longBurst} {
				if !yield(nodes, burst) {
					return
				}
			}
		}
	}
}

// Guards against refusals below the quota while tokens follow their callers elsewhere.
func TestQuotaAfterAMoveOfCallers(t *testing.T) {
	for nodes, burst := range quotaSizes() {
		f := newQuotaFleet(2, nodes, *quotaOrganisations, 21, 2, burst)
		f.schedule(quotaWarmUp+4*time.Second, func() {
			for i, c := range f.callers {
				f.placeCallers(c, []int{1, 3, nodes}[(i+1)%3], nodes)
			}
		})
		f.run(8 * time.Second)
		f.checkRule(t, "move")
		missing := f.shortfall(quotaWarmUp+4*time.Second, quotaWarmUp+6*time.Second)
		t.Logf("%d instances, bursts of %s: %.4f refused below the quota in the 2 s after the move", nodes, burst, missing)
		if missing > 0.03 {
			t.Errorf("%d instances, bursts of %s: %.4f refused below the quota in the 2 s after the move", nodes, burst, missing)
		}
	}
}

// Guards against refusals below the quota while one of three regions reaches neither the
// others nor the store, and against more than the quota on both sides of the cut.
func TestQuotaWhileARegionIsCutOff(t *testing.T) {
	for nodes, burst := range quotaSizes() {
		f := newQuotaFleet(3, nodes, *quotaOrganisations, 21, 2, burst)
		f.schedule(quotaWarmUp+2*time.Second, func() { f.cutRegion = "b" })
		f.schedule(quotaWarmUp+8*time.Second, func() { f.cutRegion = "" })
		f.run(14 * time.Second)
		f.checkRule(t, "cut")
		missing := f.shortfall(quotaWarmUp+2*time.Second, quotaWarmUp+8*time.Second)
		after := f.shortfall(quotaWarmUp+8*time.Second, quotaWarmUp+14*time.Second)
		t.Logf("%d instances, bursts of %s: %.4f refused below the quota in the cut, %.4f after it", nodes, burst, missing, after)
		if missing > 0.1 {
			t.Errorf("%d instances, bursts of %s: %.4f refused below the quota in the cut", nodes, burst, missing)
		}
	}
}

// Guards against a quota that is not used up where one organisation sends far more: a hot
// organisation gets all of its quota and no more.
func TestQuotaOfAHotOrganisation(t *testing.T) {
	for nodes, burst := range quotaSizes() {
		f := newQuotaFleet(4, nodes, *quotaOrganisations, 21, 2, burst)
		for i := range 3 {
			c := f.callers[i]
			f.schedule(quotaWarmUp+3*time.Second, func() { c.perSecond *= 7.5 })
			f.schedule(quotaWarmUp+9*time.Second, func() { c.perSecond /= 7.5 })
		}
		f.run(18 * time.Second)
		f.checkRule(t, "hot")
		missing := f.shortfall(quotaWarmUp+3*time.Second, quotaWarmUp+9*time.Second)
		calm := f.shortfall(quotaWarmUp+10*time.Second, quotaWarmUp+18*time.Second)
		t.Logf("%d instances, bursts of %s: %.4f refused below the quota, %.4f afterwards", nodes, burst, missing, calm)
		if missing > 0.05 || calm > 0.005 {
			t.Errorf("%d instances, bursts of %s: %.4f refused below the quota, %.4f afterwards", nodes, burst, missing, calm)
		}
	}
}

// Guards against refusals below the quota where the store is away until all leases have
// lapsed, and where it comes back from a copy.
func TestQuotaWhileTheStoreIsAway(t *testing.T) {
	for nodes, burst := range quotaSizes() {
		f := newQuotaFleet(5, nodes, *quotaOrganisations, 21, 2, burst)
		f.schedule(quotaWarmUp+2*time.Second, func() { f.storeDown = true })
		f.schedule(quotaWarmUp+6500*time.Millisecond, func() {
			f.storeDown = false
			f.lapse()
		})
		f.run(14 * time.Second)
		f.checkRule(t, "store")
		missing := f.shortfall(quotaWarmUp+2*time.Second, quotaWarmUp+14*time.Second)
		t.Logf("%d instances, bursts of %s: %.4f refused below the quota", nodes, burst, missing)
		if missing > 0.005 {
			t.Errorf("%d instances, bursts of %s: %.4f refused below the quota", nodes, burst, missing)
		}
	}
}

// Guards against quotas that nobody lends after a lender is killed, for good or for as long
// as a restart takes.
func TestQuotaAfterTheDeathOfALender(t *testing.T) {
	for _, after := range []time.Duration{2 * time.Second, time.Hour} {
		f := newQuotaFleet(6, 88, 86, 21, 2, longBurst)
		f.schedule(quotaWarmUp+2*time.Second, func() {
			for _, n := range f.nodes {
				if n.running && len(n.lenders.slots) > 0 {
					n.restart(after)
					return
				}
			}
		})
		f.run(14 * time.Second)
		f.checkRule(t, "death")
		missing := f.shortfall(quotaWarmUp+2*time.Second, quotaWarmUp+14*time.Second)
		t.Logf("back after %s: %.4f refused below the quota", after, missing)
		if missing > 0.03 {
			t.Errorf("back after %s: %.4f refused below the quota", after, missing)
		}
	}
}

// Guards against quotas that nobody lends around planned stops: all lenders are stopped and
// started one after the other, 5 s apart.
func TestQuotaWhileLendersRestartInOrder(t *testing.T) {
	f := newQuotaFleet(9, 88, 86, 21, 2, longBurst)
	f.schedule(quotaWarmUp+2*time.Second, func() {
		wait := time.Duration(0)
		for _, n := range f.nodes {
			if len(n.lenders.slots) > 0 {
				f.schedule(wait, n.restartInOrder)
				wait += 5 * time.Second
			}
		}
	})
	f.run(25 * time.Second)
	f.checkRule(t, "restarts")
	missing := f.shortfall(quotaWarmUp+2*time.Second, quotaWarmUp+25*time.Second)
	t.Logf("%.4f refused below the quota", missing)
	if missing > 0.03 {
		t.Errorf("%.4f refused below the quota", missing)
	}
}

// Guards against quotas that nobody lends after more than half of the instances were killed at
// once, all lenders among them.
func TestQuotaAfterTheDeathOfAllLenders(t *testing.T) {
	f := newQuotaFleet(7, 88, 86, 21, 2, longBurst)
	f.schedule(quotaWarmUp+2*time.Second, func() {
		for i, n := range f.nodes {
			if len(n.lenders.slots) > 0 || i%2 == 0 {
				n.restart(2 * time.Second)
			}
		}
	})
	f.run(8 * time.Second)
	f.checkRule(t, "death of all")
	missing := f.shortfall(quotaWarmUp+5*time.Second, quotaWarmUp+8*time.Second)
	t.Logf("%.4f refused below the quota from 1 s after the restart on", missing)
	if missing > 0.03 {
		t.Errorf("%.4f refused below the quota from 1 s after the restart on", missing)
	}
}

// Instances that can't call each other each have their part of each quota.
func TestQuotaWithoutCallsBetweenInstances(t *testing.T) {
	f := newQuotaFleet(8, 10, 6, 40, 2, longBurst)
	for _, c := range f.callers {
		c.perSecond *= 3
		f.placeCallers(c, len(f.nodes), len(f.nodes))
	}
	f.alone = true
	f.run(8 * time.Second)
	f.checkRule(t, "alone")
	missing := f.shortfall(quotaWarmUp+2*time.Second, quotaWarmUp+8*time.Second)
	t.Logf("%.4f refused below the quota, %d queries", missing, f.queries)
	if missing > 0.2 || f.queries > 0 {
		t.Errorf("%.4f refused below the quota, %d queries", missing, f.queries)
	}
}
