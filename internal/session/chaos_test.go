package session

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/model"
)

var seeds = flag.Uint64("seeds", 12, "number of random simulations")

const (
	chaosDuration    = 60 * time.Second
	recoveryDuration = 30 * time.Second
	// requestRate is the base rate in requests per second per instance. The rates
	// of a deployment are multiples of it.
	requestRate = 20
	// workSlowdown multiplies the servers' execution times to keep them busy.
	workSlowdown = 10
	// patchCount is the number of configuration patches in a simulation.
	patchCount = 40
)

// deployment lists the kinds of work that a random simulation sends. rates holds
// the request rate of each repeatable kind as a multiple of requestRate.
type deployment struct {
	name, onceOnlyKind string
	rates              map[string]float64
}

var deployments = []deployment{
	{"verhaegen", "order", map[string]float64{"stock": 3, "catalogue": 2, "compatibility": 0.5}},
	{"sidi-rail", "settlement", map[string]float64{"availability": 3, "wagon-slots": 2, "tariff": 0.5}},
}

// chaos is a simulation with a random fault about every second.
type chaos struct {
	*simulation
	deployment

	instanceNames   []string
	acceptedPatches int64
	sentPatches     int
}

// repeatableKind returns a kind that any instance serves in its own region.
func (c *chaos) repeatableKind() string { return sortedKeys(c.rates)[0] }

func (c *chaos) randomInstance() string { return c.instanceNames[c.random.IntN(len(c.instanceNames))] }

func (c *chaos) injectFault() {
	name := c.randomInstance()
	inst := c.instances[name]
	duration := time.Duration(c.random.Int64N(int64(8 * time.Second)))
	switch c.random.IntN(9) {
	case 0:
		c.kill(name)
		c.after(duration, func() { c.restart(name) })
	case 1:
		if inst.alive && !inst.paused {
			c.pause(name, 2*duration)
		}
	case 2:
		c.setDisconnected(inst.Domain, true)
		c.after(duration, func() { c.setDisconnected(inst.Domain, false) })
	case 3:
		c.store.down = true
		c.after(duration, func() { c.store.down = false })
	case 4:
		c.store.loseAnswers += c.random.IntN(4)
	case 5:
		c.store.delay = time.Duration(c.random.Int64N(int64(time.Second)))
		c.after(duration, func() { c.store.delay = sameRegionDelay })
	default:
		c.breakRandomServer(duration)
	}
}

func (c *chaos) breakRandomServer(d time.Duration) {
	names := sortedKeys(c.servers)
	u := c.servers[names[c.random.IntN(len(names))]]
	switch c.random.IntN(6) {
	case 0:
		u.down = true
	case 1:
		u.hang = true
	case 2:
		u.fail = true
	case 3:
		u.draining = true
	case 4:
		u.truncatesAnswers = true
	default:
		u.falseReports = true
	}
	c.after(d, func() {
		u.down, u.hang, u.fail, u.draining, u.falseReports, u.truncatesAnswers = false, false, false, false, false, false
	})
}

// sendOnceOnly sends once-only work one to three times with the same key, each
// time to a random instance and at a random time within 15 s. The key is the
// caller's own or a ticket.
func (c *chaos) sendOnceOnly(i int) {
	key := fmt.Sprintf("own-%d", i)
	if c.random.IntN(2) == 0 {
		inst := c.instances[c.randomInstance()]
		key = fmt.Sprintf("ytk1.%s.%s.%s.%d", inst.Name, inst.Incarnation, base36Millis(c.now), i)
	}
	for range 1 + c.random.IntN(3) {
		name := c.randomInstance()
		c.after(time.Duration(c.random.Int64N(int64(15*time.Second))), func() {
			c.send(name, c.onceOnlyKind, key)
		})
	}
}

// sendPatch sends a configuration patch. Its base is the newest version that an
// operator can know, or an older one.
func (c *chaos) sendPatch() {
	c.sentPatches++
	base := 1 + c.random.Int64N(c.acceptedPatches+1)
	operations := fmt.Sprintf(`[{"op":"replace","path":"/shift/minimum_requests","value":%d}]`, c.sentPatches)
	if c.patch(base, fmt.Sprintf("change-%d", c.sentPatches), []byte(operations)) == nil {
		c.acceptedPatches++
	}
}

// checkVersionsNeverDecrease checks at every tick until end that no process goes
// back to an older configuration version.
func (c *chaos) checkVersionsNeverDecrease(end time.Time) {
	highest := make(map[string]int64)
	var check func()
	check = func() {
		for _, inst := range c.instances {
			v := inst.reducer.ConfigurationHead().Version
			if v < highest[inst.Incarnation] {
				c.t.Errorf("%s went back from version %d to %d", inst.Name, highest[inst.Incarnation], v)
			}
			highest[inst.Incarnation] = v
		}
		if c.now.Before(end) {
			c.after(tickInterval, check)
		}
	}
	check()
}

// TestChaos injects random, overlapping faults into instances, links, the store
// and servers. It compares the outcomes reported to callers with what the servers
// executed, and checks that the fleet recovers without intervention.
func TestChaos(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			runChaos(t, seed)
		})
	}
}

func runChaos(t *testing.T, seed uint64) {
	d := deployments[seed%2]
	c := &chaos{simulation: loadDeployment(t, seed, d.name), deployment: d}
	c.instanceNames = sortedKeys(c.instances)
	for _, u := range c.servers {
		workTime := u.workTime
		u.workTime = func() time.Duration { return workSlowdown * workTime() }
	}
	c.advance(15 * time.Second)
	end := c.now.Add(chaosDuration)
	var next func()
	next = func() {
		if c.now.Before(end) {
			c.injectFault()
			c.after(time.Duration(c.random.Int64N(int64(2*time.Second))), next)
		}
	}
	next()
	for i := range 300 {
		c.after(time.Duration(c.random.Int64N(int64(chaosDuration))), func() { c.sendOnceOnly(i) })
	}
	for _, kind := range sortedKeys(d.rates) {
		c.sendStream(kind, d.rates[kind]*requestRate*float64(len(c.instanceNames)), chaosDuration, c.instanceNames...)
	}
	for range patchCount {
		c.after(time.Duration(c.random.Int64N(int64(chaosDuration))), c.sendPatch)
	}
	c.checkVersionsNeverDecrease(end.Add(recoveryDuration))
	c.advance(chaosDuration + recoveryDuration)
	c.checkOutcomes()
	c.checkRecovered()
	if t.Failed() {
		t.Logf("reproduce with: go test ./internal/session -run 'TestChaos/seed=%d$' -seeds %d", seed, seed+1)
	}
}

// checkRecovered checks that every instance is ready, that all have the same
// configuration, that every server has an owner and that new work is executed.
func (c *chaos) checkRecovered() {
	owned := 0
	for _, name := range c.instanceNames {
		inst := c.instances[name]
		assert.Assert(c.t, inst.alive, name)
		status := inst.reducer.Status()
		// Each accepted patch adds a version. There may be more versions: a patch can
		// return an error although it took effect, if the store's answer was lost.
		assert.Assert(c.t, status.ConfigurationVersion > c.acceptedPatches, "%s: %+v", name, status)
		assert.Equal(c.t, status.ConfigurationVersion, c.instances[c.instanceNames[0]].reducer.ConfigurationHead().Version)
		assert.Assert(c.t, status.Ready && status.LeaseValid, "%s: %+v", name, status)
		for _, s := range status.Servers {
			if s.Owned {
				owned++
			}
		}
	}
	assert.Equal(c.t, owned, len(c.servers))
	first := len(c.requests)
	for _, name := range c.instanceNames {
		c.sendStream(c.repeatableKind(), 20, 2*time.Second, name)
	}
	c.advance(4 * time.Second)
	for _, r := range c.requests[first:] {
		assert.Equal(c.t, r.result.Outcome, model.Ran, "%+v", r)
	}
}
