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

// Targets of the future size, per daemon.
const (
	controlBytesPerSecond = 14_000
	controlCoreShare      = 0.043
	inForceLimit          = 12 * time.Second
)

// traffic counts the bytes of gossip by instance, as net/rpc would send them
// over kept connections.
type traffic struct {
	meters   map[string]*meter
	received map[string]int
}

// meter is a gob stream that only counts.
type meter struct {
	encoder *gob.Encoder
	bytes   int
	calls   int
}

func (m *meter) Write(p []byte) (int, error) {
	m.bytes += len(p)
	return len(p), nil
}

// rpcEnvelope is what net/rpc adds to a call or an answer, about.
const rpcEnvelope = 20

func (t *traffic) add(name, receiver string, g model.Gossip) {
	if t == nil {
		return
	}
	m, ok := t.meters[name]
	if !ok {
		m = &meter{}
		m.encoder = gob.NewEncoder(m)
		t.meters[name] = m
	}
	before := m.bytes
	if err := m.encoder.Encode(g); err != nil {
		panic(err)
	}
	m.bytes += rpcEnvelope
	m.calls++
	t.received[receiver] += m.bytes - before
}

// fleetOf builds domains of equal size, three to a region.
func fleetOf(t testing.TB, domains, siblings, servers int) *world {
	w := newWorld(t, 1)
	var c model.Configuration
	readJSON(t, "../../examples/verhaegen/configuration.jsonc", &c)
	c.Regions, c.Links, c.Blocks = nil, []model.Link{}, []model.Block{}
	for i := range domains {
		region := fmt.Sprintf("region-%d", i/3)
		domain := fmt.Sprintf("domain-%02d", i)
		w.regions[domain] = region
		if i%3 == 0 {
			c.Regions = append(c.Regions, model.Region{Name: region})
		}
		r := &c.Regions[len(c.Regions)-1]
		r.Domains = append(r.Domains, domain)
	}
	for i := range c.Kinds {
		c.Kinds[i].Regions = []string{model.Home}
	}
	assert.NilError(t, w.patch(0, "first", document(t, c)))
	for _, domain := range sortedKeys(w.regions) {
		l := model.Listing{}
		for i := range servers {
			s := model.Server{Name: fmt.Sprintf("stock-%s-%d", domain, i), Service: "stock", Domain: domain, Address: "127.0.0.1:7100"}
			l.Servers = append(l.Servers, s)
			w.addServer(s, 9, func() time.Duration { return 20 * time.Millisecond })
		}
		for i := range siblings {
			l.Instances = append(l.Instances, model.Listed{Instance: model.Instance{
				Name: fmt.Sprintf("%s-%02d", domain, i), Domain: domain, Region: w.regions[domain],
				Address: "127.0.0.1:8080", PeerAddress: "127.0.0.1:8180",
			}})
		}
		w.listing[domain] = l
		for _, x := range l.Instances {
			w.addNode(x.Instance)
		}
	}
	return w
}

// usage is what one size costs.
type usage struct {
	daemons                  int
	meanBytes, maxBytes      float64 // Sent, a second.
	maxReceived              float64
	meanCalls                float64
	coreShare                float64
	reads, writes            float64
	inForce                  time.Duration
	heapPerDaemon            float64
	startReads, startWrites  float64
	failReads, failWrites    float64
	healedReads, healedWrite float64
}

func measure(t testing.TB, domains, siblings int) usage {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	w := fleetOf(t, domains, siblings, 12)
	u := usage{daemons: domains * siblings}
	u.startReads, u.startWrites = w.storeCalls(5 * time.Second)
	w.run(25 * time.Second)
	const span = 10 * time.Second
	w.traffic = &traffic{meters: make(map[string]*meter), received: make(map[string]int)}
	w.reducing = 0
	u.reads, u.writes = w.storeCalls(span)
	u.coreShare = w.reducing.Seconds() / span.Seconds() / float64(u.daemons)
	for _, m := range w.traffic.meters {
		rate := float64(m.bytes) / span.Seconds()
		u.meanBytes += rate / float64(u.daemons)
		u.maxBytes = max(u.maxBytes, rate)
		u.meanCalls += float64(m.calls) / span.Seconds() / float64(u.daemons)
	}
	for _, bytes := range w.traffic.received {
		u.maxReceived = max(u.maxReceived, float64(bytes)/span.Seconds())
	}
	w.traffic = nil
	u.inForce = w.timeInForce()
	w.killDomains("domain-00")
	u.failReads, u.failWrites = w.storeCalls(10 * time.Second)
	w.store.down = true
	w.run(10 * time.Second)
	w.store.down = false
	u.healedReads, u.healedWrite = w.storeCalls(5 * time.Second)
	runtime.GC()
	runtime.ReadMemStats(&after)
	u.heapPerDaemon = (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / float64(u.daemons)
	runtime.KeepAlive(w)
	return u
}

// storeCalls returns the store's reads and writes a second over a time.
func (w *world) storeCalls(d time.Duration) (reads, writes float64) {
	r, wr := w.store.reads, w.store.writes
	w.run(d)
	return float64(w.store.reads-r) / d.Seconds(), float64(w.store.writes-wr) / d.Seconds()
}

func (w *world) timeInForce() time.Duration {
	assert.NilError(w.t, w.patch(1, "second", []byte(`[{"op":"replace","path":"/shift/cap","value":0.3}]`)))
	start := w.now
	for {
		behind := slices.ContainsFunc(w.names(), func(name string) bool {
			return w.nodes[name].reducer.Head().Version < 2
		})
		if !behind {
			return w.now.Sub(start)
		}
		w.run(tick)
		assert.Assert(w.t, w.now.Sub(start) < time.Minute)
	}
}

// TestCapacity measures control at growing sizes; -v prints the table of
// docs/CAPACITY.md. The largest size runs where YUCCATHREAD_CAPACITY is set.
func TestCapacity(t *testing.T) {
	sizes := [][2]int{{6, 2}, {11, 7}, {22, 14}}
	if os.Getenv("YUCCATHREAD_CAPACITY") != "" {
		sizes = append(sizes, [2]int{33, 22})
	}
	for _, s := range sizes {
		u := measure(t, s[0], s[1])
		t.Logf("%3d daemons in %2d domains: sent %.0f B/s (busiest %.0f, received %.0f), %.1f calls/s, %.3f%% of a core in the reducer, "+
			"store %.0f reads/s %.1f writes/s, start %.0f/%.1f, a domain lost %.0f/%.1f, store back %.0f/%.1f, in force after %s, %.0f KB heap",
			u.daemons, s[0], u.meanBytes, u.maxBytes, u.maxReceived, u.meanCalls, 100*u.coreShare, u.reads, u.writes, u.startReads, u.startWrites,
			u.failReads, u.failWrites, u.healedReads, u.healedWrite, u.inForce, u.heapPerDaemon/1000)
		assert.Check(t, u.inForce <= inForceLimit, "in force after %s", u.inForce)
		assert.Check(t, u.maxBytes <= controlBytesPerSecond, "%.0f B/s", u.maxBytes)
		assert.Check(t, u.coreShare <= controlCoreShare, "%.4f of a core", u.coreShare)
	}
}
