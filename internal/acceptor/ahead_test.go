package acceptor

import (
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// aheadFixture is a connection whose server reads heads ahead, as its client sends them.
type aheadFixture struct {
	*fixture
	*Connection
	client io.Writer
}

func newAheadFixture(t *testing.T) *aheadFixture {
	t.Helper()
	f := newFixture(t, 100, 2)
	client, c := f.accept()
	return &aheadFixture{fixture: f, Connection: c, client: client}
}

func (f *aheadFixture) read(text string) []byte {
	f.t.Helper()
	_, err := io.WriteString(f.client, text)
	assert.NilError(f.t, err)
	p := make([]byte, len(text))
	_, err = io.ReadFull(f.Connection, p)
	assert.NilError(f.t, err)
	return p
}

// fieldsOf returns the lines of a head that holds lent bytes beyond its own.
func fieldsOf(lent int) string {
	return strings.Repeat("a:\r\n", usualLines+lent/lineBytes)
}

// Guards against heads that are in the server's buffer already when it begins to read them, as
// all are that fit into it.
func TestBufferedHeadsAreLent(t *testing.T) {
	const held = 100 * lineBytes
	f := newAheadFixture(t)
	first := f.read(fieldsOf(held))
	assert.Assert(t, f.BeginHead(first))
	assert.Equal(t, f.Accountant.Lent(), int64(held), "the first head is counted once")
	f.EndHead(true)
	behind := f.read(fieldsOf(held))
	assert.Assert(t, f.BeginHead(behind))
	assert.Equal(t, f.Accountant.Lent(), int64(2*held))
	f.EndHead(true)
	f.Accountant.Limit = f.Accountant.Lent()
	assert.Assert(t, !f.BeginHead(behind), "there is no memory")
	f.EndHead(false)
	f.Close()
	assert.Equal(t, f.Accountant.Lent(), int64(0))
}

// Guards against loans that end before their heads, or that stay while other requests follow:
// each is given back with its own request.
func TestLoansEndWithTheirRequests(t *testing.T) {
	const held = 100 * lineBytes
	f := newAheadFixture(t)
	assert.Assert(t, f.BeginHead(nil))
	f.EndHead(true)
	f.Begin()
	assert.Assert(t, f.BeginHead(nil))
	f.read(fieldsOf(held))
	f.End()
	assert.Equal(t, f.Accountant.Lent(), int64(held), "the head is being read")
	f.EndHead(true)
	for range 3 {
		f.Begin()
		assert.Assert(t, f.BeginHead([]byte(fieldsOf(held))))
		f.EndHead(true)
		f.End()
		assert.Equal(t, f.Accountant.Lent(), int64(held), "one request is in progress")
	}
	f.Begin()
	f.End()
	assert.Equal(t, f.Accountant.Lent(), int64(0))
}

// Guards against the loss of a request that has been read and waits for those before it.
func TestRequestsThatWaitAreInProgress(t *testing.T) {
	f := newAheadFixture(t)
	for range 2 {
		assert.Assert(t, f.BeginHead(nil))
		f.EndHead(true)
	}
	f.Begin()
	f.End()
	f.Limit = 1
	assert.Assert(t, !f.ReserveServer(), "the connection gave way")
	assert.Assert(t, isOpen(f.Connection), "a request that was read is in progress")
}
