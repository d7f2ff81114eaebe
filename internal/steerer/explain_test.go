package steerer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

func (b *testBench) explain(path, object, key string) traffic.Explanation {
	b.t.Helper()
	x, ok := findEffect[traffic.Explanation](b.handle(traffic.ExplanationRequested{Request: traffic.Request{
		Host: "shop.example", HostName: "shop.example", Path: path, Object: object, Key: key,
	}}))
	assert.Assert(b.t, ok)
	return x
}

// What is explained is what happens next, for many objects and states of the servers.
func TestExplanationIsWhatHappens(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"), server("s2", "a2"), server("s3", "b1"), server("s4", "c1"))
	b.handle(traffic.UpstreamSeen{Upstream: traffic.Upstream{ID: "s5", Service: "stock", Domain: "a1", Slots: 4, Draining: true, Revision: 2}})
	for n := range 200 {
		object := fmt.Sprint(n % 20)
		x := b.explain("/look/1", object, "")
		assert.Equal(t, x.Route, "look")
		assert.Equal(t, len(x.Services), 1)
		assert.Equal(t, x.Services[0].Obstacles["draining"], 1)
		_, effects := b.request("/look/1", object)
		send, sent := findEffect[traffic.Send](effects)
		if !sent {
			assert.Equal(t, x.Services[0].Refusal, b.mustRefuse(effects).Reason)
			continue
		}
		assert.Equal(t, x.Services[0].Server, send.Upstream.ID)
		if n%3 > 0 {
			b.endAttempt(send, successOutcome())
		}
		b.advance(30 * time.Millisecond)
	}
}

// An explanation takes nothing: neither from limits nor from the split of a route.
func TestExplanationsTakeNothing(t *testing.T) {
	b := newOrganisationBench(t)
	before := b.mustSend(b.requestWithKey("/look/1", "k1"))
	for range 500 {
		b.explain("/look/1", "7", "k1")
	}
	assert.Equal(t, b.InFlight(), 1)
	assert.Equal(t, b.BusiestOrganisations(1)[0].Requests, int64(1))
	b.endAttempt(before, successOutcome())
	assert.Equal(t, b.mustSend(b.requestWithKey("/look/1", "k1")).Upstream.ID, before.Upstream.ID)
}

func TestExplainedRefusals(t *testing.T) {
	b := newOrganisationBench(t)
	assert.Equal(t, b.explain("/look/1", "7", "").Refusal, traffic.Unidentified)
	assert.Equal(t, b.explain("/look/1", "7", "k1").Organisation, "roasters")
	assert.Equal(t, newTestBench(t, "front-1", "a1").explain("/look/1", "7", "").Refusal, traffic.NoPolicy)
}
