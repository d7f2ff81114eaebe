package steerer

import (
	"testing"
	"time"
)

// Guards against refusals below the quota where demand is calm and uneven, and against a
// message for each request.
func TestQuotaInCalm(t *testing.T) {
	for _, nodes := range quotaSizes() {
		f := newQuotaFleet(1, nodes, *quotaOrganisations, 21, 2)
		f.run(10 * time.Second)
		f.checkRule(t, "calm")
		missing := f.shortfall(quotaWarmUp+time.Second, quotaWarmUp+10*time.Second)
		perSecond := float64(f.queries) / float64(nodes) / 10
		t.Logf("%d instances: %.4f refused below the quota, %d requests, %d queries (%d to other regions) with %d wishes (%.1f queries per second and instance)",
			nodes, missing, f.requests(), f.queries, f.far, f.wishes, perSecond)
		if missing > 0.005 {
			t.Errorf("%d instances: %.4f refused below the quota", nodes, missing)
		}
		if f.queries > f.requests()*3/4 {
			t.Errorf("%d instances: %d queries for %d requests", nodes, f.queries, f.requests())
		}
	}
}

func quotaSizes() []int {
	if *quotaInstances > 0 {
		return []int{*quotaInstances}
	}
	return []int{10, 88}
}

// Guards against refusals below the quota while tokens follow their callers elsewhere.
func TestQuotaAfterAMoveOfCallers(t *testing.T) {
	for _, nodes := range quotaSizes() {
		f := newQuotaFleet(2, nodes, *quotaOrganisations, 21, 2)
		f.schedule(quotaWarmUp+4*time.Second, func() {
			for i, c := range f.callers {
				f.placeCallers(c, []int{1, 3, nodes}[(i+1)%3], nodes)
			}
		})
		f.run(8 * time.Second)
		f.checkRule(t, "move")
		missing := f.shortfall(quotaWarmUp+4*time.Second, quotaWarmUp+6*time.Second)
		t.Logf("%d instances: %.4f refused below the quota in the 2 s after the move", nodes, missing)
		if missing > 0.03 {
			t.Errorf("%d instances: %.4f refused below the quota in the 2 s after the move", nodes, missing)
		}
	}
}

// Guards against refusals below the quota while one of three regions reaches neither the
// others nor the store, and against more than the quota on both sides of the cut.
func TestQuotaWhileARegionIsCutOff(t *testing.T) {
	for _, nodes := range quotaSizes() {
		f := newQuotaFleet(3, nodes, *quotaOrganisations, 21, 2)
		f.schedule(quotaWarmUp+2*time.Second, func() { f.cutRegion = "b" })
		f.schedule(quotaWarmUp+8*time.Second, func() { f.cutRegion = "" })
		f.run(14 * time.Second)
		f.checkRule(t, "cut")
		missing := f.shortfall(quotaWarmUp+2*time.Second, quotaWarmUp+8*time.Second)
		after := f.shortfall(quotaWarmUp+8*time.Second, quotaWarmUp+14*time.Second)
		t.Logf("%d instances: %.4f refused below the quota in the cut, %.4f after it", nodes, missing, after)
		if missing > 0.1 {
			t.Errorf("%d instances: %.4f refused below the quota in the cut", nodes, missing)
		}
	}
}

// Guards against a quota that is not used up where one organisation sends far more: a hot
// organisation gets all of its quota and no more.
func TestQuotaOfAHotOrganisation(t *testing.T) {
	for _, nodes := range quotaSizes() {
		f := newQuotaFleet(4, nodes, *quotaOrganisations, 21, 2)
		for i := range 3 {
			c := f.callers[i]
			f.schedule(quotaWarmUp+3*time.Second, func() { c.perSecond *= 7.5 })
			f.schedule(quotaWarmUp+9*time.Second, func() { c.perSecond /= 7.5 })
		}
		f.run(18 * time.Second)
		f.checkRule(t, "hot")
		missing := f.shortfall(quotaWarmUp+3*time.Second, quotaWarmUp+9*time.Second)
		calm := f.shortfall(quotaWarmUp+10*time.Second, quotaWarmUp+18*time.Second)
		t.Logf("%d instances: %.4f refused below the quota, %.4f afterwards", nodes, missing, calm)
		if missing > 0.05 || calm > 0.005 {
			t.Errorf("%d instances: %.4f refused below the quota, %.4f afterwards", nodes, missing, calm)
		}
	}
}

// Guards against refusals below the quota where the store is away until all leases have
// lapsed, and where it comes back from a copy.
func TestQuotaWhileTheStoreIsAway(t *testing.T) {
	for _, nodes := range quotaSizes() {
		f := newQuotaFleet(5, nodes, *quotaOrganisations, 21, 2)
		f.schedule(quotaWarmUp+2*time.Second, func() { f.storeDown = true })
		f.schedule(quotaWarmUp+6500*time.Millisecond, func() {
			f.storeDown = false
			f.lapse()
		})
		f.run(14 * time.Second)
		f.checkRule(t, "store")
		missing := f.shortfall(quotaWarmUp+2*time.Second, quotaWarmUp+14*time.Second)
		t.Logf("%d instances: %.4f refused below the quota", nodes, missing)
		if missing > 0.005 {
			t.Errorf("%d instances: %.4f refused below the quota", nodes, missing)
		}
	}
}

// Guards against quotas that nobody lends after a lender is killed, for good or for as long
// as a restart takes.
func TestQuotaAfterTheDeathOfALender(t *testing.T) {
	for _, after := range []time.Duration{2 * time.Second, time.Hour} {
		f := newQuotaFleet(6, 88, 86, 21, 2)
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

// Guards against quotas that nobody lends after more than half of the instances were killed at
// once, all lenders among them.
func TestQuotaAfterTheDeathOfAllLenders(t *testing.T) {
	f := newQuotaFleet(7, 88, 86, 21, 2)
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
	f := newQuotaFleet(8, 10, 6, 40, 2)
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
