package leaser_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/leaser"
)

var begin = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return begin.Add(time.Duration(seconds * float64(time.Second))) }

func newLeaser() *leaser.Leaser {
	return &leaser.Leaser{Length: 4 * time.Second, Pause: time.Second, Probation: 5 * time.Second}
}

// run lets the process run from one time to another.
func run(l *leaser.Leaser, from, to float64) {
	for x := from; x <= to; x += 0.5 {
		l.Run(at(x))
	}
}

func TestEndsWithoutConfirmation(t *testing.T) {
	l := newLeaser()
	assert.Assert(t, !l.Valid(at(0)), "no confirmation yet")
	l.Confirm(at(0))
	run(l, 0, 4.5)
	assert.Assert(t, l.Valid(at(3.9)))
	assert.Assert(t, !l.Valid(at(4)))
}

func TestGoesOnWhileTheStoreIsAway(t *testing.T) {
	l := newLeaser()
	l.Confirm(at(0))
	l.StoreAway(true)
	run(l, 0, 100)
	assert.Assert(t, l.Valid(at(100)))
	l.StoreAway(false)
	assert.Assert(t, !l.Valid(at(100)), "the store is back and has not confirmed")
}

func TestPauseEndsIt(t *testing.T) {
	l := newLeaser()
	l.Confirm(at(0))
	run(l, 0, 1)
	assert.Assert(t, l.Run(at(3)), "a pause")
	assert.Assert(t, !l.Valid(at(3)), "even within its length, with the store there")
	l.Confirm(at(2))
	assert.Assert(t, !l.Valid(at(3)), "a confirmation from before it woke")
	l.Confirm(at(3.1))
	assert.Assert(t, l.Valid(at(3.2)))
}

func TestPauseWithTheStoreAway(t *testing.T) {
	l := newLeaser()
	l.Confirm(at(0))
	l.StoreAway(true)
	run(l, 0, 1)
	run(l, 20, 24)
	assert.Assert(t, !l.Valid(at(24)))
	run(l, 24.5, 25)
	assert.Assert(t, l.Valid(at(25)), "after its probation")
}
