package steerer

import (
	"math"
	"time"
)

const (
	// homeLoad is the load, as a fraction of a region's slots, up to which the
	// region serves its own callers' objects. It assumes that all regions' callers
	// send the same load.
	homeLoad = 0.85
	// minShare gives every region a small weight, so that its servers remain
	// eligible after those of the regions with free capacity.
	minShare = 0.02
	// shiftFraction is the fraction of the shift cap used for changes of the region
	// shares. The rest is left for requests that move between an object's servers.
	shiftFraction = 0.8
)

// regionShares returns the weight of one slot in each region: the region's share of
// this region's callers' objects, divided by its slots. The shares follow the
// regions' capacity no faster than the shift cap allows. Since the cap is a
// fraction of the requests, all instances together stay below it if each one does,
// without coordination.
func (s *Steerer) regionShares(svc *service) map[string]float64 {
	slots, total := s.regionSlots(svc)
	target := s.targetShares(s.Self.Region, slots, total)
	if svc.shares == nil {
		svc.shares = target
	} else {
		svc.shares = moveTowards(svc.shares, target, s.shiftStep(svc))
	}
	svc.sharesAt = s.now
	perSlot := make(map[string]float64, len(slots))
	for region, n := range slots {
		perSlot[region] = (svc.shares[region] + minShare*n/total) / n
	}
	return perSlot
}

// regionSlots returns the number of slots per region and in total, without draining,
// leaving and evacuated servers and those whose records can't be true.
func (s *Steerer) regionSlots(svc *service) (slots map[string]float64, total float64) {
	slots = make(map[string]float64)
	for _, u := range svc.servers {
		if !u.Draining && !u.notice.leaving && !u.implausible && !s.evacuated[u.Domain] {
			slots[u.region] += float64(u.Slots)
			total += float64(u.Slots)
		}
	}
	return slots, total
}

// targetShares returns the shares of a region's callers' objects that each region serves.
// It keeps as many objects in the region as it has capacity for and divides the rest
// among the other regions by the capacity that their own callers leave free. Every
// instance computes this on its own from the servers' records, assuming that all regions'
// callers send the same load.
func (s *Steerer) targetShares(home string, slots map[string]float64, total float64) map[string]float64 {
	regions := float64(max(len(s.regions()), 1))
	// capacity is the fraction of all callers' objects that a region can serve.
	capacity := func(region string) float64 { return slots[region] / total / homeLoad }
	ownDemand := func(region string) float64 { return min(1/regions, capacity(region)) }
	spareCapacity := 0.0
	for region := range slots {
		if region != home {
			spareCapacity += capacity(region) - ownDemand(region)
		}
	}
	ownShare := 0.0
	if slots[home] > 0 {
		ownShare = ownDemand(home) * regions
	}
	shares := make(map[string]float64, len(slots))
	for region := range slots {
		switch {
		case region == home:
			shares[region] = ownShare
		case spareCapacity > 0:
			shares[region] = (1 - ownShare) * (capacity(region) - ownDemand(region)) / spareCapacity
		}
	}
	return shares
}

// shiftStep returns the fraction of the objects that may move to another region at
// this update of the shares.
func (s *Steerer) shiftStep(svc *service) float64 {
	bounds := s.Settings.Bounds
	window := bounds.ShiftWindow.Duration
	if bounds.ShiftCap <= 0 || window <= 0 {
		return 1
	}
	elapsed := min(s.now.Sub(svc.sharesAt), time.Second)
	return bounds.ShiftCap * shiftFraction * float64(elapsed) / float64(window)
}

// moveTowards returns shares moved towards the target shares. The part that moves
// between regions is at most step.
func moveTowards(shares, target map[string]float64, step float64) map[string]float64 {
	moved := 0.0
	for region := range unionKeys(shares, target) {
		moved += math.Abs(target[region]-shares[region]) / 2
	}
	if moved <= step {
		return target
	}
	next := make(map[string]float64, len(target))
	for region := range unionKeys(shares, target) {
		next[region] = shares[region] + (target[region]-shares[region])*step/moved
	}
	return next
}

func unionKeys(a, b map[string]float64) map[string]bool {
	keys := make(map[string]bool, len(a)+len(b))
	for key := range a {
		keys[key] = true
	}
	for key := range b {
		keys[key] = true
	}
	return keys
}

// regions returns the regions that the settings name.
func (s *Steerer) regions() map[string]bool {
	if s.regionNames == nil {
		s.regionNames = make(map[string]bool)
		for _, region := range s.Settings.Domains {
			s.regionNames[region] = true
		}
	}
	return s.regionNames
}
