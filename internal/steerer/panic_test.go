package steerer

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// Guards against a server that counts as busy for ever: after a panic in a decision its attempt
// counts until it has ended, and one that was never sent does not count at all.
func TestRequestsInFlightAfterAPanic(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"))
	u := b.upstreams["s1"]
	call, effects := b.request("/order/1", "7")
	send := b.mustSend(effects)
	// The event after the one that sent the attempt panics.
	b.handle(traffic.Ticked{})
	b.Forget(call)
	assert.Equal(t, u.inFlight, 1, "the server is at work")
	b.endAttempt(send, successOutcome())
	assert.Equal(t, u.inFlight, 0)
	assert.Equal(t, b.InFlight(), 0)

	// The event that sent the attempt panics later on: its effects are lost.
	call, _ = b.request("/order/2", "8")
	b.Forget(call)
	assert.Equal(t, u.inFlight, 0)
	assert.Equal(t, b.InFlight(), 0)
	b.Forget(call)
	assert.Equal(t, u.inFlight, 0)
}

// The same where the panic comes in the middle of the decision to send.
func TestRequestsInFlightAfterAPanicBeforeTheSend(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"))
	u := b.upstreams["s1"]
	kept := u.pacer
	u.pacer = nil
	func() {
		defer func() { assert.Assert(t, recover() != nil) }()
		b.request("/order/1", "7")
	}()
	u.pacer = kept
	b.Forget(b.lastCall)
	assert.Equal(t, u.inFlight, 0)
	assert.Equal(t, b.InFlight(), 0)
}
