package ejector

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestServerIsHalfOpenUntilItSucceeds(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	e := Ejector{Failures: 2, Period: time.Second}
	assert.Assert(t, !e.Fail(now))
	assert.Assert(t, e.Fail(now))
	assert.Assert(t, e.Ejected(now))
	assert.Assert(t, !e.HalfOpen(now), "an ejected server is not half-open")
	now = now.Add(time.Second)
	assert.Assert(t, !e.Ejected(now))
	assert.Assert(t, e.HalfOpen(now))
	e.Succeed()
	assert.Assert(t, !e.HalfOpen(now))
}

func TestFailureWhileHalfOpenDoublesTheEjection(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	e := Ejector{Failures: 2, Period: time.Second}
	e.Fail(now)
	e.Fail(now)
	now = now.Add(time.Second)
	assert.Assert(t, e.Fail(now), "one failure while half-open must eject the server")
	assert.Assert(t, e.Ejected(now.Add(1900*time.Millisecond)))
	assert.Assert(t, e.HalfOpen(now.Add(2*time.Second)))
}
