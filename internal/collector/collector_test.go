package collector

import (
	"errors"
	"io"
	"strings"
	"testing"

	"golang.org/x/sync/semaphore"
	"gotest.tools/v3/assert"
)

func TestBodiesOfKnownAndUnknownLength(t *testing.T) {
	c := &Collector{Memory: semaphore.NewWeighted(1 << 20)}
	text := strings.Repeat("x", 100_000)
	for _, length := range []int64{-1, 100_000} {
		body, err := c.Read(strings.NewReader(text), length)
		assert.NilError(t, err)
		assert.Equal(t, string(body), text)
		c.Release(body)
	}
	body, err := c.Read(strings.NewReader("ab"), 3)
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
	c.Release(body)
	assert.Assert(t, c.Memory.TryAcquire(1<<20), "memory was not given back")
}

// endless is a body without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// An endless body must end at the limit, and what it held must be free again for
// others. Small bodies are read even while nothing is left.
func TestEndlessBodyEndsAtTheLimit(t *testing.T) {
	c := &Collector{Memory: semaphore.NewWeighted(1 << 20), Free: 1 << 15}
	body, err := c.Read(endless{}, -1)
	assert.Assert(t, errors.Is(err, ErrMemory), "%v", err)
	assert.Assert(t, cap(body) <= 1<<20+1<<15)
	small, err := c.Read(strings.NewReader("small"), -1)
	assert.NilError(t, err)
	c.Release(small)
	c.Release(body)
	assert.Assert(t, c.Memory.TryAcquire(1<<20), "memory was not given back")
}
