package ejector

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestServerIsOnTrialUntilItSucceeds(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	e := Ejector{Failures: 2, Period: time.Second}
	assert.Assert(t, !e.Fail(now))
	assert.Assert(t, e.Fail(now))
	assert.Assert(t, e.Ejected(now))
	assert.Assert(t, !e.OnTrial(now), "an ejected server is not on trial yet")
	now = now.Add(time.Second)
	assert.Assert(t, !e.Ejected(now))
	assert.Assert(t, e.OnTrial(now))
	e.Succeed()
	assert.Assert(t, !e.OnTrial(now))
}

func TestFailedTrialDoublesTheEjection(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	e := Ejector{Failures: 2, Period: time.Second}
	e.Fail(now)
	e.Fail(now)
	now = now.Add(time.Second)
	assert.Assert(t, e.Fail(now), "one failure on trial is enough")
	assert.Assert(t, e.Ejected(now.Add(1900*time.Millisecond)))
	assert.Assert(t, e.OnTrial(now.Add(2*time.Second)))
}
