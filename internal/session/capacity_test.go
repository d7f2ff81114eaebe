package session

import (
	"encoding/gob"
	"fmt"
	"os"
	"runtime"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/model"
)

// Limits per instance at the planned fleet size.
const (
	controlBytesPerSecond = 14_000
	controlCoreShare      = 0.043
	inForceLimit          = 12 * time.Second
)

// gossipTraffic counts the gossip bytes of each instance as net/rpc would send
// them over persistent connections.
type gossipTraffic struct {
	counters map[string]*byteCounter
	received map[string]int
}

// byteCounter is a gob stream that counts the encoded bytes and drops them.
type byteCounter struct {
	encoder *gob.Encoder
	bytes   int
	calls   int
}

func (c *byteCounter) Write(p []byte) (int, error) {
	c.bytes += len(p)
	return len(p), nil
}

// rpcOverhead is approximately the number of bytes that net/rpc adds to a call or
// an answer.
const rpcOverhead = 20

func (t *gossipTraffic) add(sender, receiver string, g model.Gossip) {
	if t == nil {
		return
	}
	counter, ok := t.counters[sender]
	if !ok {
		counter = &byteCounter{}
		counter.encoder = gob.NewEncoder(counter)
		t.counters[sender] = counter
	}
	before := counter.bytes
	if err := counter.encoder.Encode(g); err != nil {
		panic(err)
	}
	counter.bytes += rpcOverhead
	counter.calls++
	t.received[receiver] += counter.bytes - before
}

// newUniformFleet builds failure domains of equal size, three in each region.
func newUniformFleet(t testing.TB, domains, instancesPerDomain, serversPerDomain int) *simulation {
	sim := newSimulation(t, 1)
	var c model.Configuration
	readJSON(t, "../../examples/verhaegen/configuration.jsonc", &c)
	c.Regions, c.Links, c.Blocks = nil, []model.Link{}, []model.Block{}
	for i := range domains {
		region := fmt.Sprintf("region-%d", i/3)
		domain := fmt.Sprintf("domain-%02d", i)
		sim.regionOf[domain] = region
		if i%3 == 0 {
			c.Regions = append(c.Regions, model.Region{Name: region})
		}
		lastRegion := &c.Regions[len(c.Regions)-1]
		lastRegion.Domains = append(lastRegion.Domains, domain)
	}
	for i := range c.Kinds {
		c.Kinds[i].Regions = []string{model.HomeRegion}
	}
	assert.NilError(t, sim.patch(0, "first", replacementPatch(t, c)))
	for _, domain := range sortedKeys(sim.regionOf) {
		listing := model.Listing{}
		for i := range serversPerDomain {
			server := model.Server{Name: fmt.Sprintf("stock-%s-%d", domain, i), Service: "stock", Domain: domain, Address: "127.0.0.1:7100"}
			listing.Servers = append(listing.Servers, server)
			sim.addServer(server, 9, func() time.Duration { return 20 * time.Millisecond })
		}
		for i := range instancesPerDomain {
			listing.Instances = append(listing.Instances, model.Listed{Instance: model.Instance{
				Name: fmt.Sprintf("%s-%02d", domain, i), Domain: domain, Region: sim.regionOf[domain],
				Address: "127.0.0.1:8080", PeerAddress: "127.0.0.1:8180",
			}})
		}
		sim.listings[domain] = listing
		for _, listed := range listing.Instances {
			sim.addInstance(listed.Instance)
		}
	}
	return sim
}

// usage holds the measured cost of one fleet size. Rates are per second.
type usage struct {
	instances                         int
	meanBytes, maxBytes               float64 // Sent by one instance.
	maxReceived                       float64
	meanCalls                         float64
	coreShare                         float64
	reads, writes                     float64
	inForce                           time.Duration
	heapPerInstance                   float64
	startReads, startWrites           float64
	domainLossReads, domainLossWrites float64
	recoveredReads, recoveredWrites   float64
}

func measureUsage(t testing.TB, domains, instancesPerDomain int) usage {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	sim := newUniformFleet(t, domains, instancesPerDomain, 12)
	u := usage{instances: domains * instancesPerDomain}
	u.startReads, u.startWrites = sim.storeCallRates(5 * time.Second)
	sim.advance(25 * time.Second)
	const span = 10 * time.Second
	sim.gossipTraffic = &gossipTraffic{counters: make(map[string]*byteCounter), received: make(map[string]int)}
	sim.reducerTime = 0
	u.reads, u.writes = sim.storeCallRates(span)
	u.coreShare = sim.reducerTime.Seconds() / span.Seconds() / float64(u.instances)
	for _, counter := range sim.gossipTraffic.counters {
		rate := float64(counter.bytes) / span.Seconds()
		u.meanBytes += rate / float64(u.instances)
		u.maxBytes = max(u.maxBytes, rate)
		u.meanCalls += float64(counter.calls) / span.Seconds() / float64(u.instances)
	}
	for _, bytes := range sim.gossipTraffic.received {
		u.maxReceived = max(u.maxReceived, float64(bytes)/span.Seconds())
	}
	sim.gossipTraffic = nil
	u.inForce = sim.timeUntilInForce()
	sim.stopDomains("domain-00")
	u.domainLossReads, u.domainLossWrites = sim.storeCallRates(10 * time.Second)
	sim.store.down = true
	sim.advance(10 * time.Second)
	sim.store.down = false
	u.recoveredReads, u.recoveredWrites = sim.storeCallRates(5 * time.Second)
	runtime.GC()
	runtime.ReadMemStats(&after)
	u.heapPerInstance = (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / float64(u.instances)
	runtime.KeepAlive(sim)
	return u
}

// storeCallRates advances the clock by d and returns the store's reads and writes
// per second in that time.
func (sim *simulation) storeCallRates(d time.Duration) (reads, writes float64) {
	readsBefore, writesBefore := sim.store.reads, sim.store.writes
	sim.advance(d)
	return float64(sim.store.reads-readsBefore) / d.Seconds(), float64(sim.store.writes-writesBefore) / d.Seconds()
}

func (sim *simulation) timeUntilInForce() time.Duration {
	assert.NilError(sim.t, sim.patch(1, "second", []byte(`[{"op":"replace","path":"/shift/cap","value":0.3}]`)))
	start := sim.now
	for {
		behind := slices.ContainsFunc(sim.aliveNames(), func(name string) bool {
			return sim.instances[name].reducer.ConfigurationHead().Version < 2
		})
		if !behind {
			return sim.now.Sub(start)
		}
		sim.advance(tickInterval)
		assert.Assert(sim.t, sim.now.Sub(start) < time.Minute)
	}
}

// TestCapacity measures the control traffic, the reducers' CPU time and the store
// calls at growing fleet sizes and checks their limits; -v prints the table of
// docs/CAPACITY.md. The largest size runs only if YUCCATHREAD_CAPACITY is set.
func TestCapacity(t *testing.T) {
	sizes := [][2]int{{6, 2}, {11, 7}, {22, 14}}
	if os.Getenv("YUCCATHREAD_CAPACITY") != "" {
		sizes = append(sizes, [2]int{33, 22})
	}
	for _, s := range sizes {
		u := measureUsage(t, s[0], s[1])
		t.Logf("%3d daemons in %2d domains: sent %.0f B/s (busiest %.0f, received %.0f), %.1f calls/s, %.3f%% of a core in the reducer, "+
			"store %.0f reads/s %.1f writes/s, start %.0f/%.1f, a domain lost %.0f/%.1f, store back %.0f/%.1f, in force after %s, %.0f KB heap",
			u.instances, s[0], u.meanBytes, u.maxBytes, u.maxReceived, u.meanCalls, 100*u.coreShare, u.reads, u.writes, u.startReads, u.startWrites,
			u.domainLossReads, u.domainLossWrites, u.recoveredReads, u.recoveredWrites, u.inForce, u.heapPerInstance/1000)
		assert.Check(t, u.inForce <= inForceLimit, "in force after %s", u.inForce)
		assert.Check(t, u.maxBytes <= controlBytesPerSecond, "%.0f B/s", u.maxBytes)
		assert.Check(t, u.coreShare <= controlCoreShare, "%.4f of a core", u.coreShare)
	}
}
