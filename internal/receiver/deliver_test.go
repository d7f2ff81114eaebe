package receiver

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// countedRest is the rest of a response. It fails at its end if err is set, and counts how
// often it is closed.
type countedRest struct {
	io.Reader
	err    error
	closed atomic.Int64
}

func (r *countedRest) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if errors.Is(err, io.EOF) && r.err != nil {
		err = r.err
	}
	return n, err
}

func (r *countedRest) Close() error {
	r.closed.Add(1)
	return nil
}

// serveReply serves one response to all requests and returns a connection to it.
func serveReply(t *testing.T, r *Receiver, reply traffic.Reply) net.Conn {
	t.Helper()
	listener := listen(t)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { r.deliver(w, req, reply) })}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	return dial(t, listener, "")
}

// get sends a request and reads the response to its end.
func get(t *testing.T, conn net.Conn, version string) (*http.Response, string, error) {
	t.Helper()
	_, err := io.WriteString(conn, "GET / HTTP/"+version+"\r\nHost: shop.example\r\n\r\n")
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// Guards against MIXED: a response that is passed on while it is read, with its length or
// without, is whole, or does not look so.
func TestPassedOnResponse(t *testing.T) {
	start, end := strings.Repeat("a", 50_000), strings.Repeat("b", 300_000)
	for _, length := range []int64{int64(len(start) + len(end)), -1} {
		for _, failure := range []error{nil, io.ErrUnexpectedEOF} {
			var decided atomic.Int64
			rest := &countedRest{Reader: strings.NewReader(end), err: failure}
			if failure != nil {
				rest.Reader = strings.NewReader(end[:200_000])
			}
			r := newCallerReceiver(&decided)
			r.IdleTimeout = time.Second
			reply := traffic.Reply{Status: http.StatusOK, Header: http.Header{}, Body: []byte(start), Rest: rest, Length: length}
			response, body, err := get(t, serveReply(t, r, reply), "1.1")
			if failure != nil {
				assert.Assert(t, err != nil, "length %d: a response that is cut looks whole", length)
				assert.Equal(t, decided.Load(), int64(1), "no line tells of it")
			} else {
				assert.NilError(t, err)
				assert.Assert(t, body == start+end)
				assert.Equal(t, response.ContentLength, length)
			}
			// The handler closes it after the last byte, which the caller may have read before.
			for started := time.Now(); rest.closed.Load() == 0 && time.Since(started) < 5*time.Second; {
				time.Sleep(time.Millisecond)
			}
			assert.Equal(t, rest.closed.Load(), int64(1))
		}
	}
}

// A caller of HTTP/1.0 can't tell a response without a length that is cut from a whole one.
func TestPassedOnResponseWithoutALengthForAnOldCaller(t *testing.T) {
	var decided atomic.Int64
	rest := &countedRest{Reader: strings.NewReader("rest")}
	reply := traffic.Reply{Status: http.StatusOK, Header: http.Header{}, Rest: rest, Length: -1}
	response, _, err := get(t, serveReply(t, newCallerReceiver(&decided), reply), "1.0")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusBadGateway)
	assert.Equal(t, rest.closed.Load(), int64(1))
}

// Guards against memory that one caller keeps for ever: one that takes nothing of a large
// response for the idle timeout is cut off, one that reads slowly is not.
func TestCallersThatReadSlowlyOrNotAtAll(t *testing.T) {
	const size = 16 << 20
	for _, reads := range []bool{true, false} {
		var decided atomic.Int64
		r := newCallerReceiver(&decided)
		r.IdleTimeout = 400 * time.Millisecond
		rest := &countedRest{Reader: strings.NewReader("")}
		conn := serveReply(t, r, traffic.Reply{Status: http.StatusOK, Header: http.Header{}, Body: make([]byte, size), Rest: rest, Length: size})
		assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(64<<10))
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n")
		assert.NilError(t, err)
		started := time.Now()
		read := int64(0)
		for reads && read < size && err == nil {
			var n int64
			n, err = io.CopyN(io.Discard, conn, 1<<20)
			read += n
			time.Sleep(60 * time.Millisecond)
		}
		if reads {
			assert.Assert(t, read >= size && time.Since(started) > 2*r.IdleTimeout, "%d bytes, %v", read, err)
			continue
		}
		for rest.closed.Load() == 0 && time.Since(started) < 5*time.Second {
			time.Sleep(10 * time.Millisecond)
		}
		assert.Equal(t, rest.closed.Load(), int64(1), "the response is held for ever")
	}
}

// Callers for whom there is no memory are told at once, before their body is read, and to
// come back at different times.
func TestRequestsWithoutMemory(t *testing.T) {
	var decided atomic.Int64
	r := newCallerReceiver(&decided)
	r.Bodies.Accountant.Charge(traffic.Loan{Holder: traffic.ConnectionMemory, Bytes: r.Bodies.Accountant.Limit})
	gate := make(chan struct{})
	close(gate)
	server := newCallerServer(r, gate)
	listener := listen(t)
	go server.Serve(listener)
	defer server.Close()
	times := make(map[string]bool)
	for range 20 {
		conn := dial(t, listener, "PUT / HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 1000000\r\n\r\n")
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
		after := response.Header.Get("Retry-After")
		seconds, err := strconv.ParseFloat(after, 64)
		assert.NilError(t, err)
		assert.Assert(t, seconds >= 0.5 && seconds < 1.5, after)
		times[after] = true
		conn.Close()
	}
	assert.Assert(t, len(times) > 10)
	assert.Equal(t, decided.Load(), int64(20), "not each refusal has its line")
}

// panickingCodec stands for a request that no check has foreseen.
type panickingCodec struct{ traffic.Codec }

func (panickingCodec) DecodeRequest(*http.Request) traffic.Request { panic("odd request") }

// A panic of a handler closes its connection, tells why, and gives back what was borrowed.
func TestPanicOfAHandler(t *testing.T) {
	var decided atomic.Int64
	r := newCallerReceiver(&decided)
	r.Codec = panickingCodec{}
	gate := make(chan struct{})
	close(gate)
	server := newCallerServer(r, gate)
	listener := listen(t)
	go server.Serve(listener)
	_, _, err := get(t, dial(t, listener, ""), "1.1")
	assert.Assert(t, err != nil)
	assert.Equal(t, decided.Load(), int64(1))
	server.Close()
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, r.Bodies.Accountant.Lent(), int64(0))
}

// A server that breaks off before the first byte of a response that is passed on: the caller
// gets an answer of the instance in place of a closed connection.
func TestPassedOnResponseWithoutAFirstByte(t *testing.T) {
	var decided atomic.Int64
	rest := &countedRest{Reader: strings.NewReader(""), err: io.ErrUnexpectedEOF}
	reply := traffic.Reply{Status: http.StatusOK, Header: http.Header{"X-Stamp": {"server"}}, Rest: rest, Length: 1000}
	response, _, err := get(t, serveReply(t, newCallerReceiver(&decided), reply), "1.1")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusBadGateway)
	assert.Equal(t, response.Header.Get("X-Stamp"), "")
	assert.Equal(t, decided.Load(), int64(1), "no line tells of it")
	assert.Equal(t, rest.closed.Load(), int64(1))
}
