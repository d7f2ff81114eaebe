package steerer

import (
	"cmp"
	"slices"
	"time"

	"github.com/yuccathread/yuccathread/internal/apportioner"
	"github.com/yuccathread/yuccathread/internal/lender"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

const (
	// askInterval is the shortest time between two queries to a lender as long as no call
	// waits for them.
	askInterval = 200 * time.Millisecond
	// askAhead is the time for which tokens are kept at hand: until the reply to the next
	// query.
	askAhead = 200 * time.Millisecond
	// lowWater is the time for which the tokens at hand must last before more are asked for.
	lowWater = 100 * time.Millisecond
	// patience is how long a query may take before another lender is asked for the same.
	patience = 150 * time.Millisecond
	// emptyPause is the shortest time between two queries to a slot that has too few tokens.
	// For shortPause after it had not even enough for those that waited no call waits for it,
	// and for scarcePause nothing is asked of it in advance.
	emptyPause  = 100 * time.Millisecond
	shortPause  = 150 * time.Millisecond
	scarcePause = 500 * time.Millisecond
	// narrowAfter is how long after the last shortage fewer slots are asked again.
	narrowAfter = time.Second
	// failurePause is how long a lender that has failed is not asked, and maxFailurePause
	// how long after several failures in a row.
	failurePause    = 500 * time.Millisecond
	maxFailurePause = 4 * time.Second
)

// lenderLink is what this instance knows of another one that lends.
type lenderLink struct {
	// number is that of the query in flight, or zero.
	number  uint64
	wishes  []traffic.QuotaWish
	askedAt time.Time
	// failedUntil is the time until which it is not asked after a failure.
	failedUntil time.Time
	pause       time.Duration
}

// slotOrder returns the slots of an organisation's quota in the order in which to ask them:
// those whose lenders are in this instance's region first.
func (s *Steerer) slotOrder(o *organisation) []int {
	order := make([]int, o.slots)
	first := int(apportioner.Hash(o.Name, s.Self.Name) % uint64(o.slots))
	for i := range order {
		order[i] = (first + i) % o.slots
	}
	distance := func(slot int) int {
		if region, _ := s.regionOfSlot(slotKey{o.Name, slot}); region == s.Self.Region {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(distance(a), distance(b)) })
	return order
}

// openSlots returns the slots to ask for tokens of an organisation's quota: the first ones that
// are not known to be empty, without those that are being asked.
func (s *Steerer) openSlots(o *organisation) []int {
	var open []int
	left := o.reach
	for _, slot := range o.order {
		u := &o.use[slot]
		if left == 0 {
			break
		}
		switch {
		case u.asked:
			if s.now.Sub(u.askedAt) < patience {
				left--
			}
		case !s.now.Before(u.emptyUntil):
			open = append(open, slot)
			left--
		}
	}
	return open
}

// askLenders asks for tokens of an organisation's quota if they are needed and may be asked
// for now. Other organisations' wishes to the same lenders go along.
func (s *Steerer) askLenders(o *organisation) {
	s.prepare(o)
	// Slots that can't be asked are replaced by others.
	for replaced := true; replaced; {
		replaced = false
		open := s.openSlots(o)
		for i, slot := range open {
			if s.wish(o, 1).Useful <= 0 {
				return
			}
			replaced = !s.askSlot(o, slot, len(open)-i) || replaced
		}
	}
	s.serveWaiting(o)
}

// askSlot asks for tokens from one slot, one of several that share the need. It returns false
// if the slot's lender can't be asked.
func (s *Steerer) askSlot(o *organisation, slot, sharers int) bool {
	name := s.lenderOf(slotKey{o.Name, slot})
	if name == s.Self.Name {
		if w, ok := s.slotWish(o, slot, sharers); ok {
			o.ask(slot, w, sharers, s.now)
			s.handleLot(o, w, s.lend(w), s.now)
		}
		return true
	}
	link := s.lenderLinks[name]
	if link == nil {
		link = &lenderLink{}
		s.lenderLinks[name] = link
	}
	address := s.lenders.addresses[name]
	hangs := link.number != 0 && s.now.Sub(link.askedAt) >= patience
	switch {
	case address == "" || s.now.Before(link.failedUntil) || hangs:
		o.use[slot].emptyUntil = s.now.Add(emptyPause)
		o.use[slot].shortUntil = o.use[slot].emptyUntil
		return false
	case link.number != 0:
	case len(o.waiting) > 0 || s.now.Sub(link.askedAt) >= askInterval:
		s.ask(link, name, address)
	}
	return true
}

// ask sends a lender the wishes of all organisations that borrow from it.
func (s *Steerer) ask(link *lenderLink, name, address string) {
	var wishes []traffic.QuotaWish
	for _, o := range s.borrowing {
		s.prepare(o)
		open := s.openSlots(o)
		for i, slot := range open {
			if s.lenderOf(slotKey{o.Name, slot}) != name {
				continue
			}
			if w, ok := s.slotWish(o, slot, len(open)-i); ok {
				wishes = append(wishes, w)
				o.ask(slot, w, len(open)-i, s.now)
			}
		}
	}
	if len(wishes) == 0 {
		return
	}
	slices.SortFunc(wishes, func(a, b traffic.QuotaWish) int { return cmp.Compare(a.Organisation, b.Organisation) })
	s.lastQuery++
	link.number, link.wishes, link.askedAt = s.lastQuery, wishes, s.now
	s.emit(traffic.AskLender{Number: link.number, Address: address, Query: traffic.QuotaQuery{Wishes: wishes}})
}

// ask notes that a wish is sent to one of several slots that share the need. A slot that had
// too little a moment ago gives no more now.
func (o *organisation) ask(slot int, w traffic.QuotaWish, sharers int, now time.Time) {
	u := &o.use[slot]
	u.asked, u.askedAt = true, now
	u.urgent = (len(o.waiting) + sharers - 1) / sharers
	u.expected = max(w.Need, 1)
	if now.Before(u.shortUntil) {
		u.expected = min(u.expected, u.lent)
	}
}

// wish returns what this instance wants of each of a number of slots.
func (s *Steerer) wish(o *organisation, sharers int) traffic.QuotaWish {
	held := o.Held(s.now) - len(o.waiting)
	for _, u := range o.use {
		if u.asked && s.now.Sub(u.askedAt) < patience {
			held += u.expected
		}
	}
	if held > 0 && held > o.Expected(s.now, lowWater) {
		return traffic.QuotaWish{}
	}
	part := func(n int) int { return max(0, (n-held+sharers-1)/sharers) }
	if s.isScarce(o) {
		return traffic.QuotaWish{Organisation: o.Name, Need: part(0), Useful: part(0)}
	}
	return traffic.QuotaWish{
		Organisation: o.Name,
		Need:         part(o.Expected(s.now, askAhead)),
		Useful:       part(o.Expected(s.now, lender.LongLot)),
	}
}

// isScarce reports whether each slot has lacked tokens for calls that waited within scarcePause.
// Tokens that are borrowed in advance would then lapse at one instance while another lacks them.
func (s *Steerer) isScarce(o *organisation) bool {
	for slot := range o.use {
		if s.now.Sub(o.use[slot].shortUntil) >= scarcePause-shortPause {
			return false
		}
	}
	return true
}

// slotWish returns what to ask of a slot. ok is false if that is nothing at present.
func (s *Steerer) slotWish(o *organisation, slot, sharers int) (w traffic.QuotaWish, ok bool) {
	u := &o.use[slot]
	w = s.wish(o, sharers)
	w.Slot = slot
	w.Useful = max(w.Useful, w.Need)
	return w, w.Need > 0 || w.Useful > 0 && !s.now.Before(u.scarceUntil)
}

// handleQuotaLent takes over the tokens that a lender has lent.
func (s *Steerer) handleQuotaLent(e traffic.QuotaLent) {
	link := s.endQuery(e.Number)
	if link == nil {
		return
	}
	link.pause = 0
	for i, w := range link.wishes {
		lot := traffic.QuotaLot{}
		if i < len(e.Reply.Lots) {
			lot = e.Reply.Lots[i]
		}
		if o := s.organisations[w.Organisation]; o != nil && w.Slot < len(o.use) {
			s.handleLot(o, w, lot, link.askedAt)
		}
	}
	s.afterQuery(link)
}

// handleLenderFailed passes over a lender that has not replied.
func (s *Steerer) handleLenderFailed(e traffic.LenderFailed) {
	link := s.endQuery(e.Number)
	if link == nil {
		return
	}
	link.pause = min(max(2*link.pause, failurePause), maxFailurePause)
	link.failedUntil = s.now.Add(link.pause)
	for _, w := range link.wishes {
		if o := s.organisations[w.Organisation]; o != nil && w.Slot < len(o.use) {
			s.handleLot(o, w, traffic.QuotaLot{}, link.askedAt)
		}
	}
	s.afterQuery(link)
}

// endQuery returns the link of a query that has ended, or nil if it is not known any more.
func (s *Steerer) endQuery(number uint64) *lenderLink {
	for _, link := range s.lenderLinks {
		if link.number == number && number != 0 {
			link.number = 0
			return link
		}
	}
	return nil
}

// afterQuery serves the calls that waited for a query, and asks for what they still need.
func (s *Steerer) afterQuery(link *lenderLink) {
	wishes := link.wishes
	link.wishes = nil
	for _, w := range wishes {
		if o := s.organisations[w.Organisation]; o != nil && o.limited() {
			s.serveWaiting(o)
			s.askLenders(o)
		}
	}
}

// handleLot takes over what a slot has given for a wish that was sent at askedAt.
func (s *Steerer) handleLot(o *organisation, w traffic.QuotaWish, lot traffic.QuotaLot, askedAt time.Time) {
	u := &o.use[w.Slot]
	u.asked, u.lent = false, lot.Tokens
	if lot.Lends {
		o.Add(s.now, lot.Tokens, askedAt.Add(lot.Lasts))
		u.tokenAt = s.now.Add(lot.Wait)
	}
	if lot.Tokens >= max(w.Need, 1) {
		return
	}
	u.scarceUntil = s.now.Add(scarcePause)
	if w.Need == 0 {
		return
	}
	u.emptyUntil = askedAt.Add(emptyPause)
	if lot.Tokens < max(u.urgent, 1) {
		u.shortUntil = s.now.Add(shortPause)
	}
	o.shortAt = s.now
	o.reach = min(o.reach+1, o.slots)
}

// expectsTokens reports whether a call may wait for a token of an organisation's quota: a slot
// has not just been found empty.
func (s *Steerer) expectsTokens(o *organisation) bool {
	for slot := range o.use {
		u := &o.use[slot]
		if !s.now.Before(u.shortUntil) {
			return true
		}
	}
	return false
}

// narrow asks fewer slots after a time without a shortage.
func (o *organisation) narrow(now time.Time) {
	if o.reach > 1 && now.Sub(o.shortAt) >= narrowAfter {
		o.reach--
		o.shortAt = now
	}
}
