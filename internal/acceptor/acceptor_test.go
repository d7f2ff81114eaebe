package acceptor

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/accountant"
)

// fixture is a listener of an acceptor, with clients.
type fixture struct {
	*Acceptor
	t        *testing.T
	listener net.Listener
}

func newFixture(t *testing.T, limit, most int) *fixture {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	a := &Acceptor{Limit: limit, Accountant: &accountant.Accountant{Limit: 1 << 20}}
	f := &fixture{Acceptor: a, t: t, listener: a.Listen(inner, most, true)}
	t.Cleanup(func() { f.listener.Close() })
	return f
}

// accept connects a client and returns both ends.
func (f *fixture) accept() (client net.Conn, server *Connection) {
	f.t.Helper()
	client, err := net.Dial("tcp", f.listener.Addr().String())
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { client.Close() })
	conn, err := f.listener.Accept()
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { conn.Close() })
	return client, conn.(*Connection)
}

// isOpen reports whether the server's end of a connection has not been closed.
func isOpen(c *Connection) bool {
	return c.SetDeadline(time.Time{}) == nil
}

// Guards against clients that open all the connections there may be and say nothing: those
// that never had a request give way first, then the least recently used. One with a request in
// progress stays.
func TestIdleConnectionsGiveWay(t *testing.T) {
	f := newFixture(t, 100, 3)
	_, served := f.accept()
	served.Begin()
	served.End()
	_, busy := f.accept()
	busy.Begin()
	_, stranger := f.accept()
	_, second := f.accept()
	assert.Assert(t, isOpen(served) && isOpen(busy) && !isOpen(stranger), "a stranger gives way first")
	second.Begin()
	_, third := f.accept()
	assert.Assert(t, !isOpen(served) && isOpen(busy) && isOpen(second) && isOpen(third))
	assert.Equal(t, f.Open(), 3)
	assert.Equal(t, f.GaveWay(), int64(2))
}

// Where no connection can give way, a new one waits until a request has ended, and a closed
// listener waits no longer.
func TestNewConnectionsWaitForRoom(t *testing.T) {
	f := newFixture(t, 1, 10)
	_, busy := f.accept()
	busy.Begin()
	accepted := make(chan error)
	accept := func() {
		_, err := f.listener.Accept()
		accepted <- err
	}
	dial := func() {
		client, err := net.Dial("tcp", f.listener.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { client.Close() })
		go accept()
		for f.waiting.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	dial()
	assert.Assert(t, isOpen(busy))
	busy.End()
	assert.NilError(t, <-accepted)
	assert.Assert(t, !isOpen(busy))
	for c := range f.connections {
		c.Begin()
	}
	dial()
	f.listener.Close()
	assert.Assert(t, errors.Is(<-accepted, net.ErrClosed))
}

// Callers without a request give way to connections to servers, and connections of a control
// address do not.
func TestConnectionsToServersAreCounted(t *testing.T) {
	f := newFixture(t, 3, 10)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	control := &fixture{Acceptor: f.Acceptor, t: t, listener: f.Listen(inner, 10, false)}
	defer control.listener.Close()
	_, checker := control.accept()
	_, caller := f.accept()
	assert.Assert(t, f.ReserveServer())
	assert.Assert(t, isOpen(caller))
	assert.Assert(t, f.ReserveServer())
	assert.Assert(t, !isOpen(caller) && isOpen(checker))
	assert.Equal(t, f.Open(), 3)
	assert.Assert(t, !f.ReserveServer(), "there is no room")
	for range 2 {
		f.ReleaseServer()
	}
	checker.Close()
	checker.Close()
	assert.Equal(t, f.Open(), 0)
}

// Guards against heads of very many short fields: what they hold beyond their bytes is lent,
// and a head without a loan ends its connection.
func TestHeadsAreLent(t *testing.T) {
	const lines = 1000
	f := newFixture(t, 10, 10)
	client, server := f.accept()
	read := func(text string) error {
		_, err := io.WriteString(client, text)
		assert.NilError(t, err)
		_, err = io.ReadFull(server, make([]byte, len(text)))
		return err
	}
	assert.NilError(t, read(strings.Repeat("a:\r\n", lines)))
	assert.Equal(t, f.Accountant.Lent(), int64((lines-usualLines)*lineBytes))
	assert.NilError(t, read("\r\n"+strings.Repeat("body\n", lines)))
	assert.Equal(t, f.Accountant.Lent(), int64((lines+1-usualLines)*lineBytes), "lines of a body were counted")
	server.Begin()
	assert.NilError(t, read(strings.Repeat("body\n", lines)))
	server.End()
	assert.Equal(t, f.Accountant.Lent(), int64(0))
	assert.NilError(t, read(strings.Repeat("a:\r\n", lines)))
	err := read(strings.Repeat("a:\r\n", lines))
	assert.Assert(t, errors.Is(err, errNoMemory), "%v", err)
	server.Close()
	assert.Equal(t, f.Accountant.Lent(), int64(0))
}

func TestLinesOfHeads(t *testing.T) {
	for text, lines := range map[string]int{
		"GET / HTTP/1.1\r\nA: b\r\n\r\nbody\nbody\n": 3,
		"GET / HTTP/1.1\nA: b\n\nbody\n":             3,
		"GET / HTTP/1.1\r\nA: b":                     1,
		"\r\nGET / HTTP/1.1\r\n":                     1,
	} {
		for n := range text {
			var h head
			h.add([]byte(text[:n]))
			h.add([]byte(text[n:]))
			assert.Equal(t, h.lines, lines, "%q, cut after %d", text, n)
		}
	}
}

// Guards against clients that never read: a write that makes no progress ends with its
// connection.
func TestStalledWritesEnd(t *testing.T) {
	f := newFixture(t, 10, 10)
	_, server := f.accept()
	_, other := f.accept()
	ended := make(chan error)
	go func() {
		for {
			if _, err := server.Write(make([]byte, 1<<20)); err != nil {
				ended <- err
				return
			}
		}
	}()
	now := time.Now()
	for isOpen(server) {
		now = now.Add(time.Second)
		f.Sweep(now, 5*time.Second)
		time.Sleep(10 * time.Millisecond)
	}
	assert.Assert(t, <-ended != nil)
	assert.Assert(t, isOpen(other))
}

// A server that reads requests ahead tells when it reads a head: heads are counted also while
// other requests are in progress, and bodies are not. A connection with one of several requests
// in progress does not give way.
func TestHeadsBehindRequestsInProgress(t *testing.T) {
	f := newFixture(t, 100, 2)
	client, c := f.accept()
	read := func(text string) {
		t.Helper()
		_, err := client.Write([]byte(text))
		assert.NilError(t, err)
		_, err = io.ReadFull(c, make([]byte, len(text)))
		assert.NilError(t, err)
	}
	lines := strings.Repeat("a:\r\n", 2*usualLines)
	assert.Assert(t, c.BeginHead(nil))
	c.EndHead(true)
	c.Begin()
	assert.Assert(t, c.BeginHead(nil))
	read(lines)
	c.EndHead(true)
	c.Begin()
	assert.Equal(t, f.Accountant.Lent(), int64(usualLines*lineBytes))
	read(lines + lines)
	assert.Equal(t, f.Accountant.Lent(), int64(usualLines*lineBytes), "a body is counted as a head")
	c.End()
	_, second := f.accept()
	_, third := f.accept()
	assert.Assert(t, isOpen(c) && !isOpen(second) && isOpen(third), "a request is in progress")
	c.End()
	assert.Equal(t, f.Accountant.Lent(), int64(0))
}
