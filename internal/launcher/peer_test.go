package launcher

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/carrier"
	"github.com/yuccathread/yuccathread/internal/clock"
	"github.com/yuccathread/yuccathread/internal/gossiper"
	"github.com/yuccathread/yuccathread/internal/relayer"
	"github.com/yuccathread/yuccathread/internal/steerer"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

// countingListener counts the bytes of its connections, both ways.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	// The other end may have read it before the write returns.
	c.bytes.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// Instances lend to each other beside the calls for changes of the store. A query takes few
// bytes, and one more for each wish.
func TestLendingBetweenInstances(t *testing.T) {
	l := &Launcher{relayer: &relayer.Relayer{Clock: clock.System()}, carrier: &carrier.Carrier{
		Steerer: &steerer.Steerer{}, Clock: clock.System(), Record: func(traffic.Record) {}, Reannounce: func(int64) {}, Publish: func(traffic.Effect) {},
	}}
	mux := http.NewServeMux()
	assert.NilError(t, l.servePeers(mux))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	counted := countingListener{listener, &atomic.Int64{}}
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(counted) }()
	t.Cleanup(func() { server.Close() })

	g := gossiper.Gossiper{Timeout: 5 * time.Second}
	t.Cleanup(g.Close)
	size := func(wishes int) int64 {
		query := traffic.QuotaQuery{}
		for i := range wishes {
			query.Wishes = append(query.Wishes, traffic.QuotaWish{Organisation: "organisation-12", Slot: i % 3, Need: 2, Useful: 12})
		}
		before := counted.bytes.Load()
		reply, err := g.Lend(listener.Addr().String(), query)
		assert.NilError(t, err)
		assert.Equal(t, len(reply.Lots), wishes)
		return counted.bytes.Load() - before
	}
	size(1)
	one, twenty := size(1), size(20)
	t.Logf("%d bytes for one wish, %d for twenty, both ways", one, twenty)
	assert.Assert(t, one < 200 && twenty < 1000)
}
