package receiver

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/pipeliner"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

const plainRequest = "GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n"

// servePipelined serves callers as the launcher does, and returns what dials them.
func servePipelined(t *testing.T, r *Receiver) func(request string) io.ReadWriteCloser {
	t.Helper()
	listener := listen(t)
	server := &pipeliner.Pipeliner{
		Handler: http.HandlerFunc(r.Serve), ConnContext: r.ConnContext, ConnState: r.ConnState,
		MayRepeat: func(*http.Request) bool { return true },
	}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	return func(request string) io.ReadWriteCloser { return dial(t, listener, request) }
}

func awaitNothingLent(t *testing.T, r *Receiver) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); r.Bodies.Accountant.Lent() > 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, r.Bodies.Accountant.Lent(), int64(0))
}

// What connections hold on which requests were sent ahead is on the account too.
func TestMemoryOfPipelinedConnections(t *testing.T) {
	const count, ahead = 400, 4
	var decided atomic.Int64
	r := newCallerReceiver(&decided)
	call := servePipelined(t, r)
	before := usedBytes()
	conns := make([]io.ReadWriteCloser, 0, count)
	for range count {
		conn := call(plainRequest + plainRequest + plainRequest + plainRequest)
		conns = append(conns, conn)
	}
	for end := time.Now().Add(5 * time.Second); decided.Load() < count*ahead && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, decided.Load(), int64(count*ahead))
	lent := r.Bodies.Accountant.Held()[traffic.ConnectionMemory]
	assert.Equal(t, lent, int64(count*ConnectionBytes))
	held := usedBytes() - before
	// The stacks of handlers that have just ended are not the connections'.
	for end := time.Now().Add(5 * time.Second); held >= 3*lent/2 && time.Now().Before(end); held = usedBytes() - before {
		time.Sleep(10 * time.Millisecond)
	}
	assert.Assert(t, held < 3*lent/2, "connections hold %d bytes, %d are on the account", held, lent)
	for _, conn := range conns {
		conn.Close()
	}
	awaitNothingLent(t, r)
}

// A caller that sent requests ahead and left before they were read gets none passed on.
func TestPipelinedRequestsOfACallerThatHasLeft(t *testing.T) {
	var decided atomic.Int64
	r := newCallerReceiver(&decided)
	gate := make(chan struct{})
	listener := listen(t)
	server := &pipeliner.Pipeliner{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			<-gate
			r.Serve(w, req)
		}),
		ConnContext: r.ConnContext, ConnState: r.ConnState,
	}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	dial(t, listener, plainRequest+plainRequest+plainRequest).Close()
	time.Sleep(50 * time.Millisecond)
	close(gate)
	awaitNothingLent(t, r)
	assert.Equal(t, decided.Load(), int64(0), "requests of a caller that has left were decided on")
}
