package steerer

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// newEjectedServerBench returns a bench whose only server has been ejected,
// since two requests to it reached their deadline without a response.
func newEjectedServerBench(t *testing.T) *testBench {
	t.Helper()
	b := newReadyBench(t, server("s1", "a1"))
	var sends []traffic.Send
	for range 2 {
		_, effects := b.request("/order/1", "7")
		sends = append(sends, b.mustSend(effects))
	}
	b.advance(2 * time.Second)
	for _, send := range sends {
		b.handle(traffic.Expired{Call: send.Call})
		b.endAttempt(send, traffic.Outcome{Fate: traffic.Unknown, Err: context.Canceled})
	}
	return b
}

// A request that reaches its deadline counts as a failure of its server, even if
// the call expires before the end of the attempt is reported.
func TestExpiredRequestsEjectTheirServer(t *testing.T) {
	b := newEjectedServerBench(t)
	_, effects := b.request("/look/1", "7")
	assert.Equal(t, b.mustRefuse(effects).Reason, traffic.NoServer)
}

// An attempt that is cut off before its expected time does not count as a
// failure of its server.
func TestShortDeadlineIsNoFailure(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"))
	for range 2 {
		_, effects := b.request("/order/1", "7")
		send := b.mustSend(effects)
		b.advance(10 * time.Millisecond)
		b.endAttempt(send, traffic.Outcome{Fate: traffic.Unknown, Err: context.DeadlineExceeded})
	}
	_, effects := b.request("/look/1", "7")
	b.mustSend(effects)
}

// After an ejection, a server gets one idempotent request at a time until one
// succeeds.
func TestHalfOpenServerGetsSingleRequests(t *testing.T) {
	b := newEjectedServerBench(t)
	b.advance(ejectPeriod + time.Millisecond)
	_, effects := b.request("/order/1", "7")
	assert.Equal(t, b.mustRefuse(effects).Reason, traffic.NoServer, "a request that must not run twice was sent as the probe")
	_, effects = b.request("/look/1", "7")
	probe := b.mustSend(effects)
	_, effects = b.request("/look/1", "7")
	assert.Equal(t, b.mustRefuse(effects).Reason, traffic.NoServer, "a second probe was sent")
	b.endAttempt(probe, successOutcome())
	_, effects = b.request("/order/1", "7")
	b.mustSend(effects)
}

// If no idempotent request arrives for idempotentProbeWait, a request that must not
// run twice is sent as the probe.
func TestOnceOnlyRequestIsTheLastProbe(t *testing.T) {
	b := newEjectedServerBench(t)
	b.advance(ejectPeriod + idempotentProbeWait + time.Millisecond)
	_, effects := b.request("/order/1", "7")
	b.mustSend(effects)
}

// A probe counts as failed if it is overdue and another server responds first.
func TestOvertakenProbeFails(t *testing.T) {
	b := newEjectedServerBench(t)
	b.advance(ejectPeriod + time.Millisecond)
	_, effects := b.request("/look/1", "7")
	probe := b.mustSend(effects)
	timer, ok := findEffect[traffic.StartOverdueTimer](effects)
	assert.Assert(t, ok)
	b.handle(traffic.UpstreamSeen{Upstream: server("s2", "a2")})
	effects = b.advance(timer.After).handle(traffic.Overdue{Call: probe.Call, Attempt: probe.Attempt})
	b.endAttempt(b.mustSend(effects), successOutcome())
	b.endAttempt(probe, traffic.Outcome{Fate: traffic.Unknown, Err: context.Canceled})
	assert.Assert(t, b.upstreams["s1"].ejector.Ejected(b.now))
}

// Every ejection is logged exactly once, whichever failures cause it.
func TestEachEjectionIsLogged(t *testing.T) {
	refused := traffic.Outcome{Fate: traffic.NotRun, Unreachable: true, Err: errReset}
	lost := traffic.Outcome{Fate: traffic.Unknown, Err: errReset}
	for name, outcomes := range map[string][]traffic.Outcome{
		"refused":                {refused},
		"refused after one lost": {lost, refused},
		"lost twice":             {lost, lost},
	} {
		t.Run(name, func(t *testing.T) {
			b := newReadyBench(t, server("s1", "a1"))
			lines := 0
			for _, o := range outcomes {
				_, effects := b.request("/order/1", "7")
				for _, x := range b.endAttempt(b.mustSend(effects), o) {
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

// A request whose server could not be reached until its deadline has not run, and says
// so; one that may have been sent does not. A response that comes with the deadline is
// delivered.
func TestExpiredRequestTellsWhetherItMayHaveRun(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome traffic.Outcome
		fate    traffic.Fate
	}{
		{"never sent", traffic.Outcome{Fate: traffic.NotRun, Err: context.Canceled}, traffic.NotRun},
		{"sent", traffic.Outcome{Fate: traffic.Unknown, Err: context.Canceled}, traffic.Unknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newReadyBench(t, server("s1", "a1"), server("s2", "a2"))
			number, effects := b.request("/order/1", "7")
			send := b.mustSend(effects)
			effects = b.advance(2 * time.Second).handle(traffic.Expired{Call: number})
			_, ok := findEffect[traffic.Cancel](effects)
			assert.Assert(t, ok)
			_, refused := findEffect[traffic.Refuse](effects)
			assert.Assert(t, !refused, "refused before the outcome was known")
			refusal := b.mustRefuse(b.endAttempt(send, c.outcome))
			assert.Equal(t, refusal.Reason, traffic.TooLate)
			assert.Equal(t, refusal.Fate, c.fate)
			assert.Equal(t, b.InFlight(), 0)
		})
	}
	b := newReadyBench(t, server("s1", "a1"))
	number, effects := b.request("/order/1", "7")
	send := b.mustSend(effects)
	b.advance(2 * time.Second).handle(traffic.Expired{Call: number})
	_, delivered := findEffect[traffic.Deliver](b.endAttempt(send, successOutcome()))
	assert.Assert(t, delivered)
}
