package steerer

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

var errReset = errors.New("reset")

func TestUnknownFateOfOnceOnlyWork(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"), server("s2", "a2"))
	_, effects := b.request("/order/1", "7")
	effects = b.endAttempt(b.mustSend(effects), traffic.Outcome{Fate: traffic.Unknown, Err: errReset})
	_, again := findEffect[traffic.Send](effects)
	assert.Assert(t, !again, "a request that must not run twice and may have run was sent again")
	refusal := b.mustRefuse(effects)
	assert.Equal(t, refusal.Fate, traffic.Unknown)
	assert.Equal(t, refusal.RetryAfter, time.Duration(0))
}

func TestUnknownFateOutweighsLaterNotRun(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"), server("s2", "a2"))
	_, effects := b.request("/look/1", "7")
	effects = b.endAttempt(b.mustSend(effects), traffic.Outcome{Fate: traffic.Unknown, Err: errReset})
	effects = b.endAttempt(b.mustSend(effects), rejectedOutcome())
	assert.Equal(t, b.mustRefuse(effects).Fate, traffic.Unknown)
}

func TestIdempotentWorkGoesElsewhere(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"), server("s2", "a2"))
	_, effects := b.request("/look/1", "7")
	first := b.mustSend(effects)
	second := b.mustSend(b.endAttempt(first, traffic.Outcome{Fate: traffic.Unknown, Err: errReset}))
	assert.Assert(t, first.Upstream.ID != second.Upstream.ID)
	delivered, ok := findEffect[traffic.Deliver](b.endAttempt(second, successOutcome()))
	assert.Assert(t, ok)
	assert.Equal(t, delivered.Reply.Status, 200)
}

func TestAttemptsAreBounded(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"), server("s2", "a2"), server("s3", "b1"), server("s4", "b2"))
	_, effects := b.request("/look/1", "7")
	sends := 0
	for {
		send, ok := findEffect[traffic.Send](effects)
		if !ok {
			break
		}
		sends++
		effects = b.endAttempt(send, traffic.Outcome{Fate: traffic.Unknown, Err: errReset})
	}
	assert.Equal(t, sends, 2)
}

// Every instance keeps to its own share of the retry budget.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	var servers []traffic.Upstream
	for i := range 20 {
		servers = append(servers, server(fmt.Sprintf("s%d", i), "a1"))
	}
	b := newReadyBench(t, servers...)
	for i := range 9 {
		b.handle(traffic.InstanceSeen{Instance: traffic.Instance{Name: fmt.Sprintf("other-%d", i), Region: "a"}})
	}
	const requests = 400
	retries := 0
	for i := range requests {
		_, effects := b.advance(10*time.Millisecond).request("/look/1", fmt.Sprint(i))
		for {
			send, ok := findEffect[traffic.Send](effects)
			if !ok {
				break
			}
			if send.Attempt > 1 {
				retries++
			}
			effects = b.endAttempt(send, rejectedOutcome())
		}
	}
	bound := int(0.2*requests + 50.0/10)
	assert.Assert(t, retries <= bound, "%d retries, at most %d allowed", retries, bound)
	assert.Assert(t, retries > requests/10, "only %d retries", retries)
}

func TestEarlierDeadlineApplies(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"))
	_, effects := b.request("/look/1", "7")
	admit, ok := findEffect[traffic.Admit](effects)
	assert.Assert(t, ok)
	assert.Equal(t, admit.Until.Sub(b.now), 2*time.Second)
	send := b.mustSend(effects)
	assert.Equal(t, send.Deadline, admit.Until)
	effects = b.advance(2 * time.Second).handle(traffic.Expired{Call: admit.Call})
	_, cancelled := findEffect[traffic.Cancel](effects)
	assert.Assert(t, cancelled)
	effects = b.endAttempt(send, traffic.Outcome{Fate: traffic.Unknown, Err: context.Canceled})
	assert.Equal(t, b.mustRefuse(effects).Fate, traffic.Unknown)
}

func TestRoutes(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"))
	assert.Equal(t, b.match("shop.example", "/look/x").Name, "look")
	assert.Equal(t, b.match("SHOP.example", "/lookout").Name, "all")
	assert.Assert(t, b.match("other.example", "/look/x") == nil)
	b.lastCall++
	effects := b.handle(traffic.Arrived{Call: b.lastCall, Read: b.now, Request: traffic.Request{Host: "other.example", Path: "/"}})
	assert.Equal(t, b.mustRefuse(effects).Reason, traffic.NoRoute)
}

func TestRequestWithoutAPolicyIsRefusedAsNotRun(t *testing.T) {
	b := newTestBench(t, "front-1", "a1")
	_, effects := b.request("/look/1", "7")
	refusal := b.mustRefuse(effects)
	assert.Equal(t, refusal.Reason, traffic.NoPolicy)
	assert.Equal(t, refusal.Fate, traffic.NotRun)
	assert.Assert(t, !b.Ready())
}

func TestOlderPolicyIsIgnored(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"))
	b.handle(traffic.PolicySeen{Policy: policy(9)})
	b.handle(traffic.PolicySeen{Policy: policy(4)})
	assert.Equal(t, b.Version(), int64(9))
}

func TestHomeRegionsAreEnforced(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"), server("s2", "b1"))
	p := policy(2)
	p.Routes[0].HomeRegions = []string{"b"}
	b.handle(traffic.PolicySeen{Policy: p})
	for i := range 20 {
		_, effects := b.request("/look/1", fmt.Sprint(i))
		send := b.mustSend(effects)
		assert.Equal(t, send.Upstream.ID, "s2")
		b.endAttempt(send, successOutcome())
	}
}

func TestCallerLeft(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"))
	number, _ := b.request("/look/1", "7")
	_, cancelled := findEffect[traffic.Cancel](b.handle(traffic.CallerLeft{Call: number}))
	assert.Assert(t, cancelled)
	number, effects := b.request("/order/1", "7")
	send := b.mustSend(effects)
	_, cancelled = findEffect[traffic.Cancel](b.handle(traffic.CallerLeft{Call: number}))
	assert.Assert(t, !cancelled, "a request that must not run twice was cancelled")
	effects = b.endAttempt(send, successOutcome())
	_, delivered := findEffect[traffic.Deliver](effects)
	assert.Assert(t, !delivered)
}

func TestReusedAddress(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"), server("s2", "a2"))
	_, effects := b.request("/order/1", "7")
	first := b.mustSend(effects)
	misdirected := traffic.Outcome{Fate: traffic.NotRun, Reply: traffic.Reply{Status: 421, NotRun: true, Misdirected: true}}
	second := b.mustSend(b.endAttempt(first, misdirected))
	assert.Assert(t, first.Upstream.ID != second.Upstream.ID)
	b.endAttempt(second, successOutcome())
	for i := range 10 {
		_, effects = b.request("/look/1", fmt.Sprint(i))
		send := b.mustSend(effects)
		assert.Equal(t, send.Upstream.ID, second.Upstream.ID)
		b.endAttempt(send, successOutcome())
	}
}

func TestUnsignedSuccessHasUnknownFate(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"))
	_, effects := b.request("/order/1", "7")
	o := successOutcome()
	o.Reply.Signed = false
	assert.Equal(t, b.mustRefuse(b.endAttempt(b.mustSend(effects), o)).Fate, traffic.Unknown)
}

func TestSplitFollowsItsWeights(t *testing.T) {
	other := server("t1", "a1")
	other.Service = "depot"
	b := newReadyBench(t, server("s1", "a1"), other)
	p := policy(2)
	p.Routes[0].Shares = []traffic.Share{{Service: "stock", Weight: 90}, {Service: "depot", Weight: 10}}
	p.Services["depot"] = traffic.Service{Name: "depot"}
	b.handle(traffic.PolicySeen{Policy: p})
	counts := make(map[string]int)
	for i := range 200 {
		_, effects := b.request("/look/1", fmt.Sprint(i))
		send := b.mustSend(effects)
		counts[send.Upstream.Service]++
		b.endAttempt(send, successOutcome())
	}
	assert.Equal(t, counts["depot"], 20)
}

func TestOverdueAnswer(t *testing.T) {
	overdue := func(path string) (*testBench, traffic.Send, []traffic.Effect) {
		b := newReadyBench(t, server("s1", "a1"), server("s2", "a2"))
		_, effects := b.request(path, "7")
		first := b.mustSend(effects)
		timer, ok := findEffect[traffic.StartOverdueTimer](effects)
		assert.Assert(t, ok)
		return b, first, b.advance(timer.After).handle(traffic.Overdue{Call: timer.Call, Attempt: timer.Attempt})
	}
	b, first, effects := overdue("/look/1")
	second := b.mustSend(effects)
	assert.Assert(t, first.Upstream.ID != second.Upstream.ID)
	effects = b.endAttempt(second, successOutcome())
	_, delivered := findEffect[traffic.Deliver](effects)
	assert.Assert(t, delivered)
	cancel, cancelled := findEffect[traffic.Cancel](effects)
	assert.Assert(t, cancelled)
	assert.Equal(t, cancel.Attempt, first.Attempt)
	effects = b.endAttempt(first, successOutcome())
	_, delivered = findEffect[traffic.Deliver](effects)
	assert.Assert(t, !delivered, "a second response was delivered")
	assert.Equal(t, b.InFlight(), 0)

	_, _, effects = overdue("/order/1")
	_, again := findEffect[traffic.Send](effects)
	assert.Assert(t, !again, "a request that must not run twice was sent to a second server")
}

// A failed attempt must not end a call while another attempt is pending.
func TestOneOfTwoAttemptsFails(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"), server("s2", "a2"))
	_, effects := b.request("/look/1", "7")
	first := b.mustSend(effects)
	second := b.mustSend(b.advance(2 * time.Second / 2).handle(traffic.Overdue{Call: first.Call, Attempt: first.Attempt}))
	effects = b.endAttempt(second, traffic.Outcome{Fate: traffic.Unknown, Err: errReset})
	_, answered := findEffect[traffic.Refuse](effects)
	assert.Assert(t, !answered)
	_, delivered := findEffect[traffic.Deliver](b.endAttempt(first, successOutcome()))
	assert.Assert(t, delivered)
}

// The initial work time comes from the route's target, which may exceed the
// timeout. Requests must not be refused as too slow before there are samples.
func TestTargetBeyondTheTimeout(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"))
	p := policy(2)
	p.Routes[0].Target = 10 * time.Second
	p.Routes[0].Name = "new"
	b.handle(traffic.PolicySeen{Policy: p})
	for i := range 20 {
		_, effects := b.request("/look/1", fmt.Sprint(i))
		b.endAttempt(b.mustSend(effects), successOutcome())
	}
}

// A response that rejects the request itself is delivered to the caller without a
// retry.
func TestRejectedRequestIsNotRetried(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"), server("s2", "a2"))
	_, effects := b.request("/look/1", "7")
	refused := traffic.Outcome{Fate: traffic.NotRun, Reply: traffic.Reply{Status: 400, NotRun: true}}
	effects = b.endAttempt(b.mustSend(effects), refused)
	delivered, ok := findEffect[traffic.Deliver](effects)
	assert.Assert(t, ok)
	assert.Equal(t, delivered.Reply.Status, 400)
	_, again := findEffect[traffic.Send](effects)
	assert.Assert(t, !again)
}

// Callers take some statuses to mean that the request has not run. They are
// delivered only if the server states that too.
func TestUndeclaredRefusalHasUnknownFate(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		b := newReadyBench(t, server("s1", "a1"), server("s2", "a2"))
		_, effects := b.request("/order/1", "7")
		effects = b.endAttempt(b.mustSend(effects), traffic.Outcome{Fate: traffic.Ran, Reply: traffic.Reply{Status: status, Signed: true}})
		_, delivered := findEffect[traffic.Deliver](effects)
		assert.Assert(t, !delivered, status)
		assert.Equal(t, b.mustRefuse(effects).Fate, traffic.Unknown)
	}
}

// A second attempt is made while its server may still respond in time, even if that
// server does not have the object in its cache: the first may never respond.
func TestSecondAttemptAtAServerWithoutTheObject(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"), server("s2", "a2"))
	for range 20 {
		_, effects := b.advance(10*time.Millisecond).request("/look/1", "7")
		b.endAttempt(b.mustSend(effects), successOutcome())
	}
	_, effects := b.request("/look/1", "7")
	first := b.mustSend(effects)
	// 400 ms remain: less than an uncached object takes, more than a cached one.
	effects = b.advance(1600 * time.Millisecond).handle(traffic.Overdue{Call: first.Call, Attempt: first.Attempt})
	second := b.mustSend(effects)
	assert.Assert(t, second.Upstream.ID != first.Upstream.ID)
}

// Opening a connection to another region takes a round trip. An idle one is
// kept ready if that would make the response miss the route's target latency.
func TestSpareConnections(t *testing.T) {
	for _, x := range []struct {
		name   string
		domain string
		target time.Duration
		spare  int
	}{
		{"own region", "a2", 250 * time.Millisecond, 0},
		{"late by a new connection", "b1", 250 * time.Millisecond, 1},
		{"time enough", "b1", time.Second, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			b := newReadyBench(t, server("s1", x.domain))
			p := policy(2)
			p.Routes[0].Name = "tight"
			p.Routes[0].Target = x.target
			b.handle(traffic.PolicySeen{Policy: p})
			_, effects := b.request("/look/1", "7")
			assert.Equal(t, b.mustSend(effects).Spare, x.spare)
		})
	}
}

// A request whose route may no longer be repeated is not, also if it was sent before the change.
func TestRouteThatMayNoLongerBeRepeated(t *testing.T) {
	for _, o := range []traffic.Outcome{
		{Fate: traffic.Unknown, Err: errReset},
		{Fate: traffic.Ran, Reply: traffic.Reply{Status: 500, Signed: true}},
	} {
		b := newReadyBench(t, server("s1", "a1"), server("s2", "a2"))
		_, effects := b.request("/look/1", "7")
		send := b.mustSend(effects)
		p := policy(2)
		p.Routes[0].Idempotent = false
		b.handle(traffic.PolicySeen{Policy: p})
		_, again := findEffect[traffic.Send](b.endAttempt(send, o))
		assert.Assert(t, !again, "the request was sent again after %v", o.Fate)
	}
}
