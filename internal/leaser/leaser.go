// Package leaser tracks the lease under which an instance may use the servers that
// its failure domain's table assigns to it.
//
// The table is kept in the store. A confirmation is a point in time after which the
// store was seen to hold the table that assigns this instance its servers: the start
// of a read or write by this instance, or a time that another instance of the
// failure domain reported. A confirmation is valid for Duration on the monotonic
// clock.
//
// While the store is unavailable nobody can change the table, so the lease
// continues without confirmation, unless this process was paused: the table may
// have changed during the pause without this process noticing. After a pause the
// lease is valid again from the first confirmation made after the pause, or once
// the process has run for ResumeDelay with the store unavailable and has not
// learned of a newer table.
//
// Usage:
//
//	l := leaser.Leaser{Duration: 3 * time.Second, PauseThreshold: time.Second, ResumeDelay: 4 * time.Second}
//	l.RecordActivity(now)       // on every event: detects pauses
//	l.Confirm(started)          // the store held the table after that time
//	l.SetStoreUnavailable(true) // the store is unavailable
//	if l.Valid(now) { ... }
package leaser

import "time"

// Leaser tracks the lease of one instance on its servers.
type Leaser struct {
	// Duration is how long a confirmation is valid.
	Duration time.Duration
	// PauseThreshold is the longest time between two events; a longer one means that the
	// process was paused.
	PauseThreshold time.Duration
	// ResumeDelay is how long the process must have run after a pause before the
	// lease is valid without the store. It is longer than Duration.
	ResumeDelay time.Duration

	lastConfirmed    time.Time
	lastRun          time.Time
	resumedAt        time.Time
	paused           bool
	storeUnavailable bool
}

// RecordActivity records that the process is running and reports whether it was
// paused since the last call.
func (l *Leaser) RecordActivity(now time.Time) bool {
	paused := !l.lastRun.IsZero() && now.Sub(l.lastRun) > l.PauseThreshold
	l.lastRun = now
	if paused {
		l.paused = true
		l.resumedAt = now
	}
	return paused
}

// Confirm records that the store was seen to hold the table after the given time.
func (l *Leaser) Confirm(at time.Time) {
	if at.After(l.lastConfirmed) {
		l.lastConfirmed = at
	}
	if l.paused && at.After(l.resumedAt) {
		l.paused = false
	}
}

// SetStoreUnavailable records whether the store is unavailable.
func (l *Leaser) SetStoreUnavailable(unavailable bool) {
	l.storeUnavailable = unavailable
}

// StoreUnavailable reports whether the store was last recorded as unavailable.
func (l *Leaser) StoreUnavailable() bool {
	return l.storeUnavailable
}

// Age returns the time since the last confirmation.
func (l *Leaser) Age(now time.Time) time.Duration {
	return now.Sub(l.lastConfirmed)
}

// Valid reports whether the instance may use its servers.
func (l *Leaser) Valid(now time.Time) bool {
	if l.lastConfirmed.IsZero() {
		return false
	}
	if !l.paused && now.Sub(l.lastConfirmed) < l.Duration {
		return true
	}
	if !l.storeUnavailable {
		return false
	}
	return !l.paused || now.Sub(l.resumedAt) >= l.ResumeDelay
}

// ResumedWithin reports whether the last pause ended less than the given period ago.
func (l *Leaser) ResumedWithin(now time.Time, period time.Duration) bool {
	return !l.resumedAt.IsZero() && now.Sub(l.resumedAt) < period
}
