package forwarder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// A server in trouble may send bytes without end, in a head or a body, until the
// caller closes the connection. The exchange must fail soon with an unknown outcome,
// close the connection, and hold little memory.
func TestResponsesWithoutEnd(t *testing.T) {
	filler := strings.Repeat("x", 1<<12)
	head := "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
	for _, c := range []struct {
		name, start, repeated string
	}{
		{"status line", "HTTP/1.1 200 ", filler},
		{"no response at all", "", "\x00\xff" + filler},
		{"header line", head + "X-Filler: ", filler},
		{"header lines", head, "X-Filler: " + filler + "\r\n"},
		{"many short header lines", head, "A: b\r\n"},
		{"body without a length", head + "\r\n", filler},
		{"body longer than its length", head + "Content-Length: 99999999999\r\n\r\n", filler},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + filler + "\r\n"},
		{"chunks of one byte", head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		{"chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n1;", filler},
		{"trailer", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: " + filler + "\r\n"},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"responses to others", "", "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 1\r\n\r\nx"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var sent atomic.Int64
			closed := make(chan struct{})
			s := startServer(t, func(conn net.Conn, _ *http.Request, _ int) bool {
				defer close(closed)
				n, err := io.WriteString(conn, c.start)
				for err == nil {
					sent.Add(int64(n))
					n, err = io.WriteString(conn, c.repeated)
				}
				return false
			})
			f := newForwarder(t)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			started := time.Now()
			o := f.Exchange(t.Context(), traffic.Request{ID: "1", Method: "GET", Target: "/"}, traffic.Send{
				Upstream: traffic.Upstream{ID: "s1", Address: s.address}, Deadline: started.Add(10 * time.Second),
			}, nil)
			runtime.ReadMemStats(&after)
			assert.Equal(t, o.Fate, traffic.Unknown, "%v", o.Err)
			assert.Assert(t, time.Since(started) < 5*time.Second, "the exchange waited for its deadline")
			<-closed
			// The server's own memory counts too, and it sends what the sockets' buffers take.
			allocated := after.TotalAlloc - before.TotalAlloc
			assert.Assert(t, allocated < 8<<20, "%d bytes allocated, %d sent", allocated, sent.Load())
			assert.Assert(t, f.Bodies.Memory.TryAcquire(1<<18), "memory was not given back")
		})
	}
}

// Large responses must not keep small ones of other servers from being read.
func TestSmallResponseBesideLargeOnes(t *testing.T) {
	started := make(chan struct{})
	large := startServer(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nX-Id: large\r\nContent-Length: 65536\r\n\r\n")
		close(started)
		_, _ = conn.Read(make([]byte, 1))
		return false
	})
	small := startServer(t, echo)
	f := newForwarder(t)
	f.Bodies.Free = 1 << 10
	assert.Assert(t, f.Bodies.Memory.TryAcquire(1<<18-64<<10+1<<10))
	done := make(chan traffic.Outcome, 1)
	go func() { done <- send(f, large, "large", true) }()
	<-started
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, send(f, small, "small", true).Fate, traffic.Ran)
	assert.Equal(t, (<-done).Fate, traffic.Unknown)
}

// Guards against memory that nothing counts: a large body must not be copied to be sent.
func TestLargeBodyIsNotCopied(t *testing.T) {
	const large = 16 << 20
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		if n, err := io.Copy(io.Discard, request.Body); n == large && err == nil {
			respond(conn, request.Header.Get("X-Id"), "")
		}
	}()
	f := newForwarder(t)
	body := make([]byte, large)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	o := f.Exchange(t.Context(), traffic.Request{ID: "1", Method: "PUT", Target: "/", Body: body}, traffic.Send{
		Upstream: traffic.Upstream{ID: "s1", Address: listener.Addr().String()}, Deadline: time.Now().Add(10 * time.Second),
	}, nil)
	runtime.ReadMemStats(&after)
	assert.Equal(t, o.Fate, traffic.Ran, "%v", o.Err)
	allocated := after.TotalAlloc - before.TotalAlloc
	assert.Assert(t, allocated < large/2, "%d bytes allocated", allocated)
}
