package pipeliner

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// shutDown starts a graceful stop and returns what tells of its end.
func shutDown(p *Pipeliner) <-chan error {
	ended := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		ended <- p.Shutdown(ctx)
	}()
	return ended
}

// A stop closes idle connections at once, finishes what is in progress, starts nothing behind
// it, and says in the last response that the connection ends.
func TestGracefulStop(t *testing.T) {
	d := newGatedHandler(t)
	p := &Pipeliner{Handler: d, ReadHeaderTimeout: patience}
	address := serve(t, p)
	d.release("/idle")
	idle := call(t, address, get("/idle"))
	idle.receive()
	d.await("/idle")
	busy := call(t, address, get("/1")+get("/2")+post("/3"))
	d.await("/1", "/2")
	half := call(t, address, "GET /half HTTP/1.1\r\n")
	fresh := call(t, address, "")
	eventually(t, "connections are missing", func() bool { return p.count() == 4 })
	time.Sleep(quiet)
	ended := shutDown(p)
	eventually(t, "connections are not told", func() bool { return p.stoppingConnections() >= 3 })
	assert.Equal(t, idle.rest(), "")
	_, err := net.Dial("tcp", address)
	assert.Assert(t, err != nil, "the listener is open")
	d.release("/1", "/2", "/half", "/fresh")
	response, body := busy.receive()
	assert.Equal(t, body, "/1")
	assert.Assert(t, !response.Close)
	response, body = busy.receive()
	assert.Equal(t, body, "/2")
	assert.Assert(t, response.Close)
	assert.Equal(t, busy.rest(), "")
	// What a caller has begun to send, or sends on a connection that was just accepted, is
	// answered.
	half.send(host + "\r\n")
	fresh.send(get("/fresh"))
	for path, c := range map[string]*caller{"/half": half, "/fresh": fresh} {
		response, body = c.receive()
		assert.Equal(t, body, path)
		assert.Assert(t, response.Close)
		assert.Equal(t, c.rest(), "")
	}
	assert.NilError(t, <-ended)
	d.await("/half", "/fresh")
	d.awaitNothing()
}

func (p *Pipeliner) count() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.connections)
}

func (p *Pipeliner) stoppingConnections() (n int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for c := range p.connections {
		c.mutex.Lock()
		if c.stopping {
			n++
		}
		c.mutex.Unlock()
	}
	return n
}

// A stop whose time is over returns, and Close ends what is left.
func TestStopThatTakesTooLong(t *testing.T) {
	d := newGatedHandler(t)
	p := &Pipeliner{Handler: d}
	c := call(t, serve(t, p), get("/1")+get("/2"))
	d.await("/1", "/2")
	ctx, cancel := context.WithTimeout(context.Background(), quiet)
	defer cancel()
	assert.ErrorIs(t, p.Shutdown(ctx), context.DeadlineExceeded)
	assert.NilError(t, p.Close())
	eventually(t, "requests go on", func() bool { return d.running.Load() == 0 })
	_, err := c.reader.Peek(1)
	assert.Assert(t, err != nil)
}

// Each connection is told of once as new and once as closed, and what one without a request
// holds is small.
func TestConnectionsAreCounted(t *testing.T) {
	const count = 400
	var opened, closed atomic.Int64
	p := &Pipeliner{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("text")) }),
		ConnState: func(_ net.Conn, state http.ConnState) {
			switch state {
			case http.StateNew:
				opened.Add(1)
			case http.StateClosed:
				closed.Add(1)
			}
		},
	}
	address := serve(t, p)
	before := usedBytes()
	callers := make([]*net.TCPConn, 0, count)
	for range count {
		c := call(t, address, get("/"))
		c.receive()
		c.reader = nil
		callers = append(callers, c.TCPConn)
	}
	const mostBytes = 30 << 10
	held := (usedBytes() - before) / count
	assert.Assert(t, held < mostBytes, "a connection holds %d bytes", held)
	assert.Equal(t, opened.Load(), int64(count))
	for _, c := range callers {
		c.Close()
	}
	eventually(t, "connections are not closed", func() bool { return closed.Load() == count })
}

// usedBytes returns the memory in use for data and stacks after a garbage collection.
func usedBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}

// A hook that panics ends its connection and no other.
func TestPanicOfAHook(t *testing.T) {
	d := newGatedHandler(t)
	logged := &lines{}
	p := &Pipeliner{Handler: d, ErrorLog: logged.logger(), MayRepeat: func(*http.Request) bool { panic("odd request") }}
	address := serve(t, p)
	other := call(t, address, get("/other"))
	d.await("/other")
	c := call(t, address, get("/1")+get("/2"))
	_, err := c.reader.Peek(1)
	assert.Assert(t, err != nil)
	d.release("/other")
	_, body := other.receive()
	assert.Equal(t, body, "/other")
	assert.Assert(t, logged.count() > 0)
}
