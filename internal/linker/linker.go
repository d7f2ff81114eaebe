// Package linker limits an instance's traffic to other regions to its share of
// each link.
//
// A link's limit is divided evenly among the instances of the sending region.
// Bytes are reserved before they are sent, and the reservation is settled when the
// actual number is known. Bytes sent beyond the reservation delay all later
// traffic on the link.
//
// Usage:
//
//	l := linker.Linker{MaxMessageBytes: 1 << 16}
//	l.SetLimit(now, "wallonia", bytesPerSecond/instances)
//	if l.Reserve(now, "wallonia", size) { ... }
//	l.Settle(now, "wallonia", reserved, sent)
package linker

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// burstDuration is the time whose share of bytes may be sent at once, and
	// steadyFraction is the part of the share that may be sent continuously.
	// Together they keep the traffic of every second within the limit.
	burstDuration  = 100 * time.Millisecond
	steadyFraction = 0.9
)

// Linker holds one rate limiter per receiving region.
type Linker struct {
	// MaxMessageBytes is the size of the largest message. A burst is at least this
	// large, so that every message can be sent.
	MaxMessageBytes int64

	limiters map[string]*rate.Limiter
}

// SetLimit sets the instance's share of the link to a region in bytes per second.
func (l *Linker) SetLimit(now time.Time, region string, bytesPerSecond float64) {
	if l.limiters == nil {
		l.limiters = make(map[string]*rate.Limiter)
	}
	limit := rate.Limit(bytesPerSecond * steadyFraction)
	burstBytes := int(max(bytesPerSecond*burstDuration.Seconds(), float64(l.MaxMessageBytes)))
	limiter, ok := l.limiters[region]
	if !ok {
		l.limiters[region] = rate.NewLimiter(limit, burstBytes)
		return
	}
	if limiter.Limit() == limit && limiter.Burst() == burstBytes {
		return
	}
	limiter.SetLimitAt(now, limit)
	limiter.SetBurstAt(now, burstBytes)
}

// Reserve reserves bytes on the link to a region. It returns false if the limit
// does not allow them now. A region without a limit accepts any number.
func (l *Linker) Reserve(now time.Time, region string, bytes int64) bool {
	limiter, ok := l.limiters[region]
	if !ok {
		return true
	}
	return limiter.AllowN(now, int(bytes))
}

// Settle charges the bytes that were sent beyond the reservation. They may exceed
// the burst; no reservation succeeds until the limiter has recovered them.
func (l *Linker) Settle(now time.Time, region string, reserved, sent int64) {
	limiter, ok := l.limiters[region]
	if !ok {
		return
	}
	for excess := sent - reserved; excess > 0; excess -= int64(limiter.Burst()) {
		limiter.ReserveN(now, int(min(excess, int64(limiter.Burst()))))
	}
}
