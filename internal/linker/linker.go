// Package linker keeps an instance's traffic to other regions within its
// share of each link.
//
// A link's limit is divided evenly among the instances of the sending region.
// Bytes are reserved before they are sent and settled when their true number
// is known; what was sent beyond the reservation is owed before anything else
// passes.
//
// Usage:
//
//	l := linker.Linker{Largest: 1 << 16}
//	l.Limit(now, "wallonia", bytesPerSecond/instances)
//	if l.Reserve(now, "wallonia", size) { ... }
//	l.Settle(now, "wallonia", reserved, sent)
package linker

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// burst is the time's worth of a share that may pass at once, and headroom
	// the part of the share that passes steadily. Together they keep every
	// second within the limit.
	burst    = 100 * time.Millisecond
	headroom = 0.9
)

// Linker holds one limiter per receiving region.
type Linker struct {
	// Largest is the size of the largest message, which must fit into a burst.
	Largest int64

	limiters map[string]*rate.Limiter
}

// Limit sets the instance's share of the link to a region in bytes per second.
func (l *Linker) Limit(now time.Time, region string, bytesPerSecond float64) {
	if l.limiters == nil {
		l.limiters = make(map[string]*rate.Limiter)
	}
	steady := rate.Limit(bytesPerSecond * headroom)
	size := int(max(bytesPerSecond*burst.Seconds(), float64(l.Largest)))
	limiter, ok := l.limiters[region]
	if !ok {
		l.limiters[region] = rate.NewLimiter(steady, size)
		return
	}
	if limiter.Limit() == steady && limiter.Burst() == size {
		return
	}
	limiter.SetLimitAt(now, steady)
	limiter.SetBurstAt(now, size)
}

// Reserve takes bytes on the link and returns false where they do not fit.
// A region without a limit takes everything.
func (l *Linker) Reserve(now time.Time, region string, bytes int64) bool {
	limiter, ok := l.limiters[region]
	if !ok {
		return true
	}
	return limiter.AllowN(now, int(bytes))
}

// Settle charges what was sent beyond the reservation. The debt may exceed
// the burst; nothing passes until it is paid.
func (l *Linker) Settle(now time.Time, region string, reserved, sent int64) {
	limiter, ok := l.limiters[region]
	if !ok {
		return
	}
	for excess := sent - reserved; excess > 0; excess -= int64(limiter.Burst()) {
		limiter.ReserveN(now, int(min(excess, int64(limiter.Burst()))))
	}
}
