package detector

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const interval = 100 * time.Millisecond

// observe passes the same lateness for a time and returns the time after it.
func observe(d *Detector, now time.Time, late, span time.Duration) time.Time {
	for end := now.Add(span); now.Before(end); now = now.Add(interval) {
		d.Observe(now, late)
	}
	return now
}

func TestBusyUnderSteadyLateness(t *testing.T) {
	d := &Detector{}
	now := observe(d, time.Unix(1_800_000_000, 0), 5*time.Millisecond, 10*time.Second)
	assert.Assert(t, !d.Busy())
	now = observe(d, now, 200*time.Millisecond, time.Second)
	assert.Assert(t, d.Busy())
	now = observe(d, now, 0, minHold-2*time.Second)
	assert.Assert(t, d.Busy(), "the load would come back at once")
	observe(d, now, 0, 2*time.Second)
	assert.Assert(t, !d.Busy())
}

// A pause makes one timer late, by however much.
func TestOnePauseIsNotLoad(t *testing.T) {
	d := &Detector{}
	now := observe(d, time.Unix(1_800_000_000, 0), time.Millisecond, time.Second)
	d.Observe(now, time.Minute)
	assert.Assert(t, !d.Busy())
}
