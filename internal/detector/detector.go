// Package detector tells from the lateness of timers whether a process has more work than its
// processor does.
//
// Usage:
//
//	d := detector.Detector{}
//	d.Observe(now, late)   // at each tick
//	if d.Busy() {
//		...
//	}
package detector

import "time"

const (
	// busyLateness is the mean lateness from which on a process is busy: a request is then late
	// by a multiple of it.
	busyLateness = 50 * time.Millisecond
	// meanDivisor is the inverse of one sample's weight in the mean.
	meanDivisor = 16
	// maxLateness bounds a sample, so that a single pause does not make a process busy.
	maxLateness = 400 * time.Millisecond
	// minHold is how long a process stays busy at least. Its load needs as long to move away, and
	// would come back at once.
	minHold = 15 * time.Second
)

// Detector holds the mean lateness of a process's timers. The zero value is not busy.
type Detector struct {
	mean      time.Duration
	busy      bool
	busySince time.Time
}

// Observe takes the lateness of a timer.
func (d *Detector) Observe(now time.Time, late time.Duration) {
	d.mean += (min(max(late, 0), maxLateness) - d.mean) / meanDivisor
	switch {
	case d.mean >= busyLateness:
		if !d.busy {
			d.busySince = now
		}
		d.busy = true
	case d.mean < busyLateness/2 && now.Sub(d.busySince) >= minHold:
		d.busy = false
	}
}

// Busy reports whether the process has more work than its processor does.
func (d *Detector) Busy() bool {
	return d.busy
}
