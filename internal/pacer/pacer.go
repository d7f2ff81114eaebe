// Package pacer limits the number of events in a sliding window: no window of
// the given length holds more events than the limit, wherever it starts.
//
// Usage:
//
//	p := pacer.Pacer{Window: time.Second}
//	if p.CanTake(now, 2) {
//		// at most two in any second
//		p.Count(now)
//	}
package pacer

import "time"

// Pacer is a sliding-window rate limiter for one stream of events.
type Pacer struct {
	Window time.Duration

	taken []time.Time
}

// Count counts an event, whether a limit allows it or not.
func (p *Pacer) Count(now time.Time) {
	p.expire(now)
	p.taken = append(p.taken, now)
}

// CanTake reports whether another event keeps the limit.
func (p *Pacer) CanTake(now time.Time, limit int) bool {
	p.expire(now)
	return len(p.taken) < limit
}

// Taken returns the number of events in the window that ends now.
func (p *Pacer) Taken(now time.Time) int {
	p.expire(now)
	return len(p.taken)
}

func (p *Pacer) expire(now time.Time) {
	expired := 0
	for expired < len(p.taken) && now.Sub(p.taken[expired]) > p.Window {
		expired++
	}
	p.taken = p.taken[expired:]
}
