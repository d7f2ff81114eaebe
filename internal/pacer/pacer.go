// Package pacer bounds the events of any window of one length, whatever the
// moment at which the window starts.
//
// Usage:
//
//	p := pacer.Pacer{Window: time.Second}
//	if p.Take(now, 2) {
//		// at most two in any second
//	}
package pacer

import "time"

// Pacer remembers the events of the last window.
type Pacer struct {
	Window time.Duration

	taken []time.Time
}

// Take counts an event unless the window that ends now holds limit of them.
func (p *Pacer) Take(now time.Time, limit int) bool {
	if !p.Room(now, limit) {
		return false
	}
	p.taken = append(p.taken, now)
	return true
}

// Room reports whether Take would succeed.
func (p *Pacer) Room(now time.Time, limit int) bool {
	old := 0
	for old < len(p.taken) && now.Sub(p.taken[old]) > p.Window {
		old++
	}
	p.taken = p.taken[old:]
	return len(p.taken) < limit
}
