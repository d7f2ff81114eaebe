package session

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/model"
)

const unconfiguredSessions = 60

// TestFleetWithoutConfiguration starts fleets without a configuration, with and without
// listed servers, while instances are killed and restarted, the store goes away, domains
// are cut off and callers send work. Nothing may run, each request must be refused as
// not run, and soon after the first configuration all instances must be ready.
func TestFleetWithoutConfiguration(t *testing.T) {
	for seed := range uint64(unconfiguredSessions) {
		sim, configuration := loadUnconfigured(t, seed, "verhaegen")
		if seed%3 == 0 {
			sim.listings = make(map[string]model.Listing)
		}
		names := sim.aliveNames()
		for range 20 {
			sim.disturbStartup(names)
			sim.send(names[sim.random.IntN(len(names))], "stock", "")
			sim.advance(time.Duration(sim.random.IntN(1500)) * time.Millisecond)
		}
		sim.store.down = false
		for domain := range sim.regionOf {
			sim.setDisconnected(domain, false)
		}
		sim.advance(5 * time.Second)
		for _, r := range sim.requests {
			assert.Equal(t, r.result.Outcome, model.NotRun, "seed %d", seed)
		}
		assert.Equal(t, len(sim.executions), 0)
		assert.NilError(t, sim.patch(0, "first", replacementPatch(t, configuration)))
		sim.advance(settleTime)
		for _, name := range sim.aliveNames() {
			assert.Assert(t, sim.instances[name].reducer.Ready(), "seed %d: %s is not ready", seed, name)
		}
	}
}

// disturbStartup applies one random fault.
func (sim *simulation) disturbStartup(names []string) {
	name := names[sim.random.IntN(len(names))]
	switch sim.random.IntN(6) {
	case 0:
		if sim.instances[name].alive {
			sim.kill(name)
		}
		sim.restart(name)
	case 1:
		sim.store.down = !sim.store.down
	case 2:
		sim.setDisconnected(sim.instances[name].Domain, sim.random.IntN(2) == 0)
	case 3:
		sim.pause(name, time.Duration(sim.random.IntN(3000))*time.Millisecond)
	}
}

// TestFirstConfigurationIsServedWithinASecond checks that a fleet that has waited for
// its first configuration serves work one second after it.
func TestFirstConfigurationIsServedWithinASecond(t *testing.T) {
	sim, configuration := loadUnconfigured(t, 1, "verhaegen")
	sim.advance(30 * time.Second)
	assert.NilError(t, sim.patch(0, "first", replacementPatch(t, configuration)))
	sim.advance(time.Second)
	for _, name := range sim.aliveNames() {
		assert.Assert(t, sim.instances[name].reducer.Ready(), name)
	}
	id := sim.send("gent-a-1", "stock", "")
	sim.advance(3 * time.Second)
	assert.Equal(t, sim.requests[sim.requestIndex[id]].result.Outcome, model.Ran)
}
