package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// takeConnection returns a connection that has served one request and is idle.
func takeConnection(t *testing.T, f *Forwarder, s *fakeServer) *connection {
	t.Helper()
	assert.Equal(t, send(f, s, "first", true).Fate, traffic.Ran)
	c, err := f.takeIdle("s1 "+s.address, traffic.Send{Idempotent: true})
	assert.NilError(t, err)
	assert.Assert(t, c != nil)
	return c
}

// The server may close a connection just after a request has taken it from the
// pool. No byte of the request was written then, so it has not run.
func TestRequestOnAnEndedConnectionIsNotSent(t *testing.T) {
	s := startServer(t, echo)
	c := takeConnection(t, newForwarder(t), s)
	c.close()
	r := traffic.Request{ID: "2", Method: "GET", Target: "/"}
	_, err := c.exchange(t.Context(), r, encode(r, http.Header{}), time.Second, traffic.Loan{}, nil)
	assert.Assert(t, errors.Is(err, errNotSent), "%v", err)
	assert.Equal(t, s.requests.Load(), int64(1))
}

// A request that is cancelled before its first byte is written has not run, and
// is not written later either.
func TestRequestAbandonedBeforeItStartsIsNeverSent(t *testing.T) {
	s := startServer(t, echo)
	c := takeConnection(t, newForwarder(t), s)
	x := &exchange{done: make(chan result, 1), written: make(chan struct{})}
	err := c.abandon(x, context.Canceled)
	assert.Assert(t, errors.Is(err, errNotSent) && errors.Is(err, context.Canceled), "%v", err)
	c.write(x, message{head: []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n")}, time.Second)
	assert.Assert(t, errors.Is((<-x.done).err, errNotSent))
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, s.requests.Load(), int64(1))
}

// Bytes that are no response may arrive on an idle connection just after a request has
// taken it. The request has not run if none of its bytes was written, and is not written
// any more.
func TestGarbageBeforeTheRequestIsSent(t *testing.T) {
	s := startServer(t, func(conn net.Conn, r *http.Request, _ int) bool {
		respond(conn, r.Header.Get("X-Id"), "")
		time.Sleep(20 * time.Millisecond)
		fmt.Fprint(conn, "garbage\r\n\r\n")
		return true
	})
	c := takeConnection(t, newForwarder(t), s)
	x := &exchange{id: "2", method: "GET", done: make(chan result, 1), written: make(chan struct{})}
	c.mutex.Lock()
	c.current = x
	c.mutex.Unlock()
	assert.Assert(t, errors.Is((<-x.done).err, errNotSent))
	assert.Assert(t, !c.start(x), "the request would still be written")
}
