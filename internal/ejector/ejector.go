// Package ejector takes a server out of use after failures in a row, for a
// time that doubles with each ejection, whatever the server says of its health.
// After that time the server is on trial until its first success.
//
// Usage:
//
//	e := ejector.Ejector{Failures: 5, Period: 5 * time.Second}
//	if e.Fail(now) {
//		// ejected just now
//	}
//	if e.Ejected(now) { ... }
//	if e.OnTrial(now) { ... }   // send little until Succeed
package ejector

import "time"

// maxDoublings bounds the length of an ejection to 8 periods.
const maxDoublings = 3

// Ejector watches the outcomes of one server.
type Ejector struct {
	// Failures in a row that eject the server.
	Failures int
	// Period is the length of the first ejection.
	Period time.Duration

	failed   int
	ejected  int
	until    time.Time
	returned time.Time
	trial    bool
}

// Succeed counts a success. One success after an ejection forgives one doubling.
func (e *Ejector) Succeed() {
	if e.failed == 0 && e.ejected > 0 {
		e.ejected--
	}
	e.failed = 0
	e.trial = false
}

// Fail counts a failure and returns true if it ejects the server.
func (e *Ejector) Fail(now time.Time) bool {
	e.failed++
	if e.failed < e.Failures || e.Ejected(now) {
		return false
	}
	e.until = now.Add(e.Period << min(e.ejected, maxDoublings))
	e.returned = e.until
	e.trial = true
	e.ejected++
	// A single failure after the return ejects it again.
	e.failed = e.Failures - 1
	return true
}

// Ejected reports whether the server is out of use.
func (e *Ejector) Ejected(now time.Time) bool {
	return now.Before(e.until)
}

// OnTrial reports whether the server is back in use and has not yet succeeded.
func (e *Ejector) OnTrial(now time.Time) bool {
	return e.trial && !e.Ejected(now)
}

// Returned returns the time from which the server is ramped up again, zero if
// it was never ejected.
func (e *Ejector) Returned() time.Time {
	return e.returned
}
