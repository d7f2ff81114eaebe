// Package pacer limits the number of events in a sliding window: no window of
// the given length holds more events than the limit, wherever it starts.
//
// Usage:
//
//	p := pacer.Pacer{Window: time.Second}
//	if p.Take(now, 2) {
//		// at most two in any second
//	}
package pacer

import "time"

// Pacer is a sliding-window rate limiter for one stream of events.
type Pacer struct {
	Window time.Duration

	taken []time.Time
}

// Take counts an event and returns true, or returns false if the window that
// ends now already holds limit events.
func (p *Pacer) Take(now time.Time, limit int) bool {
	if !p.CanTake(now, limit) {
		return false
	}
	p.taken = append(p.taken, now)
	return true
}

// CanTake reports whether Take would succeed.
func (p *Pacer) CanTake(now time.Time, limit int) bool {
	expired := 0
	for expired < len(p.taken) && now.Sub(p.taken[expired]) > p.Window {
		expired++
	}
	p.taken = p.taken[expired:]
	return len(p.taken) < limit
}

// Taken returns the number of events in the window that ended at the last call of Take
// or CanTake.
func (p *Pacer) Taken() int {
	return len(p.taken)
}
