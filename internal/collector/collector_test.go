package collector

import (
	"errors"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/accountant"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

var loan = traffic.Loan{Holder: traffic.BodyMemory}

func TestBodiesOfKnownAndUnknownLength(t *testing.T) {
	c := &Collector{Accountant: &accountant.Accountant{Limit: 1 << 20}}
	text := strings.Repeat("x", 100_000)
	for _, length := range []int64{-1, 100_000} {
		body, err := c.Read(strings.NewReader(text), length, loan)
		assert.NilError(t, err)
		assert.Equal(t, string(body), text)
		c.Release(body, loan)
	}
	body, err := c.Read(strings.NewReader("ab"), 3, loan)
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
	c.Release(body, loan)
	assert.Equal(t, c.Accountant.Lent(), int64(0), "memory was not given back")
}

// endless is a body without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// An endless body must end at the limit, and what it held must be free again for
// others. Small bodies are read even while nothing is left.
func TestEndlessBodyEndsAtTheLimit(t *testing.T) {
	c := &Collector{Accountant: &accountant.Accountant{Limit: 1 << 20}, Free: 1 << 15}
	body, err := c.Read(endless{}, -1, loan)
	assert.Assert(t, errors.Is(err, ErrMemory), "%v", err)
	assert.Assert(t, cap(body) <= 1<<20+1<<15)
	small, err := c.Read(strings.NewReader("small"), -1, loan)
	assert.NilError(t, err)
	c.Release(small, loan)
	c.Release(body, loan)
	assert.Equal(t, c.Accountant.Lent(), int64(0), "memory was not given back")
}

// A body of unknown length that finds no memory half-way can be read on in another way:
// nothing of it is lost.
func TestRestOfABodyWithoutMemory(t *testing.T) {
	c := &Collector{Accountant: &accountant.Accountant{Limit: 200 << 10}}
	text := strings.Repeat("0123456789", 50_000)
	reader := strings.NewReader(text)
	body, err := c.Read(reader, -1, loan)
	assert.Assert(t, errors.Is(err, ErrMemory), "%v", err)
	rest, err := io.ReadAll(reader)
	assert.NilError(t, err)
	assert.Assert(t, len(body) > 0 && string(body)+string(rest) == text)
	c.Release(body, loan)
	assert.Equal(t, c.Accountant.Lent(), int64(0))
}
