package steerer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// Guards against requests that go round: the address in an odd record may be that of an
// instance, which is none of the servers that a request can be meant for.
func TestRequestMeantForAServerIsMisdirected(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"))
	refusal := b.mustRefuse(b.handle(traffic.Arrived{Call: 1, Read: b.now, Request: traffic.Request{
		ID: "1", Host: "shop.example", HostName: "shop.example", Path: "/look/1", Limit: time.Second, Server: "odd",
	}}))
	assert.Equal(t, refusal.Reason, traffic.Misdirected)
	assert.Equal(t, refusal.Fate, traffic.NotRun)
	assert.Equal(t, b.InFlight(), 0)
}
