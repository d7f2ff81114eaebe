package receiver

import (
	"bufio"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/steerer"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

// Guards against callers that send their bodies slowly, or stop short of their end: the request
// ends when its response is due, it has not run, and what it held is free again. A caller that
// is in time keeps its connection.
func TestSlowBodyEndsWhenItsResponseIsDue(t *testing.T) {
	var decided atomic.Int64
	gate := make(chan struct{})
	close(gate)
	listener := listen(t)
	r := newCallerReceiver(&decided)
	r.IdleTimeout = 200 * time.Millisecond
	server := newCallerServer(r, gate)
	go server.Serve(listener)
	defer server.Close()
	conn := dial(t, listener, "")
	defer conn.Close()
	reader := bufio.NewReader(conn)
	send := func(parts ...string) *http.Response {
		for _, part := range parts {
			_, err := io.WriteString(conn, part)
			assert.NilError(t, err)
			time.Sleep(10 * time.Millisecond)
		}
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		return response
	}
	head := "PUT / HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 4\r\n\r\n"
	assert.Equal(t, send(head, "bo", "dy").StatusCode, http.StatusServiceUnavailable)
	// The deadline of the last body does not apply to the next request.
	time.Sleep(2 * r.IdleTimeout)
	assert.Equal(t, send(head, "bo", "dy").StatusCode, http.StatusServiceUnavailable)
	before := decided.Load()
	response := send(head, "bod")
	assert.Equal(t, response.StatusCode, http.StatusRequestTimeout)
	assert.Assert(t, response.Close)
	// One line says that the request was refused; the reducer has not seen it.
	assert.Equal(t, decided.Load(), before+1)
	assert.Equal(t, r.Bodies.Accountant.Held()[traffic.RequestMemory], int64(0))
	r.Carrier.View(func(s *steerer.Steerer) { assert.Equal(t, s.InFlight(), 0) })
}
