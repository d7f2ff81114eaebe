package steerer

import (
	"log/slog"
	"math"
	"slices"
	"time"

	"github.com/yuccathread/yuccathread/internal/borrower"
	"github.com/yuccathread/yuccathread/internal/lender"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

const (
	// maxQuotaWait is how long a call waits for a token that has been asked for: a lender
	// that does not answer is passed over within it.
	maxQuotaWait = 400 * time.Millisecond
	// quotaWaitDivisor divides the rest of a call's time into its longest wait for a token.
	quotaWaitDivisor = 3
	// queueTime is how long the calls that wait for tokens of empty slots should wait.
	queueTime = 150 * time.Millisecond
	// sendAllowance is how long after the end of its token's time an attempt may still be sent:
	// opening a connection takes a while.
	sendAllowance = time.Second
)

// quotaUse is what an instance keeps of an organisation's quota.
type quotaUse struct {
	borrower.Borrower
	// borrowing is set while tokens may be needed.
	borrowing bool
	// waiting are the calls that wait for a token, the oldest first.
	waiting []*call
	// slots is the number of slots of the quota, as of the policy with the number slotsFor.
	slots    int
	slotsFor uint64
	// use holds what is known of each slot.
	use []slotUse
	// order is the order in which the slots are asked.
	order []int
	// reach is the number of slots that are asked: one lender alone where it has enough.
	// shortAt is when one of them had not.
	reach   int
	shortAt time.Time
}

// slotUse is what an instance knows of a slot of a quota.
type slotUse struct {
	// asked is set while a query is in flight, which was sent at askedAt and from which
	// expected tokens are hoped for.
	asked    bool
	expected int
	askedAt  time.Time
	// urgent is the slot's part of the calls that waited when it was asked.
	urgent int
	// lent is the number of tokens in the last lot.
	lent int
	// emptyUntil is the time until which nothing is asked of the slot, shortUntil that until
	// which no call waits for it, scarceUntil that until which nothing is asked in advance, and
	// tokenAt when a token is expected there.
	emptyUntil, shortUntil, scarceUntil, tokenAt time.Time
}

// token is what an attempt has taken from a quota.
type token struct {
	from  *organisation
	until time.Time
}

// limited reports whether an organisation has a quota.
func (o *organisation) limited() bool {
	return o.PerSecond > 0
}

// lacksQuota reports whether a call must not be sent since there is no token for it. The call
// then waits or has been refused.
func (s *Steerer) lacksQuota(c *call) bool {
	o := c.organisation
	if o == nil || !o.limited() {
		return false
	}
	if !c.quotaSeen {
		c.quotaSeen = true
		o.Observe(s.now)
		s.borrow(o)
	}
	if o.Held(s.now) > 0 {
		return false
	}
	c.waitsSince = s.now
	o.waiting = append(o.waiting, c)
	s.askLenders(o)
	return true
}

// hasQuota reports whether there is a token for a further attempt of a call.
func (s *Steerer) hasQuota(c *call) bool {
	o := c.organisation
	return o == nil || !o.limited() || o.Held(s.now) > 0
}

// takeQuota takes a token for an attempt.
func (s *Steerer) takeQuota(c *call) token {
	o := c.organisation
	if o == nil || !o.limited() {
		return token{}
	}
	until, _ := o.Take(s.now)
	s.askLenders(o)
	return token{from: o, until: until}
}

// outlived reports whether the time of an attempt's token has been over for so long that its
// first byte must not be written any more.
func (t token) outlived(now time.Time) bool {
	return t.from != nil && now.Sub(t.until) >= sendAllowance
}

// returnQuota gives back the token of an attempt that has not run.
func (s *Steerer) returnQuota(t token) {
	if t.from != nil {
		t.from.Return(s.now, t.until)
	}
}

// stopsWaiting refuses a call whose time is over if it waits for a token.
func (s *Steerer) stopsWaiting(c *call) bool {
	if c.waitsSince.IsZero() {
		return false
	}
	s.withdraw(c)
	s.refuseOverQuota(c)
	return true
}

// withdraw takes a call that has ended out of those that wait for a token.
func (s *Steerer) withdraw(c *call) {
	if o := c.organisation; o != nil && !c.waitsSince.IsZero() {
		o.waiting = slices.DeleteFunc(o.waiting, func(x *call) bool { return x == c })
	}
}

func (s *Steerer) refuseOverQuota(c *call) {
	c.waitsSince = time.Time{}
	s.quotaRefusals++
	s.giveUp(c, traffic.OverQuota, spread(s.quotaRetryAfter(c.organisation), c.request.ID))
}

// quotaRetryAfter returns the time until a token of an organisation is expected.
func (s *Steerer) quotaRetryAfter(o *organisation) time.Duration {
	wait := time.Duration(math.MaxInt64)
	for _, u := range o.use {
		if u.tokenAt.After(s.now) {
			wait = min(wait, u.tokenAt.Sub(s.now))
		}
	}
	if wait == math.MaxInt64 {
		return defaultRetryAfter
	}
	return wait
}

// serveWaiting sends the calls that wait for a token as far as there are some, and refuses
// the others if none is to be expected.
func (s *Steerer) serveWaiting(o *organisation) {
	for len(o.waiting) > 0 && (!o.limited() || o.Held(s.now) > 0) {
		c := o.waiting[0]
		o.waiting = o.waiting[1:]
		if s.stillWaits(c) {
			c.waitsSince = time.Time{}
			s.dispatch(c)
		}
	}
	if s.expectsTokens(o) {
		return
	}
	// The others get those that will come soon by what came of late.
	left := int(o.Supply(s.now) * queueTime.Seconds())
	s.refuseWaiting(o, func(*call) bool {
		left--
		return left < 0
	})
}

func (s *Steerer) stillWaits(c *call) bool {
	return !c.answered && !c.waitsSince.IsZero() && s.calls[c.number] == c
}

// refuseWaiting refuses the waiting calls that match.
func (s *Steerer) refuseWaiting(o *organisation, matches func(*call) bool) {
	o.waiting = slices.DeleteFunc(o.waiting, func(c *call) bool {
		if !s.stillWaits(c) {
			return true
		}
		if !matches(c) {
			return false
		}
		s.refuseOverQuota(c)
		return true
	})
}

// waitedTooLong reports whether a call has waited for a token as long as it may.
func (s *Steerer) waitedTooLong(c *call) bool {
	waited := s.now.Sub(c.waitsSince)
	return waited >= min(maxQuotaWait, c.deadline.Sub(c.waitsSince)/quotaWaitDivisor)
}

// keepQuotas asks for what will be needed soon, and looks after the calls that wait.
func (s *Steerer) keepQuotas() {
	s.refreshLenders()
	borrowing := s.borrowing
	s.borrowing = nil
	for _, o := range borrowing {
		o.borrowing = false
		if s.organisations[o.Name] != o || !o.limited() {
			s.releaseWaiting(o)
			o.Clear()
			continue
		}
		s.borrow(o)
	}
	for _, o := range slices.Clone(s.borrowing) {
		o.narrow(s.now)
		s.askLenders(o)
		s.refuseWaiting(o, s.waitedTooLong)
	}
	s.borrowing = slices.DeleteFunc(s.borrowing, func(o *organisation) bool {
		o.borrowing = len(o.waiting) > 0 || o.Expected(s.now, lender.LongLot) > 0
		return !o.borrowing
	})
}

// borrow notes that tokens of an organisation's quota may be needed.
func (s *Steerer) borrow(o *organisation) {
	if !o.borrowing {
		o.borrowing = true
		s.borrowing = append(s.borrowing, o)
	}
}

// releaseWaiting decides anew about the calls that wait for a token of an organisation that is
// gone or has no quota any more.
func (s *Steerer) releaseWaiting(o *organisation) {
	waiting := o.waiting
	o.waiting = nil
	for _, c := range waiting {
		if s.stillWaits(c) {
			c.waitsSince = time.Time{}
			s.dispatch(c)
		}
	}
}

// forgetQuotas drops all tokens: their time may be over without the clock having counted it.
func (s *Steerer) forgetQuotas() {
	for _, o := range s.borrowing {
		o.Clear()
	}
}

// prepare brings the division of an organisation's quota up to date with the policy.
func (s *Steerer) prepare(o *organisation) {
	if o.slotsFor == s.policyNumber && len(o.use) > 0 {
		return
	}
	o.slots = s.divideQuota(o).Slots
	o.slotsFor = s.policyNumber
	if len(o.use) != o.slots {
		o.use = make([]slotUse, o.slots)
	}
	o.order = s.slotOrder(o)
	o.reach = max(1, min(o.reach, o.slots))
}

// quotaAttributes returns the log attributes of a refusal for want of a token.
func (s *Steerer) quotaAttributes(o *organisation) []slog.Attr {
	if o == nil {
		return nil
	}
	asked, empty := 0, 0
	oldest := s.now
	for _, u := range o.use {
		if u.asked {
			asked++
		}
		if s.now.Before(u.emptyUntil) {
			empty++
		}
		if !u.askedAt.IsZero() && u.askedAt.Before(oldest) {
			oldest = u.askedAt
		}
	}
	return []slog.Attr{
		attr("quota_per_second", o.PerSecond), attr("quota_burst", o.Burst), attr("demand", math.Round(o.Demand(s.now)*10)/10),
		attr("slots", len(o.use)), attr("slots_asked", asked), attr("slots_empty", empty), attr("slots_age", s.now.Sub(oldest)),
	}
}

// QuotaUse counts what this instance has to do with quotas.
type QuotaUse struct {
	// Slots is the number of slots from which it lends, Queries that of its queries to other
	// lenders, and Refusals that of the requests refused for want of a token.
	Slots             int
	Queries, Refusals int64
}

// QuotaUse returns what this instance has to do with quotas.
func (s *Steerer) QuotaUse() QuotaUse {
	return QuotaUse{Slots: len(s.lenders.slots), Queries: int64(s.lastQuery), Refusals: s.quotaRefusals}
}
