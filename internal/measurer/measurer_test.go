package measurer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLostPacketsDoNotHideTheRoundTrip(t *testing.T) {
	m := Measurer{Initial: 50 * time.Millisecond}
	assert.Equal(t, m.Value(), 50*time.Millisecond)
	m.Observe(0)
	assert.Equal(t, m.Value(), 50*time.Millisecond, "a connection that was not opened is no sample")
	m.Observe(time.Second)
	m.Observe(40 * time.Millisecond)
	for i := range 100 {
		sample := 41 * time.Millisecond
		if i%10 == 0 {
			sample = time.Second
		}
		m.Observe(sample)
	}
	assert.Assert(t, m.Value() >= 40*time.Millisecond && m.Value() < 50*time.Millisecond, "%v", m.Value())
}

func TestLongerPathIsLearned(t *testing.T) {
	m := Measurer{}
	m.Observe(2 * time.Millisecond)
	for range 200 {
		m.Observe(40 * time.Millisecond)
	}
	assert.Assert(t, m.Value() > 36*time.Millisecond, "%v", m.Value())
}
