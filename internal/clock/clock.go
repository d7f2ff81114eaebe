// Package clock passes time in as an interface, so that tests can stand in
// their own.
//
// Usage:
//
//	var c clock.Clock = clock.System()
//	now := c.Now()
package clock

import "time"

// Clock tells the time.
type Clock interface {
	// Now returns the current time with its monotonic reading.
	Now() time.Time
}

type system struct{}

// System returns the machine's clock.
func System() Clock {
	return system{}
}

func (system) Now() time.Time {
	return time.Now()
}
