package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/accountant"
	"github.com/yuccathread/yuccathread/internal/clock"
	"github.com/yuccathread/yuccathread/internal/collector"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

// fakeCodec uses headers that only these tests know.
type fakeCodec struct{ traffic.Codec }

func (fakeCodec) RequestHeader(r traffic.Request, send traffic.Send, remaining time.Duration) http.Header {
	return http.Header{"X-Id": {r.ID}, "X-Server": {send.Upstream.ID}, "X-Left": {fmt.Sprint(remaining.Milliseconds())}}
}

func (fakeCodec) DecodeReply(r *http.Response) traffic.Reply {
	return traffic.Reply{
		Status: r.StatusCode, Header: r.Header, RequestID: r.Header.Get("X-Id"),
		NotRun: r.Header.Get("X-Not-Run") != "", CloseConnection: r.Close,
	}
}

// responder responds to the n-th request of a connection, counted from 1; it returns
// false to close the connection.
type responder func(conn net.Conn, request *http.Request, n int) bool

type fakeServer struct {
	address     string
	connections atomic.Int64
	requests    atomic.Int64
}

func startServer(t *testing.T, handler responder) *fakeServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	s := &fakeServer{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.serveConnection(conn, handler)
		}
	}()
	return s
}

func (s *fakeServer) serveConnection(conn net.Conn, handler responder) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 1; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body := make([]byte, request.ContentLength)
		if _, err := reader.Read(body); err != nil && len(body) > 0 {
			return
		}
		s.requests.Add(1)
		if !handler(conn, request, n) {
			return
		}
	}
}

func respond(conn net.Conn, id, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// echo responds to each request and keeps the connection.
func echo(conn net.Conn, r *http.Request, _ int) bool {
	respond(conn, r.Header.Get("X-Id"), "")
	return true
}

func bodies() *collector.Collector {
	// Half of it is for responses.
	return &collector.Collector{Accountant: &accountant.Accountant{Limit: 1 << 19}}
}

func newForwarder(t *testing.T) *Forwarder {
	t.Helper()
	f := &Forwarder{Codec: fakeCodec{}, Clock: clock.System(), MaxBodyBytes: 1 << 16, Bodies: bodies()}
	t.Cleanup(f.Close)
	return f
}

func send(f *Forwarder, s *fakeServer, id string, idempotent bool) traffic.Outcome {
	return f.Exchange(context.Background(),
		traffic.Request{ID: id, Method: "PUT", Host: "shop.example", Target: "/a%2Fb?q=1", Body: []byte("abc")},
		traffic.Send{
			Upstream: traffic.Upstream{ID: "s1", Address: s.address}, Deadline: time.Now().Add(500 * time.Millisecond),
			Connections: 4, Idempotent: idempotent,
		}, nil)
}

func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name    string
		handler responder
		fate    traffic.Fate
		body    string
	}{
		{"whole", func(conn net.Conn, r *http.Request, _ int) bool {
			respond(conn, r.Header.Get("X-Id"), "ok")
			return true
		}, traffic.Ran, "ok"},
		{"chunked", func(conn net.Conn, r *http.Request, _ int) bool {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", r.Header.Get("X-Id"))
			return true
		}, traffic.Ran, "ok"},
		{"chunked, cut", func(conn net.Conn, r *http.Request, _ int) bool {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", r.Header.Get("X-Id"))
			return false
		}, traffic.Unknown, ""},
		{"cut", func(conn net.Conn, r *http.Request, _ int) bool {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 9\r\n\r\nok", r.Header.Get("X-Id"))
			return false
		}, traffic.Unknown, ""},
		{"no length", func(conn net.Conn, r *http.Request, _ int) bool {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n\r\nok", r.Header.Get("X-Id"))
			return false
		}, traffic.Ran, "ok"},
		{"no length, reset", func(conn net.Conn, r *http.Request, _ int) bool {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n\r\nok", r.Header.Get("X-Id"))
			time.Sleep(20 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
			return false
		}, traffic.Unknown, ""},
		{"garbage", func(conn net.Conn, _ *http.Request, _ int) bool {
			fmt.Fprint(conn, "\x00\x01 what\r\n\r\n")
			return true
		}, traffic.Unknown, ""},
		{"another request's answer first", func(conn net.Conn, r *http.Request, _ int) bool {
			respond(conn, "other", "wrong")
			respond(conn, r.Header.Get("X-Id"), "ok")
			return true
		}, traffic.Ran, "ok"},
		{"only another request's answer", func(conn net.Conn, _ *http.Request, _ int) bool {
			respond(conn, "other", "wrong")
			return true
		}, traffic.Unknown, ""},
		{"no request named", func(conn net.Conn, _ *http.Request, _ int) bool {
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			return true
		}, traffic.Unknown, ""},
		{"interim answer first", func(conn net.Conn, r *http.Request, _ int) bool {
			fmt.Fprint(conn, "HTTP/1.1 103 Early Hints\r\n\r\n")
			respond(conn, r.Header.Get("X-Id"), "ok")
			return true
		}, traffic.Ran, "ok"},
		{"declared not run", func(conn net.Conn, r *http.Request, _ int) bool {
			fmt.Fprintf(conn, "HTTP/1.1 503 Full\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Id"))
			return true
		}, traffic.NotRun, ""},
		{"closed", func(net.Conn, *http.Request, int) bool { return false }, traffic.Unknown, ""},
		{"silent", func(net.Conn, *http.Request, int) bool { time.Sleep(time.Second); return false }, traffic.Unknown, ""},
		{"too large", func(conn net.Conn, r *http.Request, _ int) bool {
			respond(conn, r.Header.Get("X-Id"), strings.Repeat("x", 1<<17))
			return true
		}, traffic.Unknown, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startServer(t, c.handler)
			o := send(newForwarder(t), s, "id-1", false)
			assert.Equal(t, o.Fate, c.fate, "%v", o.Err)
			assert.Equal(t, string(o.Reply.Body), c.body)
			assert.Equal(t, s.requests.Load(), int64(1), "the request was written more than once")
		})
	}
}

func TestRequestIsUnchanged(t *testing.T) {
	got := make(chan *http.Request, 1)
	s := startServer(t, func(conn net.Conn, r *http.Request, _ int) bool {
		got <- r
		respond(conn, r.Header.Get("X-Id"), "")
		return true
	})
	send(newForwarder(t), s, "id-1", false)
	r := <-got
	assert.Equal(t, r.Method, "PUT")
	assert.Equal(t, r.RequestURI, "/a%2Fb?q=1")
	assert.Equal(t, r.Host, "shop.example")
	assert.Equal(t, r.Header.Get("X-Server"), "s1")
	assert.Equal(t, r.ContentLength, int64(3))
}

// A second response that arrives late on a persistent connection must not be
// delivered as the response to another request.
func TestLateExtraAnswerIsDiscarded(t *testing.T) {
	s := startServer(t, func(conn net.Conn, r *http.Request, _ int) bool {
		respond(conn, r.Header.Get("X-Id"), "own")
		time.Sleep(20 * time.Millisecond)
		respond(conn, r.Header.Get("X-Id"), "extra")
		return true
	})
	f := newForwarder(t)
	for i := range 5 {
		o := send(f, s, fmt.Sprint(i), true)
		assert.Equal(t, o.Fate, traffic.Ran)
		assert.Equal(t, string(o.Reply.Body), "own")
		time.Sleep(time.Duration(i) * 10 * time.Millisecond)
	}
}

func TestUnreachableServerMeansNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	listener.Close()
	o := send(newForwarder(t), &fakeServer{address: address}, "1", false)
	assert.Equal(t, o.Fate, traffic.NotRun)
	assert.Assert(t, o.Unreachable)
}

// When the caller disconnects, the connection to the server is closed, so that
// the server can stop working on the request.
func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	s := startServer(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
		return false
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	o := newForwarder(t).Exchange(ctx, traffic.Request{ID: "1", Method: "GET", Target: "/"},
		traffic.Send{Upstream: traffic.Upstream{ID: "s1", Address: s.address}, Deadline: time.Now().Add(time.Minute)}, nil)
	assert.Equal(t, o.Fate, traffic.Unknown)
	<-closed
}
