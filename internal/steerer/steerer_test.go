package steerer

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

var errReset = errors.New("reset")

func TestUnknownFateOfOnceOnlyWork(t *testing.T) {
	b := informed(t, server("s1", "a1"), server("s2", "a2"))
	_, effects := b.ask("/order/1", "7")
	effects = b.end(b.mustSend(effects), traffic.Outcome{Fate: traffic.Unknown, Err: errReset})
	_, again := find[traffic.Send](effects)
	assert.Assert(t, !again, "work that may have run was sent again")
	answer := b.mustAnswer(effects)
	assert.Equal(t, answer.Fate, traffic.Unknown)
	assert.Equal(t, answer.RetryAfter, time.Duration(0))
}

func TestNotRunAfterUnknownIsNotToldAsNotRun(t *testing.T) {
	b := informed(t, server("s1", "a1"), server("s2", "a2"))
	_, effects := b.ask("/look/1", "7")
	effects = b.end(b.mustSend(effects), traffic.Outcome{Fate: traffic.Unknown, Err: errReset})
	effects = b.end(b.mustSend(effects), shed())
	assert.Equal(t, b.mustAnswer(effects).Fate, traffic.Unknown)
}

func TestIdempotentWorkGoesElsewhere(t *testing.T) {
	b := informed(t, server("s1", "a1"), server("s2", "a2"))
	_, effects := b.ask("/look/1", "7")
	first := b.mustSend(effects)
	second := b.mustSend(b.end(first, traffic.Outcome{Fate: traffic.Unknown, Err: errReset}))
	assert.Assert(t, first.Upstream.ID != second.Upstream.ID)
	delivered, ok := find[traffic.Deliver](b.end(second, good()))
	assert.Assert(t, ok)
	assert.Equal(t, delivered.Reply.Status, 200)
}

func TestAttemptsAreBounded(t *testing.T) {
	b := informed(t, server("s1", "a1"), server("s2", "a2"), server("s3", "b1"), server("s4", "b2"))
	_, effects := b.ask("/look/1", "7")
	sends := 0
	for {
		send, ok := find[traffic.Send](effects)
		if !ok {
			break
		}
		sends++
		effects = b.end(send, traffic.Outcome{Fate: traffic.Unknown, Err: errReset})
	}
	assert.Equal(t, sends, 2)
}

// Every instance keeps its own part of the shared budget of repeats.
func TestRepeatsStayWithinTheBudget(t *testing.T) {
	var servers []traffic.Upstream
	for i := range 20 {
		servers = append(servers, server(fmt.Sprintf("s%d", i), "a1"))
	}
	b := informed(t, servers...)
	for i := range 9 {
		b.do(traffic.InstanceSeen{Instance: traffic.Instance{Name: fmt.Sprintf("other-%d", i), Region: "a"}})
	}
	const requests = 400
	repeats := 0
	for i := range requests {
		_, effects := b.after(10*time.Millisecond).ask("/look/1", fmt.Sprint(i))
		for {
			send, ok := find[traffic.Send](effects)
			if !ok {
				break
			}
			if send.Attempt > 1 {
				repeats++
			}
			effects = b.end(send, shed())
		}
	}
	bound := int(0.2*requests + 50.0/10)
	assert.Assert(t, repeats <= bound, "%d repeats of at most %d", repeats, bound)
	assert.Assert(t, repeats > requests/10, "only %d repeats", repeats)
}

func TestFinalTimeIsTheEarlierOne(t *testing.T) {
	b := informed(t, server("s1", "a1"))
	_, effects := b.ask("/look/1", "7")
	admit, ok := find[traffic.Admit](effects)
	assert.Assert(t, ok)
	assert.Equal(t, admit.Until.Sub(b.now), 2*time.Second)
	assert.Equal(t, b.mustSend(effects).Deadline, admit.Until)
	number := admit.Call
	effects = b.after(2 * time.Second).do(traffic.Expired{Call: number})
	assert.Equal(t, b.mustAnswer(effects).Fate, traffic.Unknown)
	_, cancelled := find[traffic.Cancel](effects)
	assert.Assert(t, cancelled)
}

func TestRoutes(t *testing.T) {
	b := informed(t, server("s1", "a1"))
	assert.Equal(t, b.match("shop.example", "/look/x").Name, "look")
	assert.Equal(t, b.match("SHOP.example", "/lookout").Name, "all")
	assert.Assert(t, b.match("other.example", "/look/x") == nil)
	b.last++
	effects := b.do(traffic.Arrived{Call: b.last, Read: b.now, Request: traffic.Request{Host: "other.example", Path: "/"}})
	assert.Equal(t, b.mustAnswer(effects).Reason, traffic.NoRoute)
}

func TestWithoutAPolicyNothingIsDenied(t *testing.T) {
	b := newBench(t, "front-1", "a1")
	_, effects := b.ask("/look/1", "7")
	answer := b.mustAnswer(effects)
	assert.Equal(t, answer.Reason, traffic.NoPolicy)
	assert.Equal(t, answer.Fate, traffic.NotRun)
	assert.Assert(t, !b.Ready())
}

func TestOlderPolicyIsNeverTakenBack(t *testing.T) {
	b := informed(t, server("s1", "a1"))
	b.do(traffic.PolicySeen{Policy: policy(9)})
	b.do(traffic.PolicySeen{Policy: policy(4)})
	assert.Equal(t, b.Version(), int64(9))
}

func TestHomesBind(t *testing.T) {
	b := informed(t, server("s1", "a1"), server("s2", "b1"))
	p := policy(2)
	p.Routes[0].Homes = []string{"b"}
	b.do(traffic.PolicySeen{Policy: p})
	for i := range 20 {
		_, effects := b.ask("/look/1", fmt.Sprint(i))
		send := b.mustSend(effects)
		assert.Equal(t, send.Upstream.ID, "s2")
		b.end(send, good())
	}
}

func TestCallerLeft(t *testing.T) {
	b := informed(t, server("s1", "a1"))
	number, _ := b.ask("/look/1", "7")
	_, cancelled := find[traffic.Cancel](b.do(traffic.Left{Call: number}))
	assert.Assert(t, cancelled)
	number, effects := b.ask("/order/1", "7")
	send := b.mustSend(effects)
	_, cancelled = find[traffic.Cancel](b.do(traffic.Left{Call: number}))
	assert.Assert(t, !cancelled, "once-only work was cut off")
	effects = b.end(send, good())
	_, delivered := find[traffic.Deliver](effects)
	assert.Assert(t, !delivered)
}

func TestReusedAddress(t *testing.T) {
	b := informed(t, server("s1", "a1"), server("s2", "a2"))
	_, effects := b.ask("/order/1", "7")
	first := b.mustSend(effects)
	misdirected := traffic.Outcome{Fate: traffic.NotRun, Reply: traffic.Reply{Status: 421, NotRun: true, Misdirected: true}}
	second := b.mustSend(b.end(first, misdirected))
	assert.Assert(t, first.Upstream.ID != second.Upstream.ID)
	b.end(second, good())
	for i := range 10 {
		_, effects = b.ask("/look/1", fmt.Sprint(i))
		send := b.mustSend(effects)
		assert.Equal(t, send.Upstream.ID, second.Upstream.ID)
		b.end(send, good())
	}
}

func TestUnsignedSuccessIsNoSuccess(t *testing.T) {
	b := informed(t, server("s1", "a1"))
	_, effects := b.ask("/order/1", "7")
	o := good()
	o.Reply.Signed = false
	assert.Equal(t, b.mustAnswer(b.end(b.mustSend(effects), o)).Fate, traffic.Unknown)
}

func TestSplitFollowsItsWeights(t *testing.T) {
	other := server("t1", "a1")
	other.Service = "depot"
	b := informed(t, server("s1", "a1"), other)
	p := policy(2)
	p.Routes[0].Shares = []traffic.Share{{Service: "stock", Weight: 90}, {Service: "depot", Weight: 10}}
	p.Services["depot"] = traffic.Service{Name: "depot"}
	b.do(traffic.PolicySeen{Policy: p})
	counts := make(map[string]int)
	for i := range 200 {
		_, effects := b.ask("/look/1", fmt.Sprint(i))
		send := b.mustSend(effects)
		counts[send.Upstream.Service]++
		b.end(send, good())
	}
	assert.Equal(t, counts["depot"], 20)
}

func TestOverdueAnswer(t *testing.T) {
	overdue := func(path string) (*bench, traffic.Send, []traffic.Effect) {
		b := informed(t, server("s1", "a1"), server("s2", "a2"))
		_, effects := b.ask(path, "7")
		first := b.mustSend(effects)
		watch, ok := find[traffic.Watch](effects)
		assert.Assert(t, ok)
		return b, first, b.after(watch.After).do(traffic.Overdue{Call: watch.Call, Attempt: watch.Attempt})
	}
	b, first, effects := overdue("/look/1")
	second := b.mustSend(effects)
	assert.Assert(t, first.Upstream.ID != second.Upstream.ID)
	effects = b.end(second, good())
	_, delivered := find[traffic.Deliver](effects)
	assert.Assert(t, delivered)
	cancel, cancelled := find[traffic.Cancel](effects)
	assert.Assert(t, cancelled)
	assert.Equal(t, cancel.Attempt, first.Attempt)
	effects = b.end(first, good())
	_, delivered = find[traffic.Deliver](effects)
	assert.Assert(t, !delivered, "a second answer was delivered")
	assert.Equal(t, b.InFlight(), 0)

	_, _, effects = overdue("/order/1")
	_, again := find[traffic.Send](effects)
	assert.Assert(t, !again, "once-only work was sent to a second server")
}

// A failed attempt does not end a request while another may still answer it.
func TestOneOfTwoAttemptsFails(t *testing.T) {
	b := informed(t, server("s1", "a1"), server("s2", "a2"))
	_, effects := b.ask("/look/1", "7")
	first := b.mustSend(effects)
	second := b.mustSend(b.after(2 * time.Second / 2).do(traffic.Overdue{Call: first.Call, Attempt: first.Attempt}))
	effects = b.end(second, traffic.Outcome{Fate: traffic.Unknown, Err: errReset})
	_, answered := find[traffic.Answer](effects)
	assert.Assert(t, !answered)
	_, delivered := find[traffic.Deliver](b.end(first, good()))
	assert.Assert(t, delivered)
}

// A route's target says nothing of how long its work takes: a request is
// hopeless only by what was seen.
func TestTargetBeyondTheTimeout(t *testing.T) {
	b := informed(t, server("s1", "a1"))
	p := policy(2)
	p.Routes[0].Target = 10 * time.Second
	p.Routes[0].Name = "new"
	b.do(traffic.PolicySeen{Policy: p})
	for i := range 20 {
		_, effects := b.ask("/look/1", fmt.Sprint(i))
		b.end(b.mustSend(effects), good())
	}
}

// What a server refuses for what the request is goes back to the caller.
func TestFaultyRequestIsNotSentOn(t *testing.T) {
	b := informed(t, server("s1", "a1"), server("s2", "a2"))
	_, effects := b.ask("/look/1", "7")
	refused := traffic.Outcome{Fate: traffic.NotRun, Reply: traffic.Reply{Status: 400, NotRun: true}}
	effects = b.end(b.mustSend(effects), refused)
	delivered, ok := find[traffic.Deliver](effects)
	assert.Assert(t, ok)
	assert.Equal(t, delivered.Reply.Status, 400)
	_, again := find[traffic.Send](effects)
	assert.Assert(t, !again)
}

// A status that promises that nothing has run is passed on only where the
// server has said so.
func TestUndeclaredRefusalIsNoPromise(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		b := informed(t, server("s1", "a1"), server("s2", "a2"))
		_, effects := b.ask("/order/1", "7")
		effects = b.end(b.mustSend(effects), traffic.Outcome{Fate: traffic.Ran, Reply: traffic.Reply{Status: status, Signed: true}})
		_, delivered := find[traffic.Deliver](effects)
		assert.Assert(t, !delivered, status)
		assert.Equal(t, b.mustAnswer(effects).Fate, traffic.Unknown)
	}
}

// A second attempt is made while its server may still answer in time, even if
// it would have to learn the object: the first may never answer.
func TestSecondAttemptAtAServerWithoutTheObject(t *testing.T) {
	b := informed(t, server("s1", "a1"), server("s2", "a2"))
	for range 20 {
		_, effects := b.after(10*time.Millisecond).ask("/look/1", "7")
		b.end(b.mustSend(effects), good())
	}
	_, effects := b.ask("/look/1", "7")
	first := b.mustSend(effects)
	// 400 ms are left: less than an unknown object takes, more than a known one.
	effects = b.after(1600 * time.Millisecond).do(traffic.Overdue{Call: first.Call, Attempt: first.Attempt})
	second := b.mustSend(effects)
	assert.Assert(t, second.Upstream.ID != first.Upstream.ID)
}

// Opening a connection to another region takes as long as the way there and
// back: one is kept ready where that would make the answer late.
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
			b := informed(t, server("s1", x.domain))
			p := policy(2)
			p.Routes[0].Name = "tight"
			p.Routes[0].Target = x.target
			b.do(traffic.PolicySeen{Policy: p})
			_, effects := b.ask("/look/1", "7")
			assert.Equal(t, b.mustSend(effects).Spare, x.spare)
		})
	}
}
