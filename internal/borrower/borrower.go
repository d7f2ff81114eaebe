// Package borrower keeps the tokens of one organisation's quota that an instance has
// borrowed, and says how many more it needs by the requests that have come.
//
// Usage:
//
//	b := borrower.Borrower{}
//	b.Observe(now)              // a request has come
//	until, ok := b.Take(now)    // an attempt is sent
//	b.Return(now, until)        // it has not reached its server
//	b.Add(now, 5, now.Add(500*time.Millisecond))
package borrower

import (
	"math"
	"slices"
	"time"
)

// The demand is averaged over shortTime for what is needed soon, so that it follows a change
// at once, and over longTime for what is needed later.
const (
	shortTime = 500 * time.Millisecond
	longTime  = 2500 * time.Millisecond
)

// Borrower holds the tokens of one organisation at one instance.
type Borrower struct {
	// lots are ordered by their ends.
	lots []lot
	// short and long are the average numbers of requests per second as of observedAt.
	short, long float64
	observedAt  time.Time
	// supply is the average number of tokens per second that were added, as of suppliedAt.
	supply     float64
	suppliedAt time.Time
}

type lot struct {
	tokens int
	until  time.Time
}

// Observe counts a request that has come.
func (b *Borrower) Observe(now time.Time) {
	b.short = decayed(b.short, now.Sub(b.observedAt), shortTime) + 1/shortTime.Seconds()
	b.long = decayed(b.long, now.Sub(b.observedAt), longTime) + 1/longTime.Seconds()
	b.observedAt = now
}

func decayed(average float64, passed, over time.Duration) float64 {
	return average * math.Exp(-max(passed, 0).Seconds()/over.Seconds())
}

// Demand returns the number of requests per second that come at present.
func (b *Borrower) Demand(now time.Time) float64 {
	return decayed(b.short, now.Sub(b.observedAt), shortTime)
}

// Expected returns the number of requests that are expected within a time.
func (b *Borrower) Expected(now time.Time, within time.Duration) int {
	demand := b.Demand(now)
	if within > shortTime {
		demand = decayed(b.long, now.Sub(b.observedAt), longTime)
	}
	return int(demand * within.Seconds())
}

// Supply returns the number of tokens per second that have come of late.
func (b *Borrower) Supply(now time.Time) float64 {
	return decayed(b.supply, now.Sub(b.suppliedAt), shortTime)
}

// Add adds a lot that lasts until a time.
func (b *Borrower) Add(now time.Time, tokens int, until time.Time) {
	b.supply = b.Supply(now) + float64(max(tokens, 0))/shortTime.Seconds()
	b.suppliedAt = now
	b.add(now, tokens, until)
}

func (b *Borrower) add(now time.Time, tokens int, until time.Time) {
	if tokens <= 0 || !now.Before(until) {
		return
	}
	i := 0
	for i < len(b.lots) && b.lots[i].until.Before(until) {
		i++
	}
	b.lots = slices.Insert(b.lots, i, lot{tokens: tokens, until: until})
}

// Held returns the number of tokens at hand.
func (b *Borrower) Held(now time.Time) int {
	b.expire(now)
	held := 0
	for _, x := range b.lots {
		held += x.tokens
	}
	return held
}

// Take takes a token for an attempt, of those whose time ends first. until is the end of its
// time.
func (b *Borrower) Take(now time.Time) (until time.Time, ok bool) {
	b.expire(now)
	if len(b.lots) == 0 {
		return time.Time{}, false
	}
	first := &b.lots[0]
	first.tokens--
	until = first.until
	if first.tokens == 0 {
		b.lots = b.lots[1:]
	}
	return until, true
}

// Return gives back the token of an attempt that has not run.
func (b *Borrower) Return(now, until time.Time) {
	b.add(now, 1, until)
}

// Clear drops all tokens.
func (b *Borrower) Clear() {
	b.lots = nil
}

func (b *Borrower) expire(now time.Time) {
	for len(b.lots) > 0 && !now.Before(b.lots[0].until) {
		b.lots = b.lots[1:]
	}
}
