package steerer

import (
	"math"
	"time"
)

const (
	// homeLoad is the load of a region up to which its callers' objects stay
	// in it, as a part of its slots when all regions ask for the same.
	homeLoad = 0.85
	// minShare keeps every region in an object's order, behind those that have
	// room for it.
	minShare = 0.02
	// shiftPart of the cap is used for objects that move on purpose; the rest is
	// left for the choice between an object's servers.
	shiftPart = 0.8
)

// regionShares returns, per slot, the part of the own callers' objects that
// each region takes. It follows what the regions have room for, no faster than
// the shift cap: fractions compose, so that where every instance keeps below
// the cap, so does the sum, with no messages.
func (s *Steerer) regionShares(v *service) map[string]float64 {
	slots, total := s.regionSlots(v)
	target := s.targetShares(slots, total)
	if v.shares == nil {
		v.shares = target
	} else {
		v.shares = approach(v.shares, target, s.shiftStep(v))
	}
	v.sharesAt = s.now
	perSlot := make(map[string]float64, len(slots))
	for region, n := range slots {
		perSlot[region] = (v.shares[region] + minShare*n/total) / n
	}
	return perSlot
}

// regionSlots returns the slots of each region that may get work.
func (s *Steerer) regionSlots(v *service) (slots map[string]float64, total float64) {
	slots = make(map[string]float64)
	for _, u := range v.servers {
		if !u.Draining && !s.evacuated[u.Domain] {
			slots[u.region] += float64(u.Slots)
			total += float64(u.Slots)
		}
	}
	return slots, total
}

// targetShares keeps as many objects in the own region as it has room for; the
// others go where there is room beyond what that region's own callers need.
// Every instance works this out for itself from the servers' records, on the
// assumption that all regions ask for the same.
func (s *Steerer) targetShares(slots map[string]float64, total float64) map[string]float64 {
	regions := float64(max(len(s.regions()), 1))
	// room is what a region can take, in parts of all callers' objects.
	room := func(region string) float64 { return slots[region] / total / homeLoad }
	kept := func(region string) float64 { return min(1/regions, room(region)) }
	spare := 0.0
	for region := range slots {
		if region != s.Self.Region {
			spare += room(region) - kept(region)
		}
	}
	home := 0.0
	if slots[s.Self.Region] > 0 {
		home = kept(s.Self.Region) * regions
	}
	shares := make(map[string]float64, len(slots))
	for region := range slots {
		switch {
		case region == s.Self.Region:
			shares[region] = home
		case spare > 0:
			shares[region] = (1 - home) * (room(region) - kept(region)) / spare
		}
	}
	return shares
}

// shiftStep is the part of the objects that may have moved to another region
// since the shares were worked out last.
func (s *Steerer) shiftStep(v *service) float64 {
	b := s.Settings.Bounds
	window := b.ShiftWindow.Duration
	if b.ShiftCap <= 0 || window <= 0 {
		return 1
	}
	elapsed := min(s.now.Sub(v.sharesAt), time.Second)
	return b.ShiftCap * shiftPart * float64(elapsed) / float64(window)
}

// approach moves shares towards a target, by at most a part of the whole.
func approach(shares, target map[string]float64, step float64) map[string]float64 {
	moved := 0.0
	for region := range merged(shares, target) {
		moved += math.Abs(target[region]-shares[region]) / 2
	}
	if moved <= step {
		return target
	}
	next := make(map[string]float64, len(target))
	for region := range merged(shares, target) {
		next[region] = shares[region] + (target[region]-shares[region])*step/moved
	}
	return next
}

func merged(a, b map[string]float64) map[string]bool {
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
