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

const settleTime = 25 * time.Second

// countOutcomes counts the outcomes of the requests sent between from and to.
func (sim *simulation) countOutcomes(from, to time.Duration) map[model.Outcome]int {
	counts := make(map[model.Outcome]int)
	for _, r := range sim.requests {
		if sentAt := r.sentAt.Sub(sim.start); sentAt >= from && sentAt < to {
			counts[r.result.Outcome]++
		}
	}
	return counts
}

func (sim *simulation) elapsed() time.Duration { return sim.now.Sub(sim.start) }

// stopDomains kills all instances and servers of the failure domains.
func (sim *simulation) stopDomains(domains ...string) {
	for _, domain := range domains {
		for _, inst := range sim.instances {
			if inst.Domain == domain {
				sim.kill(inst.Name)
			}
		}
		for _, u := range sim.servers {
			if u.Domain == domain {
				u.down = true
			}
		}
	}
}

func (sim *simulation) restartDomains(domains ...string) {
	for _, domain := range domains {
		for _, name := range sortedKeys(sim.instances) {
			if sim.instances[name].Domain == domain {
				sim.restart(name)
			}
		}
		for _, u := range sim.servers {
			if u.Domain == domain {
				u.down = false
			}
		}
	}
}

// TestLeavingServer checks that a server gets no new work from 3 s after the first
// signal that it is leaving.
func TestLeavingServer(t *testing.T) {
	signals := map[string]func(*simulation, *upstream){
		"list": func(sim *simulation, u *upstream) {
			listing := sim.listings[u.Domain]
			servers := append([]model.Server(nil), listing.Servers...)
			for i := range servers {
				servers[i].Leaving = servers[i].Leaving || servers[i].Name == u.Name
			}
			listing.Servers = servers
			sim.listings[u.Domain] = listing
		},
		"report":          func(_ *simulation, u *upstream) { u.draining = true },
		"answers only":    func(_ *simulation, u *upstream) { u.draining, u.falseReports = true, true },
		"list, no store":  nil,
		"process is gone": func(_ *simulation, u *upstream) { u.down = true },
	}
	signals["list, no store"] = func(sim *simulation, u *upstream) {
		sim.store.down = true
		signals["list"](sim, u)
	}
	for name, signal := range signals {
		t.Run(name, func(t *testing.T) {
			sim := loadDeployment(t, 5, "verhaegen")
			sim.advance(settleTime)
			sim.sendStream("stock", 300, 12*time.Second, "gent-a-1", "gent-a-2")
			sim.advance(2 * time.Second)
			u := sim.servers["stock-gent-a-1"]
			assert.Assert(t, u.lastArrival.After(sim.start.Add(settleTime)), "the server got no work before the signal")
			signal(sim, u)
			sim.advance(3 * time.Second)
			deadline := sim.now
			sim.advance(8 * time.Second)
			assert.Assert(t, !u.lastArrival.After(deadline), "work arrived %s after the deadline", u.lastArrival.Sub(deadline))
			sim.checkOutcomes()
		})
	}
}

// TestServerFailsButReportsHealthy has a server fail all requests while its load
// reports say that it is idle. Less than 1% of the requests may fail.
func TestServerFailsButReportsHealthy(t *testing.T) {
	sim := loadDeployment(t, 6, "verhaegen")
	sim.advance(settleTime)
	sim.servers["stock-gent-a-1"].fail = true
	sim.servers["stock-gent-a-1"].falseReports = true
	sim.sendStream("stock", 300, 20*time.Second, "gent-a-1", "gent-a-2")
	sim.advance(22 * time.Second)
	failed := 0
	for _, r := range sim.requests {
		if r.result.Status == 500 {
			failed++
		}
	}
	t.Logf("%d of %d requests failed at the faulty server", failed, len(sim.requests))
	assert.Assert(t, failed*100 < len(sim.requests), "%d of %d", failed, len(sim.requests))
}

// TestPlannedStop stops an instance under load. Requests in flight must complete,
// callers with cached look-ups must still be served, and look-ups must no longer
// return the instance.
func TestPlannedStop(t *testing.T) {
	sim := loadDeployment(t, 7, "verhaegen")
	sim.advance(settleTime)
	sim.sendStream("stock", 200, 4900*time.Millisecond, "gent-a-1")
	sim.sendStream("order", 0.001, time.Second, "gent-a-1")
	sim.advance(time.Second)
	stopped := sim.now
	sim.deliver(sim.instances["gent-a-1"], message.StopRequested{})
	sim.advance(1500 * time.Millisecond)
	for _, name := range sim.aliveNames() {
		for _, e := range sim.instances[name].reducer.Reduce(sim.now, message.LookUpRequested{Kind: "stock"}) {
			if answer, ok := e.(message.AnswerLookUp); ok {
				for _, x := range answer.Entries {
					assert.Assert(t, x.Name != "gent-a-1", "the look-up at %s still returns the stopping instance", name)
				}
			}
		}
	}
	sim.advance(20 * time.Second)
	assert.Assert(t, sim.instances["gent-a-1"].exited)
	for _, r := range sim.requests {
		if r.kind == "stock" {
			assert.Equal(t, r.result.Outcome, model.Ran, "%+v, %s after the stop", r, r.sentAt.Sub(stopped))
		}
	}
	sim.checkOutcomes()
}

// TestStoreUnavailable keeps the store down for five minutes and restarts an
// instance meanwhile. Repeatable work and work with tickets must still run, and no
// key may run twice. Work with the callers' own keys ends as unknown.
func TestStoreUnavailable(t *testing.T) {
	sim := loadDeployment(t, 8, "verhaegen")
	sim.advance(settleTime)
	sim.store.down = true
	from := sim.elapsed()
	sim.schedule(60*time.Second, func() { sim.kill("namur-a-2") })
	sim.schedule(90*time.Second, func() { sim.restart("namur-a-2") })
	sim.sendStream("stock", 100, 5*time.Minute, "gent-a-1", "gent-b-1", "elsene-a-1")
	for i := range 300 {
		sim.schedule(time.Duration(i)*time.Second, func() {
			issuer := sim.instances["elsene-b-1"]
			key := fmt.Sprintf("ytk1.%s.%s.%s.%d", issuer.Name, issuer.Incarnation, base36Millis(sim.now), i)
			sim.send("elsene-b-1", "order", key)
			sim.send("gent-a-1", "order", key)
			sim.send("gent-a-1", "order", fmt.Sprintf("own-%d", i))
		})
	}
	sim.advance(5*time.Minute + 5*time.Second)
	sim.store.down = false
	sim.advance(10 * time.Second)
	sim.checkOutcomes()
	counts := make(map[string]int)
	for _, r := range sim.requests {
		if r.sentAt.Sub(sim.start) >= from && r.kind == "stock" || len(r.key) > 10 {
			counts[r.kind+" "+string(r.result.Outcome)]++
		}
	}
	assert.DeepEqual(t, counts, map[string]int{"stock ran": 30_000, "order ran": 600})
	assert.Assert(t, sim.instances["gent-a-1"].reducer.Status().LeaseValid)
}

// TestPartitionedDomain disconnects a failure domain from all others and from the
// platform. Requests must still run, and a patch accepted meanwhile must be in
// force in the domain within 12 s of the reconnection.
func TestPartitionedDomain(t *testing.T) {
	sim := loadDeployment(t, 9, "verhaegen")
	sim.advance(settleTime)
	sim.setDisconnected("gent-a", true)
	sim.sendStream("stock", 200, time.Minute, "gent-a-1", "gent-a-2")
	sim.sendStream("stock", 200, time.Minute, "gent-b-1", "namur-a-1")
	sim.advance(30 * time.Second)
	assert.NilError(t, sim.patch(1, "while-cut", []byte(`[{"op":"replace","path":"/shift/cap","value":0.3}]`)))
	sim.advance(32 * time.Second)
	assert.Equal(t, sim.instances["gent-a-1"].reducer.ConfigurationHead().Version, int64(1))
	reconnected := sim.now
	sim.setDisconnected("gent-a", false)
	for sim.instances["gent-a-1"].reducer.ConfigurationHead().Version != 2 || sim.instances["gent-a-2"].reducer.ConfigurationHead().Version != 2 {
		sim.advance(tickInterval)
		assert.Assert(t, sim.now.Sub(reconnected) < 12*time.Second)
	}
	t.Logf("in force everywhere %s after the domain was reconnected", sim.now.Sub(reconnected))
	for _, r := range sim.requests {
		assert.Equal(t, r.result.Outcome, model.Ran, "%+v", r)
	}
	sim.checkOutcomes()
}

// TestConcurrentPatches has ten operators patch the same version in each round,
// while the store loses some answers. Exactly one patch of a round must be
// accepted, and the version must grow by one for each accepted patch.
func TestConcurrentPatches(t *testing.T) {
	sim := loadDeployment(t, 10, "verhaegen")
	accepted := 0
	for round := range 20 {
		sim.store.loseAnswers = round % 3
		successes := 0
		for operator := range 10 {
			operations := fmt.Appendf(nil, `[{"op":"replace","path":"/retry/burst","value":%d}]`, operator)
			err := sim.patch(int64(1+round), fmt.Sprintf("c%d-%d", round, operator), operations)
			if err == nil {
				successes++
				continue
			}
			assert.Assert(t, errors.As(err, new(*model.StaleError)), "%v", err)
		}
		assert.Equal(t, successes, 1)
		accepted++
	}
	sim.advance(settleTime)
	for _, name := range sim.aliveNames() {
		assert.Equal(t, sim.instances[name].reducer.ConfigurationHead().Version, int64(1+accepted))
	}
}

// TestTakeoverWaits guards against two instances using the slots of one server.
// Servers move to a restarted instance while their previous owner is paused and
// can't release them, under a load that fills every slot.
func TestTakeoverWaits(t *testing.T) {
	for seed := range uint64(6) {
		sim := loadDeployment(t, seed, "verhaegen")
		for _, u := range sim.servers {
			u.workTime = func() time.Duration { return sim.jitter(600 * time.Millisecond) }
		}
		sim.advance(settleTime)
		sim.sendStream("stock", 300, 40*time.Second, "gent-a-2", "gent-a-1")
		sim.kill("gent-a-1")
		sim.advance(12 * time.Second)
		sim.restart("gent-a-1")
		sim.advance(time.Duration(1000+300*seed) * time.Millisecond)
		sim.pause("gent-a-2", 1200*time.Millisecond)
		sim.advance(12 * time.Second)
		sim.pause("gent-a-2", 9*time.Second)
		sim.advance(20 * time.Second)
		sim.checkOutcomes()
	}
}

// TestKeyAfterIssuerIsGone repeats work with a ticket and with the caller's own key
// after the instance that ran it was killed. It must not run again or be reported
// as not_run.
func TestKeyAfterIssuerIsGone(t *testing.T) {
	sim := loadDeployment(t, 11, "verhaegen")
	sim.advance(settleTime)
	issuer := sim.instances["gent-a-1"]
	key := fmt.Sprintf("ytk1.%s.%s.%s.1", issuer.Name, issuer.Incarnation, base36Millis(sim.now))
	sim.send("gent-a-1", "order", key)
	sim.send("gent-a-1", "order", "own-key")
	sim.advance(time.Second)
	sim.kill("gent-a-1")
	for range 10 {
		sim.send("gent-b-1", "order", key)
		sim.send("namur-a-1", "order", "own-key")
		sim.advance(time.Second)
	}
	sim.checkOutcomes()
	assert.Equal(t, sim.executionsByKey[key], 1)
	assert.Equal(t, sim.executionsByKey["own-key"], 1)
	for _, r := range sim.requests[2:] {
		assert.Assert(t, r.result.Outcome != model.NotRun, "%+v", r)
	}
}

// TestRegionsOfAKind guards against running work outside the regions of its kind.
// Work restricted to its home region is sent to an instance in another region
// while the home region is busy.
func TestRegionsOfAKind(t *testing.T) {
	sim := loadDeployment(t, 13, "verhaegen")
	sim.advance(settleTime)
	sim.sendStream("catalogue", 5000, 3*time.Second, "gent-a-1", "gent-b-1")
	sim.sendStreamFrom("gent-a", "catalogue", 500, 3*time.Second, "namur-a-1")
	sim.advance(6 * time.Second)
	sim.checkOutcomes()
	ran := 0
	for _, r := range sim.requests {
		if domain, ok := sim.executedIn[r.id]; ok && r.home == "gent-a" {
			ran++
			assert.Equal(t, sim.regionOf[domain], "flanders", "%+v", r)
		}
	}
	assert.Assert(t, ran > 100, "%d ran", ran)
}

// TestColdServer adds a server under a load that fills every slot. The server must
// get little work at first and work in all its slots at the end.
func TestColdServer(t *testing.T) {
	sim := loadDeployment(t, 14, "verhaegen")
	for _, u := range sim.servers {
		u.workTime = func() time.Duration { return sim.jitter(100 * time.Millisecond) }
	}
	sim.advance(settleTime)
	sim.sendStream("stock", 800, 20*time.Second, "gent-a-1", "gent-a-2")
	sim.advance(time.Second)
	server := model.Server{Name: "stock-gent-a-9", Service: "stock", Domain: "gent-a"}
	u := sim.addServer(server, 9, func() time.Duration { return sim.jitter(100 * time.Millisecond) })
	listing := sim.listings["gent-a"]
	listing.Servers = append(slices.Clone(listing.Servers), server)
	sim.listings["gent-a"] = listing
	for u.lastArrival.IsZero() {
		sim.advance(tickInterval)
		assert.Assert(t, sim.elapsed() < settleTime+8*time.Second, "the new server got no work")
	}
	sim.advance(time.Second)
	// A tenth of the slow start has passed, plus the time until the first request.
	assert.Assert(t, u.peakBusy <= 3, "%d of 9 slots were used in the first second", u.peakBusy)
	sim.advance(12 * time.Second)
	assert.Equal(t, u.peakBusy, 9)
	sim.checkOutcomes()
}
