// Package measurer estimates the undisturbed value of a duration, such as the
// round-trip time of a network path, from samples that a queue or a lost packet can
// lengthen but nothing can shorten.
//
// Usage:
//
//	m := measurer.Measurer{Initial: 50 * time.Millisecond}
//	m.Observe(connected)
//	roundTrip := m.Value()
package measurer

import "time"

const (
	// riseDivisor is the inverse of the weight of a sample above the estimate.
	riseDivisor = 16
	// maxRise bounds a sample above the estimate, as a multiple of it.
	maxRise = 2
)

// Measurer estimates one duration. Initial is the estimate until the first sample.
type Measurer struct {
	Initial time.Duration

	value time.Duration
}

// Observe adds a sample. A lower one than the estimate replaces it; a higher one
// raises it a little.
func (m *Measurer) Observe(sample time.Duration) {
	if sample <= 0 {
		return
	}
	if m.value == 0 || sample < m.value {
		m.value = sample
		return
	}
	m.value += (min(sample, maxRise*m.value) - m.value) / riseDivisor
}

// Value returns the estimate.
func (m *Measurer) Value() time.Duration {
	if m.value == 0 {
		return m.Initial
	}
	return m.value
}
