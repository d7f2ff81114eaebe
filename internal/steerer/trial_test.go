package steerer

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// silence lets two requests to the only server run out of time.
func silence(t *testing.T) *bench {
	t.Helper()
	b := informed(t, server("s1", "a1"))
	var sends []traffic.Send
	for range 2 {
		_, effects := b.ask("/order/1", "7")
		sends = append(sends, b.mustSend(effects))
	}
	b.after(2 * time.Second)
	for _, send := range sends {
		b.do(traffic.Expired{Call: send.Call})
		b.end(send, traffic.Outcome{Fate: traffic.Unknown, Err: context.Canceled})
	}
	return b
}

// A request that runs out of time says as much of its server whether its own
// end or that of its connection is noticed first.
func TestExpiredRequestsEjectTheirServer(t *testing.T) {
	b := silence(t)
	_, effects := b.ask("/look/1", "7")
	assert.Equal(t, b.mustAnswer(effects).Reason, traffic.NoServer)
}

// A request that is sent with little time left says nothing of its server.
func TestShortTimeIsNoFailure(t *testing.T) {
	b := informed(t, server("s1", "a1"))
	for range 2 {
		_, effects := b.ask("/order/1", "7")
		send := b.mustSend(effects)
		b.after(10 * time.Millisecond)
		b.end(send, traffic.Outcome{Fate: traffic.Unknown, Err: context.DeadlineExceeded})
	}
	_, effects := b.ask("/look/1", "7")
	b.mustSend(effects)
}

// A server back in use gets one idempotent request at a time until it answers.
func TestServerOnTrialGetsSingleRequests(t *testing.T) {
	b := silence(t)
	b.after(ejectPeriod + time.Millisecond)
	_, effects := b.ask("/order/1", "7")
	assert.Equal(t, b.mustAnswer(effects).Reason, traffic.NoServer, "once-only work is no trial")
	_, effects = b.ask("/look/1", "7")
	trial := b.mustSend(effects)
	_, effects = b.ask("/look/1", "7")
	assert.Equal(t, b.mustAnswer(effects).Reason, traffic.NoServer, "one trial at a time")
	b.end(trial, good())
	_, effects = b.ask("/order/1", "7")
	b.mustSend(effects)
}

// Where no idempotent request comes, once-only work is the trial in the end.
func TestOnceOnlyWorkIsTheLastTrial(t *testing.T) {
	b := silence(t)
	b.after(ejectPeriod + trialWait + time.Millisecond)
	_, effects := b.ask("/order/1", "7")
	b.mustSend(effects)
}

// A trial whose answer another server has to give has failed.
func TestOvertakenTrialFails(t *testing.T) {
	b := silence(t)
	b.after(ejectPeriod + time.Millisecond)
	_, effects := b.ask("/look/1", "7")
	trial := b.mustSend(effects)
	watch, ok := find[traffic.Watch](effects)
	assert.Assert(t, ok)
	b.do(traffic.UpstreamSeen{Upstream: server("s2", "a2")})
	effects = b.after(watch.After).do(traffic.Overdue{Call: trial.Call, Attempt: trial.Attempt})
	b.end(b.mustSend(effects), good())
	b.end(trial, traffic.Outcome{Fate: traffic.Unknown, Err: context.Canceled})
	assert.Assert(t, b.upstreams["s1"].ejector.Ejected(b.now))
}

// However a server comes to be out of use, one line says so.
func TestEachEjectionIsLogged(t *testing.T) {
	refused := traffic.Outcome{Fate: traffic.NotRun, Unreachable: true, Err: errReset}
	lost := traffic.Outcome{Fate: traffic.Unknown, Err: errReset}
	for name, outcomes := range map[string][]traffic.Outcome{
		"refused":                {refused},
		"refused after one lost": {lost, refused},
		"lost twice":             {lost, lost},
	} {
		t.Run(name, func(t *testing.T) {
			b := informed(t, server("s1", "a1"))
			lines := 0
			for _, o := range outcomes {
				_, effects := b.ask("/order/1", "7")
				for _, x := range b.end(b.mustSend(effects), o) {
					if r, ok := x.(traffic.Record); ok && r.Message == "server ejected" {
						lines++
					}
				}
			}
			assert.Assert(t, b.upstreams["s1"].ejector.Ejected(b.now))
			assert.Equal(t, lines, 1)
		})
	}
}
