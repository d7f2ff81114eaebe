package steerer

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

const (
	usualWork = 100 * time.Millisecond
	longWork  = 700 * time.Millisecond
)

// newUnevenBench returns a bench that has learned that four of a hundred requests of a route
// take seven times as long as the others.
func newUnevenBench(t *testing.T, path string) *testBench {
	t.Helper()
	b := newReadyBench(t, server("s1", "a1"), server("s2", "a1"))
	for i := range 200 {
		took := usualWork
		if i%25 == 0 {
			took = longWork
		}
		_, effects := b.request(path, "7")
		b.endAfter(b.mustSend(effects), took)
	}
	return b.advance(time.Minute)
}

// endAfter lets time pass until an attempt succeeds.
func (b *testBench) endAfter(send traffic.Send, took time.Duration) {
	b.t.Helper()
	o := successOutcome()
	o.Took = took
	b.advance(took).endAttempt(send, o)
}

// A request that has outlived the usual ones is most likely one of those that take long, and
// is sent a second time as soon as that saves work, long before it is overdue.
func TestSecondAttemptBesideLongWork(t *testing.T) {
	b := newUnevenBench(t, "/look/1")
	_, effects := b.request("/look/1", "7")
	first := b.mustSend(effects)
	var waited time.Duration
	for len(b.calls[first.Call].pending) == 1 {
		timer, ok := findEffect[traffic.StartOverdueTimer](effects)
		assert.Assert(t, ok)
		waited += timer.After
		effects = b.advance(timer.After).handle(traffic.Overdue{Call: first.Call, Attempt: first.Attempt})
	}
	second := b.mustSend(effects)
	assert.Assert(t, waited > usualWork && waited < longWork/2, "sent after %v", waited)
	_, delivered := findEffect[traffic.Deliver](b.endAttempt(second, successOutcome()))
	assert.Assert(t, delivered)
}

// A request that must not run twice is never sent a second time, however long it takes.
func TestNoSecondAttemptOfOnceOnlyWork(t *testing.T) {
	b := newUnevenBench(t, "/order/1")
	_, effects := b.request("/order/1", "7")
	first := b.mustSend(effects)
	for range 20 {
		timer, ok := findEffect[traffic.StartOverdueTimer](effects)
		assert.Assert(t, ok)
		effects = b.advance(timer.After).handle(traffic.Overdue{Call: first.Call, Attempt: first.Attempt})
		_, sent := findEffect[traffic.Send](effects)
		assert.Assert(t, !sent)
	}
}

// A second attempt is not started if it would not end in time either.
func TestNoSecondAttemptThatComesTooLate(t *testing.T) {
	late := prospect{remaining: time.Minute, fresh: 300 * time.Millisecond, deadline: 200 * time.Millisecond, free: true}
	assert.Assert(t, !late.pays())
	late.deadline = 400 * time.Millisecond
	assert.Assert(t, late.pays())
}

// A long response of a route on which some work takes long says little of its server.
func TestLongWorkIsNoSlowServer(t *testing.T) {
	b := newUnevenBench(t, "/look/1")
	_, effects := b.request("/look/1", "7")
	send := b.mustSend(effects)
	b.endAfter(send, longWork)
	assert.Assert(t, b.slowdownOf(b.upstreams[send.Upstream.ID]) < 1.5)

	even := newReadyBench(t, server("s1", "a1"), server("s2", "a1"))
	for range 200 {
		_, effects := even.request("/look/1", "7")
		even.endAfter(even.mustSend(effects), usualWork)
	}
	_, effects = even.advance(time.Minute).request("/look/1", "7")
	send = even.mustSend(effects)
	even.endAfter(send, longWork)
	assert.Assert(t, even.slowdownOf(even.upstreams[send.Upstream.ID]) > 2, "a slow server is not found out")
}

// Work that is cut off at the deadline again and again ejects no server where it is known to
// take so long, and where its servers are known to be well.
func TestCutWorkEjectsNoServer(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"))
	cut := func() {
		_, effects := b.request("/order/1", "7")
		send := b.mustSend(effects)
		b.advance(send.Deadline.Sub(b.now))
		b.endAttempt(send, traffic.Outcome{Fate: traffic.Unknown, Err: context.DeadlineExceeded})
	}
	for range 10 {
		for range 20 {
			_, effects := b.request("/order/1", "7")
			b.endAfter(b.mustSend(effects), usualWork)
		}
		cut()
	}
	for range 2 {
		cut()
	}
	assert.Assert(t, !b.upstreams["s1"].ejector.Ejected(b.now))
}

// Of two servers with as many requests, the one whose requests are known to take long has
// more work left.
func TestRemainingWorkOfLongRequests(t *testing.T) {
	b := newUnevenBench(t, "/order/1")
	u := b.upstreams["s1"]
	before := b.backlogOf(u)
	_, effects := b.request("/order/1", "7")
	u = b.upstreams[b.mustSend(effects).Upstream.ID]
	usual := b.backlogOf(u)
	b.advance(2 * usualWork).handle(traffic.Ticked{})
	long := b.backlogOf(u)
	assert.Equal(t, before.work, time.Duration(0))
	assert.Equal(t, usual.excess, time.Duration(0))
	assert.Assert(t, long.work > 2*usual.work, "%v and %v", long.work, usual.work)
	assert.Assert(t, long.excess > 2*usualWork)
	c := &call{route: b.routes["order"]}
	usual.requests, long.requests = 8, 8
	assert.Assert(t, b.waitAt(c, u, long) > b.waitAt(c, u, usual))
}
