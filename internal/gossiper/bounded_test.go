package gossiper

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/rpc"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// slowPeer answers calls once release is closed.
type slowPeer struct {
	started atomic.Int64
	release chan struct{}
}

func (p *slowPeer) Changes(_ traffic.ChangesQuery, reply *traffic.ChangesReply) error {
	p.started.Add(1)
	<-p.release
	reply.Reason = "released"
	return nil
}

func startBounded(t *testing.T, peer any) string {
	t.Helper()
	mux := http.NewServeMux()
	assert.NilError(t, ServeBounded(mux, peer))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against callers that send calls without end: few are in progress on a connection at
// once, and the others are answered later.
func TestCallsInProgressAreBounded(t *testing.T) {
	peer := &slowPeer{release: make(chan struct{})}
	client, err := rpc.DialHTTPPath("tcp", startBounded(t, peer), rpcPath)
	assert.NilError(t, err)
	defer client.Close()
	done := make(chan *rpc.Call, 20)
	for range 20 {
		client.Go(rpcService+".Changes", traffic.ChangesQuery{}, &traffic.ChangesReply{}, done)
	}
	for peer.started.Load() < maxCalls {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, peer.started.Load(), int64(maxCalls))
	close(peer.release)
	for range 20 {
		call := <-done
		assert.NilError(t, call.Error)
		assert.Equal(t, call.Reply.(*traffic.ChangesReply).Reason, "released")
	}
}

// Guards against a message whose length says that it is huge: the connection ends at the size
// limit of a call.
func TestLargeCallEndsItsConnection(t *testing.T) {
	g := Gossiper{Timeout: 5 * time.Second}
	client, err := g.dial(startBounded(t, &slowPeer{}))
	assert.NilError(t, err)
	defer client.Close()
	var reply traffic.ChangesReply
	err = client.Call(rpcService+".Changes", strings.Repeat("x", 2*maxCallBytes), &reply)
	assert.Assert(t, err != nil)
	err = client.Call(rpcService+".Changes", traffic.ChangesQuery{}, &reply)
	// A connection that goes on answers the call. How its end shows depends on when the reset that
	// follows from unread bytes arrives.
	_, answered := errors.AsType[rpc.ServerError](err)
	assert.Assert(t, err != nil && !answered, "%v", err)
}

// Guards against a message whose length alone makes the decoder allocate: the connection ends
// before anything of it has arrived.
func TestAnnouncedLengthEndsItsConnection(t *testing.T) {
	for name, length := range map[string]string{
		"256 MiB": "\xfc\x10\x00\x00\x00", "longest": "\xf8\xff\xff\xff\xff\xff\xff\xff\xff", "too many bytes": "\x80" + strings.Repeat("\xff", 128),
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", startBounded(t, &slowPeer{}))
			assert.NilError(t, err)
			defer conn.Close()
			assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
			_, err = io.WriteString(conn, "CONNECT "+rpcPath+" HTTP/1.0\n\n")
			assert.NilError(t, err)
			_, err = io.ReadFull(conn, make([]byte, len("HTTP/1.0 200 Connected to Go RPC\n\n")))
			assert.NilError(t, err)
			_, err = io.WriteString(conn, length)
			assert.NilError(t, err)
			_, err = conn.Read(make([]byte, 1))
			assert.Assert(t, errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET), "%v", err)
		})
	}
}
