package leaser_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/leaser"
)

var startTime = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return startTime.Add(time.Duration(seconds * float64(time.Second)))
}

func newLeaser() *leaser.Leaser {
	return &leaser.Leaser{Duration: 4 * time.Second, PauseThreshold: time.Second, ResumeDelay: 5 * time.Second}
}

// runProcess records that the process runs, every half second between two times.
func runProcess(l *leaser.Leaser, from, to float64) {
	for seconds := from; seconds <= to; seconds += 0.5 {
		l.RecordActivity(at(seconds))
	}
}

func TestLeaseExpiresWithoutConfirmation(t *testing.T) {
	l := newLeaser()
	assert.Assert(t, !l.Valid(at(0)), "valid without any confirmation")
	l.Confirm(at(0))
	runProcess(l, 0, 4.5)
	assert.Assert(t, l.Valid(at(3.9)))
	assert.Assert(t, !l.Valid(at(4)))
}

func TestLeaseContinuesWhileStoreUnavailable(t *testing.T) {
	l := newLeaser()
	l.Confirm(at(0))
	l.SetStoreUnavailable(true)
	runProcess(l, 0, 100)
	assert.Assert(t, l.Valid(at(100)))
	l.SetStoreUnavailable(false)
	assert.Assert(t, !l.Valid(at(100)), "valid although the store is available again and has not confirmed the table")
}

func TestPauseInvalidatesLease(t *testing.T) {
	l := newLeaser()
	l.Confirm(at(0))
	runProcess(l, 0, 1)
	assert.Assert(t, l.RecordActivity(at(3)), "pause was not detected")
	assert.Assert(t, !l.Valid(at(3)), "valid after a pause, within Duration and with the store available")
	l.Confirm(at(2))
	assert.Assert(t, !l.Valid(at(3)), "valid by a confirmation from before the end of the pause")
	l.Confirm(at(3.1))
	assert.Assert(t, l.Valid(at(3.2)))
}

func TestPauseWhileStoreUnavailable(t *testing.T) {
	l := newLeaser()
	l.Confirm(at(0))
	l.SetStoreUnavailable(true)
	runProcess(l, 0, 1)
	runProcess(l, 20, 24)
	assert.Assert(t, !l.Valid(at(24)))
	runProcess(l, 24.5, 25)
	assert.Assert(t, l.Valid(at(25)), "not valid after ResumeDelay")
}
