package receiver

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/accountant"
	"github.com/yuccathread/yuccathread/internal/carrier"
	"github.com/yuccathread/yuccathread/internal/clock"
	"github.com/yuccathread/yuccathread/internal/collector"
	"github.com/yuccathread/yuccathread/internal/steerer"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

// bareCodec decodes nothing: the instance knows no policy and refuses every request.
type bareCodec struct{ traffic.Codec }

func (bareCodec) DecodeRequest(*http.Request) traffic.Request { return traffic.Request{} }

// newCallerReceiver returns a receiver whose decisions about requests are counted.
func newCallerReceiver(decided *atomic.Int64) *Receiver {
	return &Receiver{
		Carrier: &carrier.Carrier{
			Steerer: &steerer.Steerer{}, Clock: clock.System(), Record: func(traffic.Record) { decided.Add(1) },
		},
		Codec: bareCodec{}, Clock: clock.System(), Registry: metrics.NewRegistry(), MaxBodyBytes: 1 << 20,
		Bodies: &collector.Collector{Accountant: &accountant.Accountant{Limit: 100 << 20}},
	}
}

// newCallerServer returns a server for a receiver. Each handler waits for gate before it
// starts.
func newCallerServer(r *Receiver, gate <-chan struct{}) *http.Server {
	return &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			<-gate
			r.Serve(w, req)
		}),
		ConnContext: r.ConnContext,
		ConnState:   r.ConnState,
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return listener
}

func dial(t *testing.T, listener net.Listener, request string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	_, err = io.WriteString(conn, request)
	assert.NilError(t, err)
	return conn.(*net.TCPConn)
}

// An instance that is late, after a pause or under load, reads requests whose callers
// have given up and closed their connections. It must not pass them on.
func TestRequestsOfCallersThatHaveLeftAreNotPassedOn(t *testing.T) {
	for _, request := range []string{
		"GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n",
		"PUT / HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 4\r\n\r\nbody",
	} {
		var decided atomic.Int64
		gate := make(chan struct{})
		close(gate)
		listener := listen(t)
		const left = 200
		for range left {
			dial(t, listener, request).Close()
		}
		staying := dial(t, listener, request)
		server := newCallerServer(newCallerReceiver(&decided), gate)
		go server.Serve(listener)
		response := make([]byte, 12)
		_, err := io.ReadFull(staying, response)
		assert.NilError(t, err)
		assert.Equal(t, string(response), "HTTP/1.1 503")
		staying.Close()
		time.Sleep(100 * time.Millisecond)
		server.Close()
		assert.Equal(t, decided.Load(), int64(1), "requests of callers that have left were decided on")
	}
}

// A caller that closes its sending side is taken to have left. It must not get an empty
// success in place of an answer.
func TestHalfClosedCallerGetsNoFalseAnswer(t *testing.T) {
	for range 20 {
		var decided atomic.Int64
		gate := make(chan struct{})
		listener := listen(t)
		server := newCallerServer(newCallerReceiver(&decided), gate)
		go server.Serve(listener)
		conn := dial(t, listener, "GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n")
		assert.NilError(t, conn.CloseWrite())
		time.Sleep(20 * time.Millisecond)
		close(gate)
		response, err := io.ReadAll(conn)
		assert.Assert(t, !strings.Contains(string(response), "HTTP/1.1 200"), "%s %v", response, err)
		conn.Close()
		server.Close()
	}
}
