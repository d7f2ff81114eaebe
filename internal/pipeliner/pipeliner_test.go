package pipeliner

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// patience bounds what a test waits for that must happen; quiet is how long it looks at what
// must not.
const (
	patience = 10 * time.Second
	quiet    = 50 * time.Millisecond
)

// serve starts a server and returns its address.
func serve(t testing.TB, p *Pipeliner) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- p.Serve(listener) }()
	t.Cleanup(func() {
		assert.NilError(t, p.Close())
		assert.ErrorIs(t, <-served, http.ErrServerClosed)
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		assert.NilError(t, p.Shutdown(ctx), "connections are left")
	})
	return listener.Addr().String()
}

// The users' report: several look-ups that are sent ahead take the sum of their times. All
// four must be in progress at once, and their responses come in order.
func TestRequestsSentAheadRunSideBySide(t *testing.T) {
	d := newGatedHandler(t)
	c := call(t, serve(t, &Pipeliner{Handler: d}), get("/1")+get("/2")+get("/3")+get("/4"))
	d.await("/1", "/2", "/3", "/4")
	d.release("/4", "/3", "/2")
	c.SetReadDeadline(time.Now().Add(quiet))
	_, err := c.reader.Peek(1)
	assert.Assert(t, err != nil, "a response went out before its turn")
	c.SetReadDeadline(time.Now().Add(patience))
	d.release("/1")
	for n := 1; n <= 4; n++ {
		_, body := c.receive()
		assert.Equal(t, body, fmt.Sprintf("/%d", n))
	}
}

// Each response goes out as soon as those before it are out.
func TestResponsesDoNotWaitForThoseBehind(t *testing.T) {
	d := newGatedHandler(t)
	c := call(t, serve(t, &Pipeliner{Handler: d}), get("/1"))
	d.await("/1")
	c.send(get("/2"))
	d.await("/2")
	d.release("/1")
	_, body := c.receive()
	assert.Equal(t, body, "/1")
	c.send(get("/3"))
	d.await("/3")
	d.release("/3", "/2")
	_, body = c.receive()
	assert.Equal(t, body, "/2")
	_, body = c.receive()
	assert.Equal(t, body, "/3")
}

// Guards against TWICE: a caller sends everything again that was behind a response that closes
// the connection, so a request that may not be repeated is started only when nothing is ahead.
func TestRequestThatMayNotBeRepeatedWaits(t *testing.T) {
	d := newGatedHandler(t)
	c := call(t, serve(t, &Pipeliner{Handler: d}), get("/1")+get("/2")+post("/3")+get("/4")+get("/5"))
	d.await("/1", "/2")
	d.awaitNothing()
	d.release("/1")
	c.receive()
	d.awaitNothing()
	d.release("/2")
	c.receive()
	d.await("/3")
	d.awaitNothing()
	d.release("/3")
	_, body := c.receive()
	assert.Equal(t, body, "/3body")
	d.await("/4", "/5")
	d.release("/4", "/5")
	c.receive()
	c.receive()
}

// A request that may not be repeated and waits for its turn is not started behind a response
// that closes the connection, and nor is anything behind it.
func TestNothingIsStartedBehindAResponseThatCloses(t *testing.T) {
	d := newGatedHandler(t)
	c := call(t, serve(t, &Pipeliner{Handler: d}), get("/close")+post("/2")+get("/3"))
	d.await("/close")
	d.release("/close", "/2", "/3")
	response, body := c.receive()
	assert.Equal(t, body, "/close")
	assert.Assert(t, response.Close)
	assert.Equal(t, c.rest(), "")
	d.awaitNothing()
}

// Guards against LOST: a request that was started is answered, also if a handler ahead of it
// wants the connection to end. The last of them says so.
func TestStartedRequestsAreAnsweredBeforeTheEnd(t *testing.T) {
	d := newGatedHandler(t)
	c := call(t, serve(t, &Pipeliner{Handler: d}), get("/close")+get("/2")+get("/3"))
	d.await("/close", "/2", "/3")
	d.release("/close")
	response, _ := c.receive()
	assert.Assert(t, !response.Close)
	c.send(get("/4"))
	d.awaitNothing()
	d.release("/2", "/3")
	response, _ = c.receive()
	assert.Assert(t, !response.Close)
	response, body := c.receive()
	assert.Equal(t, body, "/3")
	assert.Assert(t, response.Close)
	assert.Equal(t, c.rest(), "")
	d.awaitNothing()
}

// A response that can't be whole ends the connection: what is ahead of it goes out, and what is
// behind it is cancelled at once.
func TestResponseThatIsNotWhole(t *testing.T) {
	for _, path := range []string{"/abort", "/panic", "/short"} {
		d := newGatedHandler(t)
		logged := &lines{}
		c := call(t, serve(t, &Pipeliner{Handler: d, ErrorLog: logged.logger()}), get("/1")+get(path)+get("/3")+post("/4"))
		d.await("/1", path, "/3")
		d.release(path)
		if path != "/short" {
			eventually(t, "what is behind was not cancelled", func() bool { return d.left.Load() == 1 })
		}
		d.release("/1")
		_, body := c.receive()
		assert.Equal(t, body, "/1")
		rest := c.rest()
		assert.Assert(t, path == "/short" || rest == "", rest)
		assert.Assert(t, !strings.Contains(rest, "/3"))
		eventually(t, "requests behind go on", func() bool { return d.running.Load() == 0 })
		d.awaitNothing()
		assert.Equal(t, logged.count() > 0, path == "/panic")
	}
}

// Guards against GONE: a caller that leaves, or closes its sending side, cancels all its
// requests, and gets no false answer.
func TestCallerThatLeaves(t *testing.T) {
	for name, leave := range map[string]func(*caller) error{
		"close":      func(c *caller) error { return c.Close() },
		"half-close": func(c *caller) error { return c.CloseWrite() },
		"reset": func(c *caller) error {
			assert.NilError(t, c.SetLinger(0))
			return c.Close()
		},
	} {
		for _, sent := range []string{get("/1"), get("/1") + get("/2"), get("/1") + get("/2") + post("/3"), get("/1") + get("/2") + "GET /3 HT"} {
			d := newGatedHandler(t)
			c := call(t, serve(t, &Pipeliner{Handler: d}), sent)
			if sent == get("/1") {
				d.await("/1")
			} else {
				d.await("/1", "/2")
			}
			assert.NilError(t, leave(c), name)
			eventually(t, "requests of a caller that left go on", func() bool { return d.running.Load() == 0 })
			if name == "half-close" {
				assert.Equal(t, c.rest(), "")
			}
			d.awaitNothing()
		}
	}
}

// Beyond the limits of a connection nothing more is read, and what waits is served later.
func TestLimitsOfAConnection(t *testing.T) {
	for name, p := range map[string]*Pipeliner{
		"requests": {MaxRequests: 3},
		"bytes":    {MaxBytes: int64(len(get("/1"))*2 + 1)},
	} {
		d := newGatedHandler(t)
		p.Handler = d
		var sent strings.Builder
		const count = 10
		for n := range count {
			sent.WriteString(get(fmt.Sprintf("/%d", n)))
		}
		c := call(t, serve(t, p), sent.String())
		d.await("/0", "/1", "/2")
		for n := range count {
			d.awaitNothing()
			assert.Assert(t, d.running.Load() <= 3, name)
			d.release(fmt.Sprintf("/%d", n))
			_, body := c.receive()
			assert.Equal(t, body, fmt.Sprintf("/%d", n))
			if n+3 < count {
				d.await(fmt.Sprintf("/%d", n+3))
			}
		}
	}
}

// While nothing may be read ahead, requests are served one after the other.
func TestNothingIsReadAhead(t *testing.T) {
	d := newGatedHandler(t)
	var reads atomic.Bool
	c := call(t, serve(t, &Pipeliner{Handler: d, ReadsAhead: reads.Load}), get("/1")+get("/2")+get("/3")+get("/4"))
	d.await("/1")
	d.awaitNothing()
	d.release("/1")
	c.receive()
	d.await("/2")
	d.awaitNothing()
	reads.Store(true)
	d.release("/2")
	c.receive()
	d.await("/3", "/4")
	d.release("/3", "/4")
	c.receive()
	c.receive()
}

// A caller that sends and never reads holds no more requests than its limit, and is cut off.
func TestCallerThatReadsNothing(t *testing.T) {
	var running atomic.Int64
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		running.Add(1)
		defer running.Add(-1)
		w.Write(make([]byte, 256<<10))
	})
	address := serve(t, &Pipeliner{Handler: handler, MaxRequests: 4, IdleTimeout: 300 * time.Millisecond})
	c := call(t, address, "")
	assert.NilError(t, c.SetReadBuffer(4<<10))
	sending := make(chan struct{})
	go func() {
		defer close(sending)
		for {
			if _, err := io.WriteString(c.TCPConn, get("/")); err != nil {
				return
			}
		}
	}()
	for end := time.Now().Add(patience); ; {
		assert.Assert(t, running.Load() <= 4)
		select {
		case <-sending:
			eventually(t, "its requests go on", func() bool { return running.Load() == 0 })
			return
		case <-time.After(time.Millisecond):
			assert.Assert(t, time.Now().Before(end), "the caller was not cut off")
		}
	}
}

// A write deadline of a handler holds for its own response only, from its turn on.
func TestWriteDeadline(t *testing.T) {
	ahead := make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			<-ahead
			return
		}
		controller := http.NewResponseController(w)
		assert.Check(t, controller.SetWriteDeadline(time.Now().Add(-time.Second)))
		_, err := w.Write([]byte("late"))
		assert.Check(t, err)
		assert.Check(t, controller.Flush() != nil)
	})
	c := call(t, serve(t, &Pipeliner{Handler: handler}), get("/1")+get("/2"))
	close(ahead)
	response, _ := c.receive()
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, c.rest(), "")
}

// A write deadline that a handler leaves behind does not cut the next response.
func TestWriteDeadlineThatIsLeftBehind(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			assert.Check(t, http.NewResponseController(w).SetWriteDeadline(time.Now().Add(quiet)))
			return
		}
		time.Sleep(2 * quiet)
	})
	for _, idle := range []time.Duration{0, patience} {
		c := call(t, serve(t, &Pipeliner{Handler: handler, IdleTimeout: idle}), get("/1")+get("/2"))
		for range 2 {
			response, _ := c.receive()
			assert.Equal(t, response.StatusCode, http.StatusOK)
		}
	}
}

// A caller that waits for 100 Continue behind another request is noticed when it leaves.
func TestCallerThatLeavesBeforeItsBody(t *testing.T) {
	d := newGatedHandler(t)
	p := &Pipeliner{Handler: d, MayRepeat: func(*http.Request) bool { return true }}
	c := call(t, serve(t, p), get("/1")+"PUT /2 HTTP/1.1\r\n"+host+"Expect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	d.await("/1")
	d.awaitNothing()
	assert.NilError(t, c.Close())
	eventually(t, "requests of a caller that left go on", func() bool { return d.running.Load() == 0 })
	d.awaitNothing()
}

// A caller that leaves in the middle of a body cancels the requests ahead of it too. One whose
// body is malformed has not left.
func TestCallerThatLeavesInABody(t *testing.T) {
	for name, head := range map[string]string{
		"length": "PUT /2 HTTP/1.1\r\n" + host + "Content-Length: 10\r\n\r\nbody",
		"chunks": "PUT /2 HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n8\r\nbody",
	} {
		for _, leave := range []func(*caller) error{(*caller).Close, func(c *caller) error { return c.CloseWrite() }} {
			d := newGatedHandler(t)
			c := call(t, serve(t, &Pipeliner{Handler: d, MayRepeat: func(*http.Request) bool { return true }}), get("/1")+head)
			d.await("/1")
			eventually(t, "the body is not read", func() bool { return d.running.Load() == 2 })
			assert.NilError(t, leave(c))
			eventually(t, "requests ahead of a body that broke off go on: "+name, func() bool { return d.running.Load() == 0 })
		}
	}
	d := newGatedHandler(t)
	malformed := "PUT /2 HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\nx\r\n"
	c := call(t, serve(t, &Pipeliner{Handler: d, MayRepeat: func(*http.Request) bool { return true }}), get("/1")+malformed)
	d.await("/1")
	d.awaitNothing()
	d.release("/1")
	_, body := c.receive()
	assert.Equal(t, body, "/1")
	response, _ := c.receive()
	assert.Equal(t, response.StatusCode, http.StatusBadRequest)
	assert.Assert(t, response.Close)
}
