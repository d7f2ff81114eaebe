package receiver

import (
	"bufio"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// usedBytes returns the memory in use for data and stacks after a garbage collection.
func usedBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}

// exchange sends a request on a connection and reports whether the connection is kept.
func exchange(t *testing.T, conn net.Conn) bool {
	t.Helper()
	_, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n"))
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReaderSize(conn, 1<<10), nil)
	assert.NilError(t, err)
	response.Body.Close()
	return !response.Close
}

// Guards against LOST by memory that nothing counts: what connections without a request hold
// is on the account, and no more than that. Beyond half of it they are not kept, and when
// they are gone the account is empty.
func TestMemoryOfConnections(t *testing.T) {
	const count = 400
	var decided atomic.Int64
	gate := make(chan struct{})
	close(gate)
	listener := listen(t)
	r := newCallerReceiver(&decided)
	server := newCallerServer(r, gate)
	r.Bodies.Accountant.Limit = 2 * (count - 100) * ConnectionBytes
	go server.Serve(listener)
	defer server.Close()
	before := usedBytes()
	kept := 0
	for range count {
		conn := dial(t, listener, "")
		defer conn.Close()
		if exchange(t, conn) {
			kept++
		}
	}
	assert.Assert(t, kept >= count-101 && kept <= count-100, "%d of %d connections were kept", kept, count)
	lent := r.Bodies.Accountant.Held()[traffic.ConnectionMemory]
	held := usedBytes() - before
	assert.Assert(t, held < 3*lent/2, "connections hold %d bytes, %d are on the account", held, lent)
	server.Close()
	for end := time.Now().Add(5 * time.Second); r.Bodies.Accountant.Lent() > 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, r.Bodies.Accountant.Lent(), int64(0))
}
