package steerer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/model"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

// bench drives one Steerer through events at chosen times.
type bench struct {
	*Steerer
	t    *testing.T
	now  time.Time
	last uint64
}

func settings() traffic.Settings {
	d := func(n time.Duration) model.Duration { return model.Duration{Duration: n} }
	return traffic.Settings{
		Domains: map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"},
		Bounds: traffic.Bounds{
			ReturnWait: d(2 * time.Second), RetryRatio: 0.2, RetrySlack: 50, ColdFactor: 1.5, ColdSlack: 5,
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

func newBench(t *testing.T, name, domain string) *bench {
	t.Helper()
	s := settings()
	b := &bench{t: t, now: time.Unix(1_800_000_000, 0), Steerer: &Steerer{
		Self:     traffic.Instance{Name: name, Domain: domain, Region: s.Domains[domain], Address: name + ":80"},
		Settings: s,
	}}
	return b
}

func (b *bench) do(e traffic.Event) []traffic.Effect {
	b.t.Helper()
	return append([]traffic.Effect(nil), b.Reduce(b.now, e)...)
}

func (b *bench) after(d time.Duration) *bench {
	b.now = b.now.Add(d)
	return b
}

func server(id, domain string) traffic.Upstream {
	return traffic.Upstream{ID: id, Service: "stock", Address: "10.0.0.1:80", Domain: domain, Slots: 4, Revision: 1}
}

// informed returns a bench that knows a policy, servers and itself.
func informed(t *testing.T, servers ...traffic.Upstream) *bench {
	t.Helper()
	b := newBench(t, "front-1", "a1")
	b.do(traffic.PolicySeen{Policy: policy(1)})
	ids := make(map[string]bool)
	for _, u := range servers {
		b.do(traffic.UpstreamSeen{Upstream: u})
		ids[u.ID] = true
	}
	b.do(traffic.UpstreamsListed{IDs: ids})
	b.do(traffic.InstanceSeen{Instance: b.Self})
	b.do(traffic.InstancesListed{Names: map[string]bool{b.Self.Name: true}})
	b.do(traffic.EvacuationsListed{})
	b.do(traffic.ServingStarted{})
	return b
}

// ask sends a request and returns its number and the effects.
func (b *bench) ask(path, object string) (uint64, []traffic.Effect) {
	b.last++
	return b.last, b.do(traffic.Arrived{Call: b.last, Read: b.now, Request: traffic.Request{
		ID: fmt.Sprint(b.last), Host: "shop.example", Path: path, Object: object, Limit: 4 * time.Second,
	}})
}

func find[T traffic.Effect](effects []traffic.Effect) (T, bool) {
	for _, x := range effects {
		if e, ok := x.(T); ok {
			return e, true
		}
	}
	var none T
	return none, false
}

func (b *bench) mustSend(effects []traffic.Effect) traffic.Send {
	b.t.Helper()
	send, ok := find[traffic.Send](effects)
	assert.Assert(b.t, ok, "nothing was sent: %v", effects)
	return send
}

func (b *bench) mustAnswer(effects []traffic.Effect) traffic.Answer {
	b.t.Helper()
	answer, ok := find[traffic.Answer](effects)
	assert.Assert(b.t, ok, "no answer: %v", effects)
	return answer
}

func good() traffic.Outcome {
	return traffic.Outcome{Fate: traffic.Ran, Took: 100 * time.Millisecond, Reply: traffic.Reply{Status: 200, Signed: true}}
}

func shed() traffic.Outcome {
	return traffic.Outcome{Fate: traffic.NotRun, Reply: traffic.Reply{Status: 503, NotRun: true}}
}

func (b *bench) end(send traffic.Send, o traffic.Outcome) []traffic.Effect {
	return b.do(traffic.Ended{Call: send.Call, Attempt: send.Attempt, Outcome: o})
}
