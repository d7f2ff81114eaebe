// Package clock provides the current time through an interface, so that tests
// can substitute a fake clock.
//
// Usage:
//
//	var c clock.Clock = clock.System()
//	now := c.Now()
package clock

import "time"

// Clock provides the current time.
type Clock interface {
	// Now returns the current time, including the monotonic clock reading.
	Now() time.Time
}

type systemClock struct{}

// System returns the machine's clock.
func System() Clock {
	return systemClock{}
}

func (systemClock) Now() time.Time {
	return time.Now()
}
