package forwarder

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

func TestConnectionsAreKept(t *testing.T) {
	s := startServer(t, echo)
	f := newForwarder(t)
	for i := range 20 {
		assert.Equal(t, send(f, s, fmt.Sprint(i), true).Fate, traffic.Ran)
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, s.connections.Load(), int64(1))
}

// A connection that the server has closed while it was idle must not be reused.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	s := startServer(t, func(conn net.Conn, r *http.Request, _ int) bool {
		respond(conn, r.Header.Get("X-Id"), "")
		time.Sleep(10 * time.Millisecond)
		return false
	})
	f := newForwarder(t)
	for i := range 5 {
		assert.Equal(t, send(f, s, fmt.Sprint(i), false).Fate, traffic.Ran)
		time.Sleep(40 * time.Millisecond)
	}
	assert.Equal(t, s.connections.Load(), int64(5))
}

func TestConnectionsAreBounded(t *testing.T) {
	s := startServer(t, func(conn net.Conn, r *http.Request, _ int) bool {
		time.Sleep(100 * time.Millisecond)
		respond(conn, r.Header.Get("X-Id"), "")
		return true
	})
	f := newForwarder(t)
	outcomes := make(chan traffic.Outcome, 10)
	for i := range 10 {
		go func() { outcomes <- send(f, s, fmt.Sprint(i), true) }()
	}
	counts := make(map[traffic.Fate]int)
	for range 10 {
		o := <-outcomes
		assert.Assert(t, !o.Unreachable)
		counts[o.Fate]++
	}
	assert.Equal(t, counts[traffic.Ran], 4)
	assert.Equal(t, counts[traffic.NotRun], 6)
	assert.Equal(t, s.connections.Load(), int64(4))
}

// fakeClock is the wall time plus an offset that the test sets.
type fakeClock struct{ offset atomic.Int64 }

func (c *fakeClock) Now() time.Time { return time.Now().Add(time.Duration(c.offset.Load())) }

// If servers close idle connections sooner than they announce, connections are
// reused only after shorter idle times; the limit grows back after a while.
func TestIdleLimitAdaptsToClosedConnections(t *testing.T) {
	closes := &atomic.Bool{}
	closes.Store(true)
	s := startServer(t, func(conn net.Conn, r *http.Request, n int) bool {
		if n > 1 && closes.Load() {
			_ = conn.(*net.TCPConn).SetLinger(0)
			return false
		}
		respond(conn, r.Header.Get("X-Id"), "")
		return true
	})
	c := &fakeClock{}
	f := &Forwarder{Codec: fakeCodec{}, Clock: c, MaxBodyBytes: 1 << 16, Bodies: bodies()}
	t.Cleanup(f.Close)
	use := func(id string) traffic.Fate {
		return f.Exchange(t.Context(), traffic.Request{ID: id, Method: "GET", Target: "/"}, traffic.Send{
			Upstream: traffic.Upstream{ID: "s1", Address: s.address}, Deadline: c.Now().Add(time.Second), Idempotent: true,
		}, nil).Fate
	}
	pause := func(d time.Duration) { c.offset.Add(int64(d)) }
	assert.Equal(t, use("1"), traffic.Ran)
	pause(4 * time.Second)
	assert.Equal(t, use("2"), traffic.Unknown)
	assert.Equal(t, use("fresh"), traffic.Ran)
	pause(3 * time.Second)
	assert.Equal(t, use("next"), traffic.Ran)
	closes.Store(false)
	pause(idleRecovery)
	assert.Equal(t, use("3"), traffic.Ran)
	before := s.connections.Load()
	pause(5 * time.Second)
	assert.Equal(t, use("4"), traffic.Ran)
	assert.Equal(t, s.connections.Load(), before)
}

// expectConnections waits until a server has accepted a number of connections
// and checks that no more follow.
func expectConnections(t *testing.T, s *fakeServer, connections int64) {
	t.Helper()
	for range 200 {
		if s.connections.Load() == connections {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, s.connections.Load(), connections)
}

// A spare connection is opened along with the first request, and used by the
// next request if the first connection is busy.
func TestSpareConnections(t *testing.T) {
	release := make(chan struct{})
	s := startServer(t, func(conn net.Conn, r *http.Request, _ int) bool {
		if r.Header.Get("X-Id") == "busy" {
			<-release
		}
		respond(conn, r.Header.Get("X-Id"), "done")
		return true
	})
	f := newForwarder(t)
	exchange := func(id string, connections int) traffic.Outcome {
		return f.Exchange(t.Context(), traffic.Request{ID: id, Method: "GET", Target: "/", Host: "shop.example"}, traffic.Send{
			Upstream: traffic.Upstream{ID: "s1", Address: s.address}, Deadline: time.Now().Add(5 * time.Second),
			Connections: connections, Spare: 1, Idempotent: true,
		}, nil)
	}
	first := make(chan traffic.Outcome)
	go func() { first <- exchange("busy", 2) }()
	expectConnections(t, s, 2)
	assert.Equal(t, exchange("next", 2).Fate, traffic.Ran)
	expectConnections(t, s, 2)
	close(release)
	assert.Equal(t, (<-first).Fate, traffic.Ran)
}

// When this instance's share of a server's connections falls, since others have joined,
// it closes the idle ones above it: the others count on that.
func TestIdleConnectionsAboveALowerLimitAreClosed(t *testing.T) {
	s := startServer(t, func(conn net.Conn, r *http.Request, _ int) bool {
		time.Sleep(50 * time.Millisecond)
		respond(conn, r.Header.Get("X-Id"), "done")
		return true
	})
	f := newForwarder(t)
	exchange := func(id string, connections int) traffic.Outcome {
		return f.Exchange(t.Context(), traffic.Request{ID: id, Method: "GET", Target: "/", Host: "shop.example"}, traffic.Send{
			Upstream: traffic.Upstream{ID: "s1", Address: s.address}, Deadline: time.Now().Add(5 * time.Second),
			Connections: connections, Idempotent: true,
		}, nil)
	}
	outcomes := make(chan traffic.Outcome, 4)
	for i := range 4 {
		go func() { outcomes <- exchange(fmt.Sprint(i), 4) }()
	}
	for range 4 {
		assert.Equal(t, (<-outcomes).Fate, traffic.Ran)
	}
	assert.Equal(t, exchange("after", 2).Fate, traffic.Ran)
	open := 0
	for range 200 {
		f.mutex.Lock()
		open = f.pools["s1 "+s.address].open
		f.mutex.Unlock()
		if open <= 2 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	assert.Equal(t, open, 2)
}
