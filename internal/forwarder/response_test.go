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

	"github.com/yuccathread/yuccathread/internal/accountant"
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
			assert.Equal(t, f.Bodies.Accountant.Lent(), int64(0), "memory was not given back")
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
	// What is left is enough for the large response only.
	loan := traffic.Loan{Holder: traffic.ResponseMemory, Bytes: 1}
	for f.Bodies.Accountant.Borrow(loan) {
	}
	f.Bodies.Accountant.Return(traffic.Loan{Holder: traffic.ResponseMemory, Bytes: 63 << 10})
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

// startDownloads starts a server of responses of a size that it sends in two parts. It
// sends the second part once more is closed, and closes the connection in place of the end if
// cut is set.
func startDownloads(t *testing.T, head string, size int, more <-chan struct{}, cut bool) *fakeServer {
	t.Helper()
	return startServer(t, func(conn net.Conn, r *http.Request, _ int) bool {
		id := r.Header.Get("X-Id")
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n%s\r\n\r\n%s", id, head, strings.Repeat("a", size/2))
		<-more
		if cut {
			fmt.Fprint(conn, strings.Repeat("b", size/4))
			return false
		}
		fmt.Fprint(conn, strings.Repeat("b", size-size/2))
		return !strings.HasPrefix(head, "Connection: close")
	})
}

// A response for which there is no memory is passed on while it is read, whether its length
// is known or not, and the next request is not sent on its connection.
func TestResponseWithoutMemory(t *testing.T) {
	const size = 60_000
	for _, head := range []string{fmt.Sprint("Content-Length: ", size), "Connection: close"} {
		for _, cut := range []bool{false, true} {
			t.Run(fmt.Sprint(head, ", cut: ", cut), func(t *testing.T) {
				more := make(chan struct{})
				s := startDownloads(t, head, size, more, cut)
				f := newForwarder(t)
				full := traffic.Loan{Holder: traffic.ConnectionMemory, Bytes: f.Bodies.Accountant.Limit}
				f.Bodies.Accountant.Charge(full)
				f.Bodies.Free = 16 << 10
				o := send(f, s, "1", true)
				assert.Equal(t, o.Fate, traffic.Ran, "%v", o.Err)
				assert.Assert(t, len(o.Reply.Body) <= 16<<10, "%d bytes are held", len(o.Reply.Body))
				close(more)
				rest, err := io.ReadAll(o.Reply.Rest)
				whole := string(o.Reply.Body) + string(rest)
				if !cut {
					assert.NilError(t, err)
					assert.Equal(t, whole, strings.Repeat("a", size/2)+strings.Repeat("b", size/2))
				}
				if cut && strings.HasPrefix(head, "Content-Length") {
					assert.Assert(t, err != nil, "a response that ends early looks complete")
				}
				assert.NilError(t, o.Reply.Rest.Close())
				assert.NilError(t, o.Reply.Rest.Close())
				f.Bodies.Accountant.Return(full)
				assert.Equal(t, f.Bodies.Accountant.Lent(), int64(0), "memory was not given back once")
				before := s.connections.Load()
				o = send(f, s, "2", true)
				assert.Assert(t, s.connections.Load() > before, "the connection was used again")
				closeReply(o.Reply)
			})
		}
	}
}

// A response that comes when nobody waits for it any more gives its memory back.
func TestResponseThatIsNotWanted(t *testing.T) {
	for _, leaveFirst := range []bool{true, false} {
		a := &accountant.Accountant{Limit: 1 << 20}
		loan := traffic.Loan{Holder: traffic.ResponseMemory, Bytes: 1000}
		assert.Assert(t, a.Borrow(loan))
		reply := traffic.Reply{Rest: &rest{release: func() { a.Return(loan) }, closed: make(chan struct{})}}
		x := &exchange{done: make(chan result, 1)}
		if leaveFirst {
			x.leave()
		}
		x.complete(result{reply: reply})
		x.leave()
		assert.Equal(t, a.Lent(), int64(0))
	}
}
