package steerer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// Guards against orders that run twice since one reading of their path is that of a safe
// route: a request is repeated only if every reading says so.
func TestRepeatOnlyIfEveryPathAllowsIt(t *testing.T) {
	for _, c := range []struct {
		path   string
		others []string
		again  bool
	}{
		{"/look/1", nil, true},
		{"/look/a%2F1", []string{"/look/a/1"}, true},
		{"/look/%2e%2e/order/1", []string{"/look/../order/1", "/order/1"}, false},
		{"/look/1%2525", []string{"/look/1%25", ""}, false},
		{"/order%2F1", []string{"/order/1"}, false},
		{"/order/../look/1", []string{"/look/1"}, false},
	} {
		b := newReadyBench(t, server("s1", "a1"), server("s2", "a2"))
		effects := b.handle(traffic.Arrived{Call: 1, Read: b.now, Request: traffic.Request{
			ID: "1", HostName: "shop.example", Path: c.path, OtherPaths: c.others, Limit: 4 * time.Second,
		}})
		send := b.mustSend(effects)
		assert.Equal(t, send.Idempotent, c.again, c.path)
		effects = b.endAttempt(send, traffic.Outcome{Fate: traffic.Unknown, Err: errReset})
		_, again := findEffect[traffic.Send](effects)
		assert.Equal(t, again, c.again, c.path)
	}
}
