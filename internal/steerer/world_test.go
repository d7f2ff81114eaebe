package steerer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/model"
	"github.com/yuccathread/yuccathread/internal/timekeeper"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

// testBench drives one Steerer with events at chosen times.
type testBench struct {
	*Steerer
	t        *testing.T
	now      time.Time
	lastCall uint64
}

func settings() traffic.Settings {
	d := func(n time.Duration) model.Duration { return model.Duration{Duration: n} }
	return traffic.Settings{
		Domains: map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"},
		Bounds: traffic.Bounds{
			ReturnWait: d(2 * time.Second), Reconnect: d(4 * time.Second), RetryRatio: 0.2, RetrySlack: 50, ColdFactor: 1.5, ColdSlack: 5,
			LookUpLifetime: d(5 * time.Second), Grace: d(6 * time.Second),
			ShiftCap: 0.15, ShiftWindow: d(2 * time.Second),
		},
	}
}

func policy(version int64) traffic.Policy {
	route := func(name, prefix string, rank int, idempotent bool) traffic.Route {
		return traffic.Route{
			Name: name, Host: "shop.example", Prefix: prefix, Idempotent: idempotent, Rank: rank,
			Timeout: 2 * time.Second, Target: 500 * time.Millisecond, MaxAttempts: 2, Sticky: true,
			Shares: []traffic.Share{{Service: "stock", Weight: 1}},
		}
	}
	return traffic.Policy{
		Version:  version,
		Routes:   []traffic.Route{route("look", "/look/", 1, true), route("order", "/order/", 1, false), route("all", "/", 2, true)},
		Services: map[string]traffic.Service{"stock": {Name: "stock", MaxConnections: 300, ColdPeriod: 3 * time.Second, ColdRate: 9}},
	}
}

func newTestBench(t *testing.T, name, domain string) *testBench {
	t.Helper()
	s := settings()
	b := &testBench{t: t, now: time.Unix(1_800_000_000, 0), Steerer: &Steerer{
		Self:     traffic.Instance{Name: name, Domain: domain, Region: s.Domains[domain], Address: name + ":80"},
		Settings: s,
	}}
	return b
}

func (b *testBench) handle(e traffic.Event) []traffic.Effect {
	b.t.Helper()
	effects := append([]traffic.Effect(nil), b.Reduce(b.now, e)...)
	for _, x := range effects {
		if r, ok := x.(traffic.Record); ok {
			b.checkKeys(r)
		}
	}
	return effects
}

// checkKeys checks that no key of a log line occurs twice, together with those that each
// line of a process has: readers of the line would see one of the two only.
func (b *testBench) checkKeys(r traffic.Record) {
	b.t.Helper()
	seen := map[string]bool{"time": true, "level": true, "msg": true, "instance": true, "failure_domain": true}
	for _, a := range r.Attributes {
		assert.Check(b.t, !seen[a.Key], "%s: the key %s occurs twice", r.Message, a.Key)
		seen[a.Key] = true
	}
}

func (b *testBench) advance(d time.Duration) *testBench {
	b.now = b.now.Add(d)
	return b
}

// join lets the other instances learn of this one, so that it has its shares of bounds.
func (b *testBench) join() {
	b.t.Helper()
	times := timekeeper.Timekeeper{Bounds: b.Settings.Bounds}
	b.handle(traffic.RecordKept{Revision: 1, Lasts: time.Hour})
	b.advance(times.JoinDelay())
}

func server(id, domain string) traffic.Upstream {
	return traffic.Upstream{ID: id, Service: "stock", Address: "10.0.0.1:80", Domain: domain, Slots: 4, Revision: 1}
}

// newReadyBench returns a bench whose Steerer has joined the other instances and has
// served enough requests to have earned its retry budget.
func newReadyBench(t *testing.T, servers ...traffic.Upstream) *testBench {
	t.Helper()
	b := newStartedBench(t, servers...)
	b.join()
	for range 1000 {
		b.retryBudget("stock").Deposit()
	}
	return b
}

// newStartedBench returns a bench whose Steerer has a policy, the given servers and its
// own instance record, and is ready for callers.
func newStartedBench(t *testing.T, servers ...traffic.Upstream) *testBench {
	t.Helper()
	b := newTestBench(t, "front-1", "a1")
	b.handle(traffic.PolicySeen{Policy: policy(1)})
	ids := make(map[string]bool)
	for _, u := range servers {
		b.handle(traffic.UpstreamSeen{Upstream: u})
		ids[u.ID] = true
	}
	b.handle(traffic.UpstreamsListed{IDs: ids})
	b.handle(traffic.InstanceSeen{Instance: b.Self})
	b.handle(traffic.InstancesListed{Names: map[string]bool{b.Self.Name: true}})
	b.handle(traffic.EvacuationsListed{})
	b.handle(traffic.ServingStarted{})
	return b
}

// request sends a caller's request to the Steerer and returns the call's number and
// the effects.
func (b *testBench) request(path, object string) (uint64, []traffic.Effect) {
	b.lastCall++
	return b.lastCall, b.handle(traffic.Arrived{Call: b.lastCall, Read: b.now, Request: traffic.Request{
		ID: fmt.Sprint(b.lastCall), Host: "shop.example", HostName: "shop.example", Path: path, Object: object, Limit: 4 * time.Second,
	}})
}

func findEffect[T traffic.Effect](effects []traffic.Effect) (T, bool) {
	for _, x := range effects {
		if e, ok := x.(T); ok {
			return e, true
		}
	}
	var zero T
	return zero, false
}

func (b *testBench) mustSend(effects []traffic.Effect) traffic.Send {
	b.t.Helper()
	send, ok := findEffect[traffic.Send](effects)
	assert.Assert(b.t, ok, "no attempt was sent: %v", effects)
	return send
}

func (b *testBench) mustRefuse(effects []traffic.Effect) traffic.Refuse {
	b.t.Helper()
	refusal, ok := findEffect[traffic.Refuse](effects)
	assert.Assert(b.t, ok, "no refusal: %v", effects)
	return refusal
}

func successOutcome() traffic.Outcome {
	return traffic.Outcome{Fate: traffic.Ran, Took: 100 * time.Millisecond, Reply: traffic.Reply{Status: 200, Signed: true}}
}

func rejectedOutcome() traffic.Outcome {
	return traffic.Outcome{Fate: traffic.NotRun, Reply: traffic.Reply{Status: 503, NotRun: true}}
}

func (b *testBench) endAttempt(send traffic.Send, o traffic.Outcome) []traffic.Effect {
	return b.handle(traffic.Ended{Call: send.Call, Attempt: send.Attempt, Outcome: o})
}
