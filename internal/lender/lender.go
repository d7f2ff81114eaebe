// Package lender lends the tokens of one slot of an organisation's quota to the instances
// that send the organisation's requests. A quota is divided into a few slots of equal size,
// each with one instance that lends from it.
//
// Let r be the rate of a quota, w the window of the operators' rule and c the number of
// requests that the rule allows beyond r*w. A lot that lasts for l may be used up to l after
// it was lent, so that in a window no more tokens are used than were lent from l before it on.
// The token bucket, what it gains in l, and the lots that last longer therefore stay below c
// together. Half of what the rule allows for requests that are held up on their way counts
// towards c; the other half is left to them.
//
// A bucket starts empty unless Filled is set: the process before it may have lent all of its
// tokens a moment ago.
//
// Usage:
//
//	l := lender.Lender{}
//	l.SetQuota(now, lender.Divide(organisation, bounds, slots))
//	lot := l.Lend(now, traffic.QuotaWish{Need: 3, Useful: 20})
package lender

import (
	"math"
	"slices"
	"time"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

const (
	// ShortLot is how long a lot lasts if tokens are scarce.
	ShortLot = 250 * time.Millisecond
	// LongLot is how long a lot lasts if there are plenty.
	LongLot = 2 * time.Second
	// excessFraction is the fraction of what the rule allows beyond rate and burst that is
	// lent.
	excessFraction = 0.5
	// minRoomFraction is the smallest part of c that is not kept for lots that last. Where
	// the burst is too small for it, the rate is lowered a little instead.
	minRoomFraction = 0.4
	// longFraction is the part of the room that long lots may hold, and reserve the part that
	// must be left in the bucket beside them.
	longFraction = 0.5
	reserve      = 0.4
	// maxQuota bounds rates and bursts, so that numbers of tokens fit an int.
	maxQuota = 1e9
	// defaultWindow applies where the settings name no window.
	defaultWindow = time.Second
)

// Quota is the part of an organisation's quota in one slot.
type Quota struct {
	// Slots is the number of slots in use. Small quotas have fewer.
	Slots int
	// PerSecond is the rate of the token bucket, and Room its size together with the long lots
	// that may still be used. Long is the largest number of tokens in these.
	PerSecond, Room, Long float64
}

// Divide returns one of up to maxSlots equal parts of an organisation's quota.
func Divide(o traffic.Organisation, b traffic.Bounds, maxSlots int) Quota {
	window := b.QuotaWindow.Duration
	if window <= 0 {
		window = defaultWindow
	}
	o.PerSecond, o.Burst = min(o.PerSecond, maxQuota), min(max(o.Burst, 0), maxQuota)
	inWindow := o.PerSecond * window.Seconds()
	beyond := o.Burst + excessFraction*(b.QuotaExcess*(inWindow+o.Burst)+b.QuotaSlack)
	room, perSecond := beyond-o.PerSecond*ShortLot.Seconds(), o.PerSecond
	if least := max(1, minRoomFraction*beyond); room < least {
		room = least
		perSecond = max(0, inWindow+beyond-room) / (window + ShortLot).Seconds()
	}
	slots := max(1, min(maxSlots, int(room)))
	n := float64(slots)
	return Quota{Slots: slots, PerSecond: perSecond / n, Room: room / n, Long: room * longFraction / n}
}

// Lender lends from one slot. The zero value lends nothing until SetQuota is called.
type Lender struct {
	// Filled is the fraction of the room that is in the bucket at first.
	Filled float64

	quota      Quota
	tokens     float64
	refilledAt time.Time
	// long holds the long lots that may still be used.
	long []lot
}

type lot struct {
	tokens int
	until  time.Time
}

// SetQuota sets the quota from now on. Tokens beyond its size are lost.
func (l *Lender) SetQuota(now time.Time, q Quota) {
	l.refill(now)
	if l.quota == (Quota{}) {
		l.tokens = l.Filled * q.Room
	}
	l.quota = q
	l.refill(now)
}

// Quota returns the quota in force.
func (l *Lender) Quota() Quota {
	return l.quota
}

// Tokens returns the number of tokens at hand.
func (l *Lender) Tokens(now time.Time) float64 {
	l.refill(now)
	return l.tokens
}

// Lend lends what a wish needs as far as there are tokens. Where they are abundant it lends
// all that is useful, for longer.
func (l *Lender) Lend(now time.Time, wish traffic.QuotaWish) traffic.QuotaLot {
	l.refill(now)
	if n := l.longLot(now, wish); n > 0 {
		l.tokens -= float64(n)
		l.long = append(l.long, lot{tokens: n, until: now.Add(LongLot)})
		return traffic.QuotaLot{Lends: true, Tokens: n, Lasts: LongLot}
	}
	n := max(0, min(wish.Need, int(l.tokens)))
	l.tokens -= float64(n)
	return traffic.QuotaLot{Lends: true, Tokens: n, Lasts: ShortLot, Wait: l.wait(wish.Need - n)}
}

// longLot returns the number of tokens that may be lent for longer, or zero if these are
// fewer than are needed.
func (l *Lender) longLot(now time.Time, wish traffic.QuotaWish) int {
	spare := min(l.tokens-reserve*l.quota.Room, l.quota.Long-l.held(now))
	if n := min(max(wish.Useful, wish.Need), int(spare)); n >= wish.Need {
		return n
	}
	return 0
}

// held returns the number of tokens in long lots that may still be used.
func (l *Lender) held(now time.Time) float64 {
	l.long = slices.DeleteFunc(l.long, func(x lot) bool { return !now.Before(x.until) })
	held := 0
	for _, x := range l.long {
		held += x.tokens
	}
	return float64(held)
}

// wait returns the time until a number of further tokens is there.
func (l *Lender) wait(missing int) time.Duration {
	if missing <= 0 || l.quota.PerSecond <= 0 {
		return 0
	}
	seconds := (float64(missing) - l.tokens) / l.quota.PerSecond
	return time.Duration(min(seconds, math.MaxInt32) * float64(time.Second))
}

func (l *Lender) refill(now time.Time) {
	if l.refilledAt.IsZero() {
		l.refilledAt = now
	}
	passed := max(0, now.Sub(l.refilledAt))
	l.tokens = max(0, min(l.quota.Room-l.held(now), l.tokens+passed.Seconds()*l.quota.PerSecond))
	l.refilledAt = now
}
