package steerer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/model"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

// requestWithin sends a request that its caller waits for up to limit.
func (b *testBench) requestWithin(path string, limit time.Duration) []traffic.Effect {
	b.lastCall++
	return b.handle(traffic.Arrived{Call: b.lastCall, Read: b.now, Request: traffic.Request{
		ID: "late", Host: "shop.example", HostName: "shop.example", Path: path, Object: "7", Limit: limit,
	}})
}

// newStoppingBench returns a bench that was told to stop some time ago and whose routes
// have a timeout of 20 s.
func newStoppingBench(t *testing.T, grace, since time.Duration, servers ...traffic.Upstream) *testBench {
	t.Helper()
	b := newReadyBench(t, servers...)
	b.Settings.Bounds.Grace = model.Duration{Duration: grace}
	p := policy(2)
	for i := range p.Routes {
		p.Routes[i].Timeout = 20 * time.Second
	}
	b.handle(traffic.PolicySeen{Policy: p})
	b.handle(traffic.StopRequested{})
	return b.advance(since)
}

// Guards against requests that are sent to a server so late in a stop that the end of the
// process cuts them off. For each grace time: any request at first, then only those that
// end by their own limit, and the others are told at once that they have not run.
func TestLateRequestsInAStop(t *testing.T) {
	const long = 15 * time.Second
	for _, grace := range []time.Duration{time.Second, 2 * time.Second, 6 * time.Second, 10 * time.Second, 15 * time.Second} {
		newBench := func(since time.Duration) *testBench { return newStoppingBench(t, grace, since, server("s1", "a1")) }
		for _, path := range []string{"/look/1", "/order/1"} {
			b := newBench(grace / 10)
			b.mustSend(b.requestWithin(path, grace*3/5))

			late := min(grace/2, 3*time.Second)
			b = newBench(late)
			b.mustSend(b.requestWithin(path, (grace-late)/2))
			effects := b.requestWithin(path, grace)
			refusal := b.mustRefuse(effects)
			assert.Equal(t, refusal.Reason, traffic.Stopping, "grace %v", grace)
			assert.Equal(t, refusal.Fate, traffic.NotRun)
			assert.Assert(t, refusal.RetryAfter > 0 && refusal.RetryAfter < minRetryAfter, "another instance can serve it at once")
			_, sent := findEffect[traffic.Send](effects)
			assert.Assert(t, !sent)
			assert.Equal(t, b.InFlight(), 1, "only the request that was sent")
		}
	}
	// A long grace time leaves room for every request, however late it comes.
	b := newStoppingBench(t, 60*time.Second, 30*time.Second, server("s1", "a1"))
	b.mustSend(b.requestWithin("/order/1", long))
}

// Guards against further attempts late in a stop, when the first one has ended without an
// answer: they are bound by the same limit as first ones.
func TestNoLateRetriesInAStop(t *testing.T) {
	newBench := func() *testBench {
		return newStoppingBench(t, 6*time.Second, 2*time.Second, server("s1", "a1"), server("s2", "a2"))
	}
	b := newBench()
	send := b.mustSend(b.requestWithin("/order/1", 15*time.Second))
	b.advance(1200 * time.Millisecond)
	refusal := b.mustRefuse(b.endAttempt(send, rejectedOutcome()))
	assert.Equal(t, refusal.Fate, traffic.NotRun)
	assert.Equal(t, refusal.Reason, traffic.Stopping)

	b = newBench()
	send = b.mustSend(b.requestWithin("/look/1", 15*time.Second))
	b.advance(1200 * time.Millisecond)
	_, hedged := findEffect[traffic.Send](b.handle(traffic.Overdue{Call: send.Call, Attempt: send.Attempt}))
	assert.Assert(t, !hedged)
	refusal = b.mustRefuse(b.endAttempt(send, traffic.Outcome{Fate: traffic.Unknown, Err: errReset}))
	assert.Equal(t, refusal.Fate, traffic.Unknown, "the first attempt may have run")

	b = newBench()
	send = b.mustSend(b.requestWithin("/look/1", 3*time.Second))
	b.advance(1200 * time.Millisecond)
	b.mustSend(b.endAttempt(send, traffic.Outcome{Fate: traffic.Unknown, Err: errReset}))
}

// Guards against requests that are sent early in a stop although their work is known to
// take longer than this instance has left.
func TestLongWorkInAStop(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"))
	p := policy(2)
	for i := range p.Routes {
		p.Routes[i].Timeout = 20 * time.Second
	}
	b.handle(traffic.PolicySeen{Policy: p})
	for range 200 {
		send := b.mustSend(b.requestWithin("/order/1", 15*time.Second))
		b.advance(5 * time.Second)
		o := successOutcome()
		o.Took = 5 * time.Second
		b.endAttempt(send, o)
	}
	b.Settings.Bounds.Grace = model.Duration{Duration: 3 * time.Second}
	b.handle(traffic.StopRequested{})
	b.advance(1300 * time.Millisecond)
	refusal := b.mustRefuse(b.requestWithin("/order/1", 15*time.Second))
	assert.Equal(t, refusal.Reason, traffic.Stopping)
	b.mustSend(b.requestWithin("/look/1", 15*time.Second))
}

// Guards against an instance that takes the time for which its machine was suspended
// within a stop for time that it still has.
func TestSuspensionWithinAStop(t *testing.T) {
	b := newStoppingBench(t, 6*time.Second, time.Second, server("s1", "a1"))
	b.mustSend(b.requestWithin("/order/1", 15*time.Second))
	b.handle(traffic.Suspended{For: 2500 * time.Millisecond})
	assert.Equal(t, b.mustRefuse(b.requestWithin("/order/1", 15*time.Second)).Reason, traffic.Stopping)
	b.mustSend(b.requestWithin("/order/1", time.Second))
}
