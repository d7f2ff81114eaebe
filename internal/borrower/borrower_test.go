package borrower

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestTokensThatEndFirstAreTakenFirst(t *testing.T) {
	b := Borrower{}
	now := time.Unix(1_800_000_000, 0)
	b.Add(now, 1, now.Add(2*time.Second))
	b.Add(now, 2, now.Add(time.Second))
	assert.Equal(t, b.Held(now), 3)
	until, ok := b.Take(now)
	assert.Assert(t, ok)
	assert.Equal(t, until, now.Add(time.Second))
	assert.Equal(t, b.Held(now.Add(time.Second)), 1, "a token is of no use at the end of its time")
	_, ok = b.Take(now.Add(2 * time.Second))
	assert.Assert(t, !ok)
}

// A token that comes back does not last longer than it would have.
func TestReturnedToken(t *testing.T) {
	b := Borrower{}
	now := time.Unix(1_800_000_000, 0)
	b.Add(now, 1, now.Add(time.Second))
	until, _ := b.Take(now)
	b.Return(now.Add(999*time.Millisecond), until)
	assert.Equal(t, b.Held(now.Add(999*time.Millisecond)), 1)
	b.Clear()
	b.Return(now.Add(time.Second), until)
	assert.Equal(t, b.Held(now.Add(time.Second)), 0)
}

// What is needed soon follows the demand within a second, up and down. A single request makes
// nothing be asked for in advance.
func TestDemand(t *testing.T) {
	b := Borrower{}
	now := time.Unix(1_800_000_000, 0)
	b.Observe(now)
	assert.Equal(t, b.Expected(now, 2*time.Second), 0)
	b.Observe(now.Add(500 * time.Millisecond))
	now = now.Add(500 * time.Millisecond)
	assert.Equal(t, b.Expected(now, 200*time.Millisecond), 0)
	assert.Equal(t, b.Expected(now, 2*time.Second), 1)
	send := func(perSecond int) {
		for range perSecond {
			now = now.Add(time.Second / time.Duration(perSecond))
			b.Observe(now)
		}
	}
	send(1000)
	assert.Assert(t, b.Demand(now) > 800, "%f", b.Demand(now))
	send(10)
	assert.Assert(t, b.Demand(now) < 160, "%f", b.Demand(now))
}
