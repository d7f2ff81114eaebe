package session

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
)

const settled = 25 * time.Second

// sumOutcomes counts outcomes of requests due in a part of the session.
func (w *world) sumOutcomes(from, to time.Duration) map[model.Outcome]int {
	sums := make(map[model.Outcome]int)
	for _, r := range w.results {
		if due := r.due.Sub(w.begin); due >= from && due < to {
			sums[r.result.Outcome]++
		}
	}
	return sums
}

func (w *world) elapsed() time.Duration { return w.now.Sub(w.begin) }

// killDomains ends the instances and servers of failure domains.
func (w *world) killDomains(domains ...string) {
	for _, domain := range domains {
		for _, n := range w.nodes {
			if n.Domain == domain {
				w.kill(n.Name)
			}
		}
		for _, u := range w.servers {
			if u.Domain == domain {
				u.down = true
			}
		}
	}
}

func (w *world) reviveDomains(domains ...string) {
	for _, domain := range domains {
		for _, name := range sortedKeys(w.nodes) {
			if w.nodes[name].Domain == domain {
				w.restart(name)
			}
		}
		for _, u := range w.servers {
			if u.Domain == domain {
				u.down = false
			}
		}
	}
}

// TestLeavingServer expects no new work at a server 3 s after the first sign.
func TestLeavingServer(t *testing.T) {
	signs := map[string]func(*world, *upstream){
		"list": func(w *world, u *upstream) {
			l := w.listing[u.Domain]
			servers := append([]model.Server(nil), l.Servers...)
			for i := range servers {
				servers[i].Leaving = servers[i].Leaving || servers[i].Name == u.Name
			}
			l.Servers = servers
			w.listing[u.Domain] = l
		},
		"report":          func(_ *world, u *upstream) { u.drains = true },
		"answers only":    func(_ *world, u *upstream) { u.drains, u.lies = true, true },
		"list, no store":  nil,
		"process is gone": func(_ *world, u *upstream) { u.down = true },
	}
	signs["list, no store"] = func(w *world, u *upstream) {
		w.store.down = true
		signs["list"](w, u)
	}
	for name, sign := range signs {
		t.Run(name, func(t *testing.T) {
			w := load(t, 5, "verhaegen")
			w.run(settled)
			w.stream("stock", 300, 12*time.Second, "gent-a-1", "gent-a-2")
			w.run(2 * time.Second)
			u := w.servers["stock-gent-a-1"]
			assert.Assert(t, u.arrived.After(w.begin.Add(settled)), "the server is in use")
			sign(w, u)
			w.run(3 * time.Second)
			bound := w.now
			w.run(8 * time.Second)
			assert.Assert(t, !u.arrived.After(bound), "work arrived %s after the bound", u.arrived.Sub(bound))
			w.checkTruth()
		})
	}
}

// TestLyingServer lets a server fail everything while it reports to be well.
func TestLyingServer(t *testing.T) {
	w := load(t, 6, "verhaegen")
	w.run(settled)
	w.servers["stock-gent-a-1"].fail = true
	w.servers["stock-gent-a-1"].lies = true
	w.stream("stock", 300, 20*time.Second, "gent-a-1", "gent-a-2")
	w.run(22 * time.Second)
	failed := 0
	for _, r := range w.results {
		if r.result.Status == 500 {
			failed++
		}
	}
	t.Logf("%d of %d answers came from the failing server", failed, len(w.results))
	assert.Assert(t, failed*100 < len(w.results), "%d of %d", failed, len(w.results))
}

// TestPlannedStop stops an instance under load: nothing is cut off, callers
// with cached look-ups are served, look-ups stop naming it.
func TestPlannedStop(t *testing.T) {
	w := load(t, 7, "verhaegen")
	w.run(settled)
	w.stream("stock", 200, 4900*time.Millisecond, "gent-a-1")
	w.stream("order", 0.001, time.Second, "gent-a-1")
	w.run(time.Second)
	stopped := w.now
	w.deliver(w.nodes["gent-a-1"], message.StopRequested{})
	w.run(1500 * time.Millisecond)
	for _, name := range w.names() {
		for _, e := range w.nodes[name].reducer.Reduce(w.now, message.LookedUp{Kind: "stock"}) {
			if answer, ok := e.(message.AnswerLookUp); ok {
				for _, x := range answer.Entries {
					assert.Assert(t, x.Name != "gent-a-1", "%s still names it", name)
				}
			}
		}
	}
	w.run(20 * time.Second)
	assert.Assert(t, w.nodes["gent-a-1"].exited)
	for _, r := range w.results {
		if r.kind == "stock" {
			assert.Equal(t, r.result.Outcome, model.Ran, "%+v, %s after the stop", r, r.due.Sub(stopped))
		}
	}
	w.checkTruth()
}

// TestStoreAway keeps the store down for five minutes, with an instance killed
// and a domain cut off meanwhile: repeatable work and tickets go on, own keys
// end unknown, and nothing runs twice.
func TestStoreAway(t *testing.T) {
	w := load(t, 8, "verhaegen")
	w.run(settled)
	w.store.down = true
	from := w.elapsed()
	w.at(60*time.Second, func() { w.kill("namur-a-2") })
	w.at(90*time.Second, func() { w.restart("namur-a-2") })
	w.stream("stock", 100, 5*time.Minute, "gent-a-1", "gent-b-1", "elsene-a-1")
	for i := range 300 {
		w.at(time.Duration(i)*time.Second, func() {
			n := w.nodes["elsene-b-1"]
			key := fmt.Sprintf("ytk1.%s.%s.%s.%d", n.Name, n.Incarnation, base36(w.now), i)
			w.send("elsene-b-1", "order", key)
			w.send("gent-a-1", "order", key)
			w.send("gent-a-1", "order", fmt.Sprintf("own-%d", i))
		})
	}
	w.run(5*time.Minute + 5*time.Second)
	w.store.down = false
	w.run(10 * time.Second)
	w.checkTruth()
	counts := make(map[string]int)
	for _, r := range w.results {
		if r.due.Sub(w.begin) >= from && r.kind == "stock" || len(r.key) > 10 {
			counts[r.kind+" "+string(r.result.Outcome)]++
		}
	}
	assert.DeepEqual(t, counts, map[string]int{"stock ran": 30_000, "order ran": 600})
	assert.Assert(t, w.nodes["gent-a-1"].reducer.Status().LeaseValid)
}

// TestCutDomain cuts a failure domain off from everything and heals it.
func TestCutDomain(t *testing.T) {
	w := load(t, 9, "verhaegen")
	w.run(settled)
	w.separate("gent-a", true)
	w.stream("stock", 200, time.Minute, "gent-a-1", "gent-a-2")
	w.stream("stock", 200, time.Minute, "gent-b-1", "namur-a-1")
	w.run(30 * time.Second)
	assert.NilError(t, w.patch(1, "while-cut", []byte(`[{"op":"replace","path":"/shift/cap","value":0.3}]`)))
	w.run(32 * time.Second)
	assert.Equal(t, w.nodes["gent-a-1"].reducer.Head().Version, int64(1))
	healed := w.now
	w.separate("gent-a", false)
	for w.nodes["gent-a-1"].reducer.Head().Version != 2 || w.nodes["gent-a-2"].reducer.Head().Version != 2 {
		w.run(tick)
		assert.Assert(t, w.now.Sub(healed) < 12*time.Second)
	}
	t.Logf("in force everywhere %s after the cut healed", w.now.Sub(healed))
	for _, r := range w.results {
		assert.Equal(t, r.result.Outcome, model.Ran, "%+v", r)
	}
	w.checkTruth()
}

// TestOperatorsRace lets ten operators patch one version at a time, with lost
// answers: one wins each time, and what was accepted is in the history.
func TestOperatorsRace(t *testing.T) {
	w := load(t, 10, "verhaegen")
	accepted := 0
	for round := range 20 {
		w.store.lose = round % 3
		won := 0
		for operator := range 10 {
			operations := fmt.Appendf(nil, `[{"op":"replace","path":"/retry/burst","value":%d}]`, operator)
			err := w.patch(int64(1+round), fmt.Sprintf("c%d-%d", round, operator), operations)
			if err == nil {
				won++
				continue
			}
			assert.Assert(t, errors.As(err, new(*model.StaleError)), "%v", err)
		}
		assert.Equal(t, won, 1)
		accepted++
	}
	w.run(settled)
	for _, name := range w.names() {
		assert.Equal(t, w.nodes[name].reducer.Head().Version, int64(1+accepted))
	}
}

// TestTakeoverWaits gives servers to a newcomer while their owner is paused or
// cut off in the moment of the change, under a load that fills every slot.
func TestTakeoverWaits(t *testing.T) {
	for seed := range uint64(6) {
		w := load(t, seed, "verhaegen")
		for _, u := range w.servers {
			u.work = func() time.Duration { return w.jitter(600 * time.Millisecond) }
		}
		w.run(settled)
		w.stream("stock", 300, 40*time.Second, "gent-a-2", "gent-a-1")
		w.kill("gent-a-1")
		w.run(12 * time.Second)
		w.restart("gent-a-1")
		w.run(time.Duration(1000+300*seed) * time.Millisecond)
		w.pause("gent-a-2", 1200*time.Millisecond)
		w.run(12 * time.Second)
		w.pause("gent-a-2", 9*time.Second)
		w.run(20 * time.Second)
		w.checkTruth()
	}
}

// TestKeyAfterIssuerIsGone repeats a ticket whose issuer ran it and died.
func TestKeyAfterIssuerIsGone(t *testing.T) {
	w := load(t, 11, "verhaegen")
	w.run(settled)
	n := w.nodes["gent-a-1"]
	key := fmt.Sprintf("ytk1.%s.%s.%s.1", n.Name, n.Incarnation, base36(w.now))
	w.send("gent-a-1", "order", key)
	w.send("gent-a-1", "order", "own-key")
	w.run(time.Second)
	w.kill("gent-a-1")
	for range 10 {
		w.send("gent-b-1", "order", key)
		w.send("namur-a-1", "order", "own-key")
		w.run(time.Second)
	}
	w.checkTruth()
	assert.Equal(t, w.ranKey[key], 1)
	assert.Equal(t, w.ranKey["own-key"], 1)
	for _, r := range w.results[2:] {
		assert.Assert(t, r.result.Outcome != model.NotRun, "%+v", r)
	}
}

// TestRegionsOfAKind sends work that may run in its home's region only to an
// instance elsewhere, while its home is busy.
func TestRegionsOfAKind(t *testing.T) {
	w := load(t, 13, "verhaegen")
	w.run(settled)
	w.stream("catalogue", 5000, 3*time.Second, "gent-a-1", "gent-b-1")
	w.streamFrom("gent-a", "catalogue", 500, 3*time.Second, "namur-a-1")
	w.run(6 * time.Second)
	w.checkTruth()
	ran := 0
	for _, r := range w.results {
		if domain, ok := w.places[r.id]; ok && r.home == "gent-a" {
			ran++
			assert.Equal(t, w.regions[domain], "flanders", "%+v", r)
		}
	}
	assert.Assert(t, ran > 100, "%d ran", ran)
}

// TestColdServer adds a server under a load that fills every slot: it gets work
// slowly at first, and all its slots in the end.
func TestColdServer(t *testing.T) {
	w := load(t, 14, "verhaegen")
	for _, u := range w.servers {
		u.work = func() time.Duration { return w.jitter(100 * time.Millisecond) }
	}
	w.run(settled)
	w.stream("stock", 800, 20*time.Second, "gent-a-1", "gent-a-2")
	w.run(time.Second)
	s := model.Server{Name: "stock-gent-a-9", Service: "stock", Domain: "gent-a"}
	u := w.addServer(s, 9, func() time.Duration { return w.jitter(100 * time.Millisecond) })
	l := w.listing["gent-a"]
	l.Servers = append(slices.Clone(l.Servers), s)
	w.listing["gent-a"] = l
	for u.arrived.IsZero() {
		w.run(tick)
		assert.Assert(t, w.elapsed() < settled+8*time.Second, "the server gets work")
	}
	w.run(time.Second)
	// A tenth of the slow start and the time until the first request have passed.
	assert.Assert(t, u.peak <= 3, "%d of 9 slots in the first second", u.peak)
	w.run(12 * time.Second)
	assert.Equal(t, u.peak, 9)
	w.checkTruth()
}
