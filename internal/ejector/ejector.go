// Package ejector ejects a server after consecutive failures, whatever health
// the server reports. The length of the ejection doubles each time. After it
// the server is half-open until its first success.
//
// Usage:
//
//	e := ejector.Ejector{Failures: 5, Period: 5 * time.Second}
//	if e.Fail(now) {
//		// ejected just now
//	}
//	if e.Ejected(now) { ... }
//	if e.HalfOpen(now) { ... }   // send few requests until Succeed
package ejector

import "time"

// maxDoublings limits the length of an ejection to 8 periods.
const maxDoublings = 3

// Ejector tracks the outcomes of one server.
type Ejector struct {
	// Failures is the number of consecutive failures that eject the server.
	Failures int
	// Period is the length of the first ejection.
	Period time.Duration

	failures     int
	ejections    int
	ejectedUntil time.Time
	returned     time.Time
	halfOpen     bool
}

// Succeed counts a success. Each success that does not directly follow a
// failure reverts one doubling of the ejection length.
func (e *Ejector) Succeed() {
	if e.failures == 0 && e.ejections > 0 {
		e.ejections--
	}
	e.failures = 0
	e.halfOpen = false
}

// Fail counts a failure and returns true if it ejects the server.
func (e *Ejector) Fail(now time.Time) bool {
	e.failures++
	if e.failures < e.Failures || e.Ejected(now) {
		return false
	}
	e.ejectedUntil = now.Add(e.Period << min(e.ejections, maxDoublings))
	e.returned = e.ejectedUntil
	e.halfOpen = true
	e.ejections++
	// A single failure after the ejection ejects the server again.
	e.failures = e.Failures - 1
	return true
}

// Ejected reports whether the server is ejected.
func (e *Ejector) Ejected(now time.Time) bool {
	return now.Before(e.ejectedUntil)
}

// HalfOpen reports whether an ejection is over but the server has not succeeded
// since.
func (e *Ejector) HalfOpen(now time.Time) bool {
	return e.halfOpen && !e.Ejected(now)
}

// Returned returns the end of the last ejection, from which the server is ramped up
// again, or zero if it was never ejected.
func (e *Ejector) Returned() time.Time {
	return e.returned
}
