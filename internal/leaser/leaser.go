// Package leaser says whether an instance may use the servers that its
// failure domain's table gives it.
//
// The table lies in the store. A confirmation is a moment at which the store
// still held the table in which this instance owns its servers: the start of
// an own read or write, or one reported by another instance of the failure
// domain. Confirmations are good for Length on the monotonic clock.
//
// While the store is away nobody can change the table, so the lease goes on
// without confirmation, unless this process was paused: then a change may have
// been made and lost from sight. After a pause the lease is good again with
// the first confirmation made after it, or once the process has run for a
// whole Probation with the store away and heard of no other table.
//
// Usage:
//
//	l := leaser.Leaser{Length: 3 * time.Second, Pause: time.Second, Probation: 4 * time.Second}
//	l.Run(now)         // on every event: notices pauses
//	l.Confirm(started) // table confirmed at that time
//	l.StoreAway(true)  // the last store call failed
//	if l.Valid(now) { ... }
package leaser

import "time"

// Leaser follows one instance's lease on its share of the table.
type Leaser struct {
	// Length is how long a confirmation is good for.
	Length time.Duration
	// Pause is the longest time between two events of a process that runs.
	Pause time.Duration
	// Probation is how long a process must have run after a pause before it
	// goes on without the store. It is longer than Length.
	Probation time.Duration

	confirmed time.Time
	last      time.Time
	resumed   time.Time
	paused    bool
	away      bool
}

// Run notes that the process runs and returns true if it was paused before.
func (l *Leaser) Run(now time.Time) bool {
	paused := !l.last.IsZero() && now.Sub(l.last) > l.Pause
	l.last = now
	if paused {
		l.paused = true
		l.resumed = now
	}
	return paused
}

// Confirm notes that the store held the table at the given time.
func (l *Leaser) Confirm(at time.Time) {
	if at.After(l.confirmed) {
		l.confirmed = at
	}
	if l.paused && at.After(l.resumed) {
		l.paused = false
	}
}

// StoreAway notes whether the last call of the store failed.
func (l *Leaser) StoreAway(away bool) {
	l.away = away
}

// Away reports whether the last call of the store failed.
func (l *Leaser) Away() bool {
	return l.away
}

// Age returns the time since the last confirmation.
func (l *Leaser) Age(now time.Time) time.Duration {
	return now.Sub(l.confirmed)
}

// Valid reports whether the instance may use its servers.
func (l *Leaser) Valid(now time.Time) bool {
	if l.confirmed.IsZero() {
		return false
	}
	if !l.paused && now.Sub(l.confirmed) < l.Length {
		return true
	}
	if !l.away {
		return false
	}
	return !l.paused || now.Sub(l.resumed) >= l.Probation
}

// Recovering reports whether the process was paused less than a period ago.
func (l *Leaser) Recovering(now time.Time, period time.Duration) bool {
	return !l.resumed.IsZero() && now.Sub(l.resumed) < period
}
