// Package estimator estimates the mean and the mean deviation of a duration.
//
// The update is the one that TCP uses for its retransmission timer
// (RFC 6298): gains of 1/8 for the mean and 1/4 for the deviation.
//
// Usage:
//
//	e := estimator.Estimator{Initial: 50 * time.Millisecond}
//	e.Observe(took)
//	if remaining < e.Bound() {
//		...
//	}
package estimator

import "time"

const (
	meanDivisor      = 8
	deviationDivisor = 4
	boundDeviations  = 2
)

// Estimator estimates one duration. Initial is the estimate until the first sample.
type Estimator struct {
	Initial time.Duration

	mean      time.Duration
	deviation time.Duration
	samples   uint64
}

// Observe adds a sample.
func (e *Estimator) Observe(sample time.Duration) {
	if e.samples == 0 {
		e.mean = sample
		e.deviation = sample / 2
	} else {
		e.deviation += ((sample - e.mean).Abs() - e.deviation) / deviationDivisor
		e.mean += (sample - e.mean) / meanDivisor
	}
	e.samples++
}

// Mean returns the smoothed mean.
func (e *Estimator) Mean() time.Duration {
	if e.samples == 0 {
		return e.Initial
	}
	return e.mean
}

// Bound returns the mean plus two deviations, which few samples exceed.
func (e *Estimator) Bound() time.Duration {
	if e.samples == 0 {
		return e.Initial
	}
	return e.mean + boundDeviations*e.deviation
}
