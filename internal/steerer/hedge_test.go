package steerer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// newBenchOfOne returns a bench that knows of long work and has one server, together with a
// request for which a second attempt at it pays.
func newBenchOfOne(t *testing.T) (b *testBench, first traffic.Send) {
	t.Helper()
	b = newReadyBench(t, server("s1", "a1"))
	for i := range 200 {
		took := usualWork
		if i%25 == 0 {
			took = longWork
		}
		_, effects := b.request("/look/1", "7")
		b.endAfter(b.mustSend(effects), took)
	}
	_, effects := b.advance(time.Minute).request("/look/1", "7")
	return b, b.mustSend(effects)
}

// sendsAgain reports whether a second attempt is started once the first has run for long.
func (b *testBench) sendsAgain(first traffic.Send) bool {
	effects := b.advance(3 * usualWork).handle(traffic.Overdue{Call: first.Call, Attempt: first.Attempt})
	_, sent := findEffect[traffic.Send](effects)
	return sent
}

func TestSecondAttemptAtTheSameServer(t *testing.T) {
	b, first := newBenchOfOne(t)
	assert.Assert(t, b.sendsAgain(first))
	c := b.calls[first.Call]
	assert.Equal(t, len(c.pending), c.route.MaxAttempts, "both count")
	assert.Assert(t, !b.allowRetry(c, false), "a third attempt is allowed")
}

// A server that has left gets no second attempt, which would only use up the budget.
func TestNoSecondAttemptAtAServerThatHasLeft(t *testing.T) {
	b, first := newBenchOfOne(t)
	b.handle(traffic.UpstreamGone{ID: "s1"})
	assert.Assert(t, !b.sendsAgain(first))
}

// A second attempt follows the homes of the configuration in force.
func TestNoSecondAttemptOutsideNewHomes(t *testing.T) {
	b, first := newBenchOfOne(t)
	p := policy(2)
	for i := range p.Routes {
		p.Routes[i].HomeRegions = []string{"b"}
	}
	b.handle(traffic.PolicySeen{Policy: p, Revision: 2})
	assert.Assert(t, !b.sendsAgain(first))
}

// A server that is tried after its ejection gets one request at a time.
func TestNoSecondAttemptAtAHalfOpenServer(t *testing.T) {
	b, first := newBenchOfOne(t)
	u := b.upstreams["s1"]
	b.endAttempt(first, successOutcome())
	b.countFailure(u, ejectFailures, "test")
	b.advance(2 * ejectPeriod)
	assert.Assert(t, u.ejector.HalfOpen(b.now))
	_, effects := b.request("/look/1", "7")
	assert.Assert(t, !b.sendsAgain(b.mustSend(effects)))
}

// An attempt at a server that hangs is looked at a bounded number of times per second, however
// short the work usually is.
func TestLooksAtAnAttemptAreBounded(t *testing.T) {
	for _, path := range []string{"/look/1", "/order/1"} {
		b := newReadyBench(t, server("s1", "a1"))
		for range 200 {
			_, effects := b.request(path, "7")
			b.endAfter(b.mustSend(effects), time.Millisecond)
		}
		_, effects := b.advance(time.Minute).request(path, "7")
		first := b.mustSend(effects)
		looks := 0
		for b.now.Before(first.Deadline) {
			timer, ok := findEffect[traffic.StartOverdueTimer](effects)
			assert.Assert(t, ok)
			looks++
			effects = b.advance(timer.After).handle(traffic.Overdue{Call: first.Call, Attempt: first.Attempt})
		}
		assert.Assert(t, looks < 80, "%s: %d looks", path, looks)
	}
}

// No timer outlasts the call's time by much, however long the server is expected to take.
func TestNoTimerLongAfterTheDeadline(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"))
	b.updateSlowdown(b.upstreams["s1"], maxSlowdown, 1)
	b.updateSlowdown(b.upstreams["s1"], maxSlowdown, 1)
	_, effects := b.request("/look/1", "7")
	send := b.mustSend(effects)
	timer, ok := findEffect[traffic.StartOverdueTimer](effects)
	assert.Assert(t, ok)
	assert.Assert(t, timer.After <= send.Deadline.Sub(b.now)+time.Second, "after %v", timer.After)
}

// No second attempt is started, and nothing taken from the budget, for a service to which the
// configuration in force no longer sends the call.
func TestNoSecondAttemptAtAFormerService(t *testing.T) {
	b, first := newBenchOfOne(t)
	p := policy(2)
	for i := range p.Routes {
		p.Routes[i].Shares = []traffic.Share{{Service: "other", Weight: 1}}
	}
	b.handle(traffic.PolicySeen{Policy: p, Revision: 2})
	assert.Assert(t, !b.sendsAgain(first))
}
