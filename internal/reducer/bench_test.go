package reducer_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
	"github.com/yuccathread/yuccathread/internal/reducer"
)

var startTime = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// fleetSize is the size of the fleet in a test or benchmark.
type fleetSize struct {
	domains, siblings, servers, kinds int
}

func configuration(s fleetSize) model.Configuration {
	c := model.Configuration{
		Ranks:    []model.Rank{{Name: "urgent"}, {Name: "normal", Floor: 0.3}},
		Services: []model.Service{{Name: "stock", SlotsPerServer: 9, ConnectionsPerServer: 330}},
		LookUp:   model.LookUp{TTL: model.Duration{Duration: 5 * time.Second}, Entries: 3},
		Shift:    model.Shift{Cap: 0.2, Period: model.Duration{Duration: 10 * time.Second}, MinimumRequests: 1},
		Retry:    model.Retry{Fraction: 0.1, Burst: 10, Attempts: 3},
		Recovery: model.Recovery{Failures: 5, Ejection: model.Duration{Duration: time.Second}, MaxEjected: 0.5},
		OnceOnly: model.OnceOnly{
			TicketLifetime: model.Duration{Duration: 10 * time.Minute},
			KeyLifetime:    model.Duration{Duration: 24 * time.Hour}, ClaimsPerSecond: 20,
		},
		Blocks: []model.Block{{Prefix: "127.0.0.0/8", Domain: "d0"}},
	}
	regions := max(1, s.domains/3)
	for i := range regions {
		c.Regions = append(c.Regions, model.Region{Name: fmt.Sprintf("r%d", i)})
	}
	for i := range s.domains {
		r := &c.Regions[i%regions]
		r.Domains = append(r.Domains, fmt.Sprintf("d%d", i))
	}
	for i := range s.kinds {
		c.Kinds = append(c.Kinds, model.Kind{
			Name: fmt.Sprintf("k%d", i), Service: "stock", Rank: "normal", Regions: []string{model.HomeRegion},
			Deadline: model.Duration{Duration: time.Second}, QueueLimit: 400, MaxBodyBytes: 1 << 16,
		})
	}
	return c
}

func instance(domain, number int) model.Instance {
	return model.Instance{
		Name: fmt.Sprintf("d%d-%d", domain, number), Domain: fmt.Sprintf("d%d", domain), Region: "r0",
		Incarnation: "i", Address: "127.0.0.1:8080", PeerAddress: "127.0.0.1:8180",
	}
}

// newReducer returns a reducer that owns servers and has received gossip from a
// fleet.
func newReducer(s fleetSize) (*reducer.Reducer, time.Time) {
	r := &reducer.Reducer{Self: instance(0, 0), StopLimit: time.Second}
	now := startTime
	r.Reduce(now, message.Ticked{})
	r.Reduce(now, message.ConfigurationReceived{Head: model.Head{Change: model.Change{Version: 1}}, Configuration: configuration(s)})
	now = now.Add(time.Second)
	r.Reduce(now, message.Ticked{})
	now = now.Add(time.Second)
	table := model.Table{Revision: 1, Domain: "d0", Members: []model.Instance{r.Self}}
	for i := range s.servers {
		table.Assignments = append(table.Assignments, model.Assignment{
			Server: model.Server{Name: fmt.Sprintf("s%d", i), Service: "stock", Domain: "d0", Address: "127.0.0.1:7100"},
			Owner:  r.Self.Name, OwnerIncarnation: "i", Revision: 1,
		})
	}
	r.Reduce(now, message.TableRead{Table: table, StoreRevision: 1, StartedAt: now})
	r.Reduce(now, message.GossipReceived{Gossip: fleetGossip(s, now)})
	return r, now
}

// fleetGossip returns gossip that describes a whole fleet.
func fleetGossip(s fleetSize, now time.Time) model.Gossip {
	g := model.Gossip{From: instance(0, 1)}
	pool := []model.Pool{{Service: "stock", Slots: 9, Waits: make([]time.Duration, 2)}}
	for i := 1; i < s.siblings; i++ {
		g.Digests = append(g.Digests, model.Digest{
			Instance: instance(0, i), Sequence: uint64(now.UnixMilli()), Ready: true, ConfigurationVersion: 1,
			TableRevision: 1, Pools: pool,
		})
	}
	for i := 1; i < s.domains; i++ {
		summary := model.Summary{Domain: fmt.Sprintf("d%d", i), Sequence: uint64(now.UnixMilli()), OldestVersion: 1}
		for j := range 4 {
			summary.Identities = append(summary.Identities, instance(i, j))
			summary.States = append(summary.States, model.MemberState{Pools: pool})
		}
		g.Summaries = append(g.Summaries, summary)
	}
	return g
}

var currentFleet = fleetSize{domains: 6, siblings: 2, servers: 6, kinds: 6}

// futureFleet is the size expected in two years, with the servers of 190 sites.
var futureFleet = fleetSize{domains: 33, siblings: 22, servers: 12, kinds: 40}

func bothSizes(b *testing.B, run func(*testing.B, fleetSize)) {
	b.Run("today", func(b *testing.B) { run(b, currentFleet) })
	b.Run("future", func(b *testing.B) { run(b, futureFleet) })
}

// BenchmarkRequest measures a request from arrival to answer on a server of the
// instance.
func BenchmarkRequest(b *testing.B) {
	bothSizes(b, func(b *testing.B, s fleetSize) {
		r, now := newReducer(s)
		ids := make([]string, 1024)
		for i := range ids {
			ids[i] = fmt.Sprintf("request-%d", i)
		}
		result := model.Result{Outcome: model.Ran, Code: model.CodeOK, Status: 200, Server: "s0"}
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			id := ids[i%len(ids)]
			r.Reduce(now, message.Arrived{Request: model.Request{ID: id, Kind: "k0", Home: "d0", BodyBytes: 100}})
			r.Reduce(now, message.DispatchDone{ID: id, Attempt: 1, Result: result})
		}
	})
}

// BenchmarkLookUp measures a look-up in the reducer.
func BenchmarkLookUp(b *testing.B) {
	bothSizes(b, func(b *testing.B, s fleetSize) {
		r, now := newReducer(s)
		client := netip.MustParseAddr("127.0.0.1")
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			r.Reduce(now, message.LookUpRequested{ID: "l", Kind: "k0", Client: client, Random: uint64(i)})
		}
	})
}

// BenchmarkGossip measures the answer to a gossip request from a sibling that
// has no digests yet.
func BenchmarkGossip(b *testing.B) {
	bothSizes(b, func(b *testing.B, s fleetSize) {
		r, now := newReducer(s)
		g := model.Gossip{From: instance(0, 1)}
		b.ReportAllocs()
		for b.Loop() {
			r.Reduce(now, message.GossipReceived{Gossip: g})
		}
	})
}

// BenchmarkTick measures a tick, including the periodic work that is due.
func BenchmarkTick(b *testing.B) {
	bothSizes(b, func(b *testing.B, s fleetSize) {
		r, now := newReducer(s)
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			now = now.Add(100 * time.Millisecond)
			r.Reduce(now, message.Ticked{Random: uint64(i)})
		}
	})
}
