package steerer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// Guards against a server that begins each response well and breaks it off while it is passed
// on: the start is no success, and the cuts eject it. A response whose rest was whole counts as
// a success.
func TestResponsesThatAreCutCountAgainstTheirServer(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"))
	u := b.upstreams["s1"]
	partial := successOutcome()
	partial.Reply.Partial = true
	serve := func(err error) {
		_, effects := b.advance(50*time.Millisecond).request("/look/1", "7")
		send := b.mustSend(effects)
		b.endAttempt(send, partial)
		b.handle(traffic.RestEnded{Upstream: send.Upstream, Err: err})
	}
	serve(errReset)
	serve(nil)
	serve(errReset)
	assert.Assert(t, !u.ejector.Ejected(b.now), "ejected in spite of a success in between")
	for n := range ejectFailures - 1 {
		assert.Assert(t, !u.ejector.Ejected(b.now), fmt.Sprint(n))
		serve(errReset)
	}
	assert.Assert(t, u.ejector.Ejected(b.now), "a server that cuts off its responses is used on")
	// A word about a server that is gone, or about the process before it, concerns nobody.
	b.handle(traffic.RestEnded{Upstream: traffic.Upstream{ID: "gone"}, Err: errReset})
	other := u.Upstream
	other.Address = "10.0.0.9:80"
	b.advance(time.Minute).handle(traffic.RestEnded{Upstream: other, Err: nil})
	assert.Assert(t, u.ejector.HalfOpen(b.now))
}
