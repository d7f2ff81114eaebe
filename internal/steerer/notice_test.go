package steerer

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// sendTo sends requests until one goes to a server and returns that attempt.
func (b *testBench) sendTo(id string) traffic.Send {
	b.t.Helper()
	for n := range 500 {
		_, effects := b.advance(5*time.Millisecond).request("/look/1", string(rune('a'+n%26))+string(rune('a'+n/26)))
		send := b.mustSend(effects)
		if send.Upstream.ID == id {
			return send
		}
		b.endAttempt(send, successOutcome())
	}
	b.t.Fatalf("no request went to %s", id)
	return traffic.Send{}
}

// Guards against requests to a server that has said that it leaves, whatever the store
// says of it afterwards. Only another process ends that.
func TestServerThatSaysItLeavesGetsNothing(t *testing.T) {
	leaving := func(o traffic.Outcome) traffic.Outcome {
		o.Reply.Leaving = true
		return o
	}
	for name, o := range map[string]traffic.Outcome{
		"success": leaving(successOutcome()), "refusal": leaving(rejectedOutcome()),
		"failure": leaving(traffic.Outcome{Fate: traffic.Ran, Reply: traffic.Reply{Status: 500, Signed: true}}),
	} {
		t.Run(name, func(t *testing.T) {
			b := newReadyBench(t, server("s1", "a1"), server("s2", "a2"), server("s3", "b1"))
			b.endAttempt(b.sendTo("s1"), o)
			record := server("s1", "a1")
			for revision, change := range []func(){
				func() {},
				func() { b.handle(traffic.UpstreamSeen{Upstream: record}) },
				func() { b.handle(traffic.UpstreamGone{ID: "s1"}); b.handle(traffic.Ticked{}) },
				func() { b.handle(traffic.UpstreamSeen{Upstream: record}) },
				func() { b.handle(traffic.StoreLost{Err: errReset}) },
				func() { b.handle(traffic.StoreRegained{}) },
				func() { b.handle(traffic.PolicySeen{Policy: policy(2)}) },
				func() { b.handle(traffic.SettingsReloaded{Settings: settings()}) },
				func() { b.advance(time.Minute); b.handle(traffic.Ticked{}) },
				func() {
					b.handle(traffic.UpstreamSeen{Upstream: traffic.Upstream{ID: "s1", Service: "stock", Address: "10.0.0.9:80", Domain: "a1", Slots: 4, Revision: 99}})
				},
			} {
				record.Revision = int64(revision + 2)
				change()
				assert.Equal(t, b.targets("/look/1")["s1"], 0, "after change %d", revision)
				assert.Equal(t, b.targets("/order/1")["s1"], 0, "after change %d", revision)
			}
			record.Started, record.Revision = 7, 100
			b.handle(traffic.UpstreamSeen{Upstream: record})
			b.advance(10 * time.Second)
			assert.Assert(t, b.targets("/look/1")["s1"] > 0, "the next process gets nothing")
		})
	}
	b := newReadyBench(t, server("s1", "a1"), server("s2", "a2"))
	b.endAttempt(b.sendTo("s1"), leaving(traffic.Outcome{Fate: traffic.NotRun, Reply: traffic.Reply{Status: 421, NotRun: true, Misdirected: true}}))
	b.handle(traffic.UpstreamSeen{Upstream: server("s1", "a1")})
	b.advance(10 * time.Second)
	assert.Assert(t, b.targets("/look/1")["s1"] > 0, "another server has said that it leaves")
}

// Guards against requests to a server that has asked for a pause, until its end.
func TestServerThatWantsAPauseGetsNothing(t *testing.T) {
	refusal := func(pause time.Duration) traffic.Outcome {
		o := rejectedOutcome()
		o.Reply.Pause = pause
		return o
	}
	b := newReadyBench(t, server("s1", "a1"), server("s2", "a1"))
	b.endAttempt(b.sendTo("s1"), refusal(20*time.Second))
	assert.Equal(t, b.targets("/look/1")["s1"], 0)
	b.handle(traffic.UpstreamGone{ID: "s1"})
	again := server("s1", "a1")
	again.Revision = 2
	b.handle(traffic.UpstreamSeen{Upstream: again})
	assert.Equal(t, b.targets("/look/1")["s1"], 0, "the pause ended with the record's lapse")
	b.advance(20 * time.Second)
	assert.Assert(t, b.targets("/look/1")["s1"] > 0, "the pause did not end")

	// A shorter one does not end a longer one, and a new process does.
	b.endAttempt(b.sendTo("s1"), refusal(20*time.Second))
	assert.Equal(t, b.targets("/look/1")["s1"], 0)
	again.Started, again.Revision = 9, 3
	b.handle(traffic.UpstreamSeen{Upstream: again})
	b.advance(5 * time.Second)
	assert.Assert(t, b.targets("/look/1")["s1"] > 0)

	// Only a refusal with 503 says so.
	o := successOutcome()
	o.Reply.Pause = time.Hour
	b.endAttempt(b.sendTo("s2"), o)
	assert.Assert(t, b.targets("/look/1")["s2"] > 0)
}

// If all servers want a pause, callers are told when the first one ends, and not all the
// same time.
func TestAllServersWantAPause(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"), server("s2", "a1"))
	for _, id := range []string{"s1", "s2"} {
		o := rejectedOutcome()
		o.Reply.Status, o.Reply.Pause = http.StatusServiceUnavailable, 400*time.Millisecond
		send := b.mustSend(b.handle(traffic.Arrived{Call: 900, Read: b.now, Request: traffic.Request{ID: id, HostName: "shop.example", Path: "/look/1", Object: id, Limit: 9 * time.Second}}))
		effects := b.endAttempt(send, o)
		if again, ok := findEffect[traffic.Send](effects); ok {
			b.endAttempt(again, o)
			break
		}
	}
	times := make(map[time.Duration]bool)
	for range 20 {
		_, effects := b.request("/look/1", "7")
		refusal := b.mustRefuse(effects)
		assert.Equal(t, refusal.Fate, traffic.NotRun)
		assert.Assert(t, refusal.RetryAfter >= 400*time.Millisecond && refusal.RetryAfter <= 600*time.Millisecond, "%v", refusal.RetryAfter)
		times[refusal.RetryAfter] = true
	}
	assert.Assert(t, len(times) > 10, "all callers are told the same time")
}
