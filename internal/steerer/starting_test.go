package steerer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

func (b *testBench) mayStart(send traffic.Send) bool {
	_, ok := findEffect[traffic.Start](b.handle(traffic.Starting{Call: send.Call, Attempt: send.Attempt}))
	return ok
}

func notSent() traffic.Outcome { return traffic.Outcome{Fate: traffic.NotRun} }

// An attempt may start as long as nothing is known against it, whatever else changes.
func TestAttemptsStart(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"), server("s2", "a2"))
	_, effects := b.request("/look/1", "7")
	send := b.mustSend(effects)
	b.advance(time.Second)
	b.handle(traffic.PolicySeen{Policy: policy(2)})
	b.handle(traffic.UpstreamSeen{Upstream: send.Upstream})
	assert.Assert(t, b.mayStart(send))
	b.handle(traffic.CallerLeft{Call: send.Call})
	assert.Assert(t, !b.mayStart(send), "the caller has left")
	assert.Assert(t, !b.mayStart(traffic.Send{Call: 99, Attempt: 1}), "no such call")
}

// Guards against DRAIN: a request that has not been sent to a server that drains goes to
// another one, without a share of the retry budget.
func TestWithdrawnAttemptGoesElsewhere(t *testing.T) {
	b := newStartedBench(t, server("s1", "a1"), server("s2", "a2"))
	_, effects := b.request("/order/1", "7")
	first := b.mustSend(effects)
	draining := first.Upstream
	draining.Draining, draining.Revision = true, 2
	b.handle(traffic.UpstreamSeen{Upstream: draining})
	assert.Assert(t, !b.mayStart(first))
	second := b.mustSend(b.endAttempt(first, notSent()))
	assert.Assert(t, second.Upstream.ID != first.Upstream.ID)
	assert.Assert(t, b.mayStart(second))
}

// Guards against CONFIG: a request that has not been sent when its route goes has not run,
// and is refused as one without a route.
func TestRouteThatIsGoneBeforeTheRequestIsSent(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"), server("s2", "a2"))
	_, effects := b.request("/order/1", "7")
	send := b.mustSend(effects)
	changed := policy(2)
	changed.Routes = changed.Routes[:1]
	b.handle(traffic.PolicySeen{Policy: changed})
	assert.Assert(t, !b.mayStart(send))
	refusal := b.mustRefuse(b.endAttempt(send, notSent()))
	assert.Equal(t, refusal.Reason, traffic.NoRoute)
	assert.Equal(t, refusal.Fate, traffic.NotRun)
}

// Guards against CONFIG: a store that has come back from a copy may give a version out again
// with other content. A request that was decided on before it follows the newer content.
func TestVersionWithOtherContentBeforeTheRequestIsSent(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"), server("s2", "a2"))
	_, effects := b.request("/order/1", "7")
	send := b.mustSend(effects)
	other := server("s3", "a1")
	other.Service = "other"
	b.handle(traffic.UpstreamSeen{Upstream: other})
	changed := policy(b.Version())
	changed.Routes[1].Shares = []traffic.Share{{Service: "other", Weight: 1}}
	b.handle(traffic.PolicySeen{Policy: changed, Revision: 1000})
	assert.Assert(t, !b.mayStart(send), "the attempt was sent to the service of the older content")
	second := b.mustSend(b.endAttempt(send, notSent()))
	assert.Equal(t, second.Upstream.ID, "s3")
	assert.Assert(t, b.mayStart(second))
}

// Guards against TWICE: a request that the policy in force sends to a route whose requests
// must not run twice is not repeated, though it was admitted as one that may be.
func TestRouteThatBecomesNonIdempotent(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"), server("s2", "a2"))
	_, effects := b.request("/look/1", "7")
	send := b.mustSend(effects)
	changed := policy(2)
	changed.Routes[0].Idempotent = false
	changed.Routes[0].Shares = []traffic.Share{{Service: "other", Weight: 1}}
	other := server("s3", "a1")
	other.Service = "other"
	b.handle(traffic.UpstreamSeen{Upstream: other})
	b.handle(traffic.PolicySeen{Policy: changed})
	assert.Assert(t, !b.mayStart(send))
	second := b.mustSend(b.endAttempt(send, notSent()))
	assert.Equal(t, second.Upstream.ID, "s3")
	assert.Assert(t, !second.Idempotent)
	refusal := b.mustRefuse(b.endAttempt(second, traffic.Outcome{Fate: traffic.Unknown, Err: errReset}))
	assert.Equal(t, refusal.Fate, traffic.Unknown)
}

// Guards against LOST: a request that was held up until late in a stop is not sent to a
// server that the end of the process would cut off.
func TestAttemptHeldUpInAStop(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"), server("s2", "a2"))
	changed := policy(2)
	changed.Routes[1].Timeout = time.Minute
	b.handle(traffic.PolicySeen{Policy: changed})
	send := b.mustSend(b.requestWithin("/order/1", time.Minute))
	b.handle(traffic.StopRequested{})
	assert.Assert(t, b.mayStart(send))
	b.advance(b.Settings.Bounds.Grace.Duration * 9 / 10)
	assert.Assert(t, !b.mayStart(send))
	assert.Equal(t, b.mustRefuse(b.endAttempt(send, notSent())).Reason, traffic.Stopping)
}

// Guards against HOME: a request that has not been sent when its route gets homes goes to a
// server there.
func TestHomesThatChangeBeforeTheRequestIsSent(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"))
	_, effects := b.request("/order/1", "7")
	send := b.mustSend(effects)
	changed := policy(2)
	for i := range changed.Routes {
		changed.Routes[i].HomeRegions = []string{"b"}
	}
	b.handle(traffic.PolicySeen{Policy: changed})
	b.handle(traffic.UpstreamSeen{Upstream: server("s2", "b1")})
	assert.Assert(t, !b.mayStart(send))
	assert.Equal(t, b.mustSend(b.endAttempt(send, notSent())).Upstream.ID, "s2")
}
