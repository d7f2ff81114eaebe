package steerer

import (
	"slices"

	"github.com/yuccathread/yuccathread/internal/lender"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

// lendsAlone reports whether instances can't call each other. Each then lends to itself, from
// its part of each quota.
func (s *Steerer) lendsAlone() bool {
	return s.Self.PeerAddress == ""
}

// divideQuota returns one slot of an organisation's quota.
func (s *Steerer) divideQuota(o *organisation) lender.Quota {
	if !s.lendsAlone() {
		return lender.Divide(o.Organisation, s.Settings.Bounds, s.maxSlots())
	}
	part, bounds := o.Organisation, s.Settings.Bounds
	n := float64(s.divisor())
	part.PerSecond /= n
	part.Burst /= n
	bounds.QuotaSlack /= n
	return lender.Divide(part, bounds, 1)
}

// lendsFromSlot reports whether this instance is the lender of a slot by all lists that may be
// in force anywhere. An instance that has left, or has stopped for certain, is skipped in them,
// and so is the new process that follows it.
func (s *Steerer) lendsFromSlot(k slotKey) bool {
	l := &s.lenders
	if s.lenderOf(k) != s.Self.Name {
		return false
	}
	region, rank := s.regionOfSlot(k)
	for _, f := range l.former {
		if f.region != region {
			continue
		}
		running := slices.DeleteFunc(slices.Clone(f.names), func(name string) bool {
			return l.addresses[name] == "" || s.now.Before(l.candidates[name].from)
		})
		if len(running) > 0 && pickLender(running, k.organisation, rank) != s.Self.Name {
			return false
		}
	}
	return true
}

// rebuildSlots creates and drops what this instance lends, and applies the policy in force.
func (s *Steerer) rebuildSlots() {
	l := &s.lenders
	// Until it may lend, nothing must fill up.
	l.stale = !s.mayLend()
	l.rebuiltFor = s.policyNumber
	former := l.slots
	filled := 0.0
	if l.uncounted && !l.lent {
		filled = startFill
	}
	l.slots = make(map[slotKey]*lender.Lender)
	if l.stale {
		return
	}
	l.lent = true
	for name, o := range s.organisations {
		if !o.limited() {
			continue
		}
		quota := s.divideQuota(o)
		for slot := range quota.Slots {
			k := slotKey{organisation: name, slot: slot}
			if !s.lendsFromSlot(k) {
				continue
			}
			x := former[k]
			if x == nil {
				x = &lender.Lender{Filled: filled}
			}
			x.SetQuota(s.now, quota)
			l.slots[k] = x
		}
	}
}

// handleQuotaWanted lends another instance what it wants.
func (s *Steerer) handleQuotaWanted(q traffic.QuotaQuery) {
	reply := traffic.QuotaReply{Lots: make([]traffic.QuotaLot, 0, len(q.Wishes))}
	for _, w := range q.Wishes {
		reply.Lots = append(reply.Lots, s.lend(w))
	}
	s.emit(reply)
}

// lend lends from a slot.
func (s *Steerer) lend(w traffic.QuotaWish) traffic.QuotaLot {
	s.checkLending()
	x := s.lenders.slots[slotKey{organisation: w.Organisation, slot: w.Slot}]
	if x == nil || !s.mayLend() {
		return traffic.QuotaLot{}
	}
	return x.Lend(s.now, w)
}
