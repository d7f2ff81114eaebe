package steerer

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// What is asked before a request arrives agrees with what is decided on its arrival.
func TestMayRepeat(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"))
	for _, c := range []struct {
		host, path string
		others     []string
	}{
		{host: "shop.example", path: "/look/1"},
		{host: "shop.example", path: "/other"},
		{host: "shop.example", path: "/look/1", others: []string{"/other"}},
		{host: "shop.example", path: "/look/1", others: []string{"/look/2"}},
	} {
		request := traffic.Request{Host: c.host, HostName: c.host, Path: c.path, OtherPaths: c.others, Method: "GET", ID: "1"}
		b.lastCall++
		effects := b.handle(traffic.Arrived{Call: b.lastCall, Request: request, Read: b.now})
		assert.Equal(t, b.MayRepeat(request), b.mustSend(effects).Idempotent, "%+v", c)
	}
	assert.Assert(t, !b.MayRepeat(traffic.Request{HostName: "other.example", Path: "/look/1"}))
	assert.Assert(t, b.MayRepeat(traffic.Request{HostName: "shop.example", Path: "/look/1"}))
}
