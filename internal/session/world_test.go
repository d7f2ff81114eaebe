package session

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/tailscale/hujson"
	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
	"github.com/yuccathread/yuccathread/internal/patcher"
	"github.com/yuccathread/yuccathread/internal/reducer"
)

const (
	tickInterval     = 100 * time.Millisecond
	storeTimeout     = time.Second
	sameRegionDelay  = time.Millisecond
	crossRegionDelay = 55 * time.Millisecond
	clientDelay      = 3 * time.Millisecond
	serverDelay      = 200 * time.Microsecond
	// cancelNoticeDelay is how long a server takes to notice a cancellation.
	cancelNoticeDelay = 10 * time.Millisecond
)

// simulation runs a fleet under a virtual clock. Tests inject faults between
// calls of advance.
type simulation struct {
	t          testing.TB
	now        time.Time
	start      time.Time
	eventQueue eventQueue
	sequence   uint64
	random     *rand.Rand

	instances map[string]*simulatedInstance
	servers   map[string]*upstream
	// regionOf maps a failure domain to its region.
	regionOf     map[string]string
	disconnected map[[2]string]bool
	store        fakeStore
	listings     map[string]model.Listing
	records      []model.Record
	// recordRequests also keeps timeline records about single requests.
	recordRequests bool
	// crossRegionBytes counts the bytes sent from one region to another, by
	// Unix second.
	crossRegionBytes map[[2]string]map[int64]int64
	// gossipTraffic counts gossip bytes if it is not nil. reducerTime is the real
	// time spent in reducers.
	gossipTraffic *gossipTraffic
	reducerTime   time.Duration
	// bodyBytes and answerBytes are the body sizes of requests and answers.
	bodyBytes, answerBytes int64
	// busySlotTime sums the execution times of the work started so far, without
	// work that is abandoned at its deadline.
	busySlotTime    time.Duration
	requests        []clientRequest
	requestIndex    map[string]int
	pendingForwards map[string]pendingForward
	requestCount    int
	// executions counts executed work by request ID, executionsByKey by idempotency
	// key.
	executions      map[string]int
	executionsByKey map[string]int
	lastExecution   map[string]time.Time
	// deniedAt holds when an instance first reported not_run for a request. The
	// caller may receive that report later, after another request with the same
	// key was executed.
	deniedAt map[string]time.Time
	// executedIn maps a request ID to the failure domain that executed it.
	executedIn map[string]string
}

// simulatedInstance is an entry instance. While it is paused, its events are
// held back.
type simulatedInstance struct {
	model.Instance

	reducer    *reducer.Reducer
	alive      bool
	paused     bool
	exited     bool
	heldEvents []message.Event
}

type scheduledCall struct {
	at       time.Time
	sequence uint64
	call     func()
}

type eventQueue []scheduledCall

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduledCall)) }

func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// Now implements clock.Clock.
func (sim *simulation) Now() time.Time { return sim.now }

func newSimulation(t testing.TB, seed uint64) *simulation {
	start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	return &simulation{
		t: t, now: start, start: start, random: rand.New(rand.NewPCG(seed, 1)),
		instances: make(map[string]*simulatedInstance), servers: make(map[string]*upstream),
		regionOf: make(map[string]string), disconnected: make(map[[2]string]bool),
		store:    fakeStore{values: make(map[string]model.StoreValue), unreachableFrom: make(map[string]bool), delay: sameRegionDelay},
		listings: make(map[string]model.Listing), pendingForwards: make(map[string]pendingForward),
		executions: make(map[string]int), executionsByKey: make(map[string]int), requestIndex: make(map[string]int), lastExecution: make(map[string]time.Time),
		crossRegionBytes: make(map[[2]string]map[int64]int64), bodyBytes: 100,
		executedIn: make(map[string]string), deniedAt: make(map[string]time.Time),
	}
}

// loadDeployment builds a simulation from the example files of a deployment.
func loadDeployment(t testing.TB, seed uint64, deployment string) *simulation {
	sim, configuration := loadUnconfigured(t, seed, deployment)
	assert.NilError(t, sim.patch(0, "first", replacementPatch(t, configuration)))
	return sim
}

// loadUnconfigured builds a simulation whose store holds no configuration, and returns
// the deployment's.
func loadUnconfigured(t testing.TB, seed uint64, deployment string) (*simulation, model.Configuration) {
	sim := newSimulation(t, seed)
	var standIns model.StandIns
	readJSON(t, "../../examples/"+deployment+"/stand-ins.jsonc", &standIns)
	var configuration model.Configuration
	readJSON(t, "../../examples/"+deployment+"/configuration.jsonc", &configuration)
	for _, region := range configuration.Regions {
		for _, member := range region.Domains {
			sim.regionOf[member] = region.Name
		}
	}
	sim.listings = standIns.Listings
	for _, entry := range standIns.Servers {
		meanWorkTime := entry.ServiceTime.Duration
		sim.addServer(entry.Server, entry.Slots, func() time.Duration { return sim.jitter(meanWorkTime) })
	}
	for _, domain := range sortedKeys(standIns.Listings) {
		for _, entry := range standIns.Listings[domain].Instances {
			sim.addInstance(entry.Instance)
		}
	}
	return sim, configuration
}

func readJSON(t testing.TB, path string, value any) {
	t.Helper()
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	standard, err := hujson.Standardize(data)
	assert.NilError(t, err)
	assert.NilError(t, json.Unmarshal(standard, value))
}

func replacementPatch(t testing.TB, c model.Configuration) []byte {
	data, err := json.Marshal(c)
	assert.NilError(t, err)
	operations, err := patcher.Diff([]byte("{}"), data)
	assert.NilError(t, err)
	return operations
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// jitter returns a random duration, uniform between d/2 and 3d/2.
func (sim *simulation) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(sim.random.Int64N(int64(d)))
}

func (sim *simulation) addInstance(identity model.Instance) *simulatedInstance {
	identity.Incarnation = fmt.Sprintf("i%d", sim.random.Uint32())
	inst := &simulatedInstance{Instance: identity, alive: true, reducer: &reducer.Reducer{Self: identity, StopLimit: 30 * time.Second}}
	sim.instances[identity.Name] = inst
	offset := time.Duration(sim.random.Int64N(int64(tickInterval)))
	sim.after(offset, func() { sim.tickInstance(inst) })
	return inst
}

func (sim *simulation) tickInstance(inst *simulatedInstance) {
	if !inst.alive || sim.instances[inst.Name] != inst {
		return
	}
	sim.deliver(inst, message.Ticked{Random: sim.random.Uint64()})
	sim.after(tickInterval, func() { sim.tickInstance(inst) })
}

func (sim *simulation) after(d time.Duration, call func()) {
	sim.sequence++
	heap.Push(&sim.eventQueue, scheduledCall{at: sim.now.Add(d), sequence: sim.sequence, call: call})
}

// advance moves the clock forward by d and runs all calls due by then.
func (sim *simulation) advance(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.eventQueue) > 0 && !sim.eventQueue[0].at.After(end) {
		next := heap.Pop(&sim.eventQueue).(scheduledCall)
		sim.now = next.at
		next.call()
	}
	sim.now = end
}

// schedule runs a test's action after d of virtual time.
func (sim *simulation) schedule(d time.Duration, call func()) { sim.after(d, call) }

func (sim *simulation) deliver(inst *simulatedInstance, event message.Event) {
	if !inst.alive {
		return
	}
	if inst.paused {
		if _, ok := event.(message.Ticked); !ok || len(inst.heldEvents) == 0 {
			inst.heldEvents = append(inst.heldEvents, event)
		}
		return
	}
	start := time.Now()
	effects := slices.Clone(inst.reducer.Reduce(sim.now, event))
	sim.reducerTime += time.Since(start)
	for _, effect := range effects {
		sim.execute(inst, effect)
	}
}

func (sim *simulation) execute(inst *simulatedInstance, effect message.Effect) {
	switch x := effect.(type) {
	case message.Dispatch:
		sim.dispatch(inst, x)
	case message.Forward:
		sim.forward(inst, x)
	case message.Reply:
		sim.reply(inst, x)
	case message.Timer:
		sim.after(x.At.Sub(sim.now), func() { sim.deliver(inst, x.Event) })
	case message.SendGossip:
		sim.gossip(inst, x)
	case message.AppendRecord:
		if sim.recordRequests || x.Record.Request == "" {
			sim.records = append(sim.records, x.Record)
		}
	case message.Exit:
		inst.alive = false
		inst.exited = true
	case message.Claim:
		sim.claim(inst, x)
	case message.Settle:
		sim.callStore(inst, "settle", func() (message.Event, error) { return sim.settle(x) })
	default:
		sim.executeControl(inst, effect)
	}
}

func (sim *simulation) executeControl(inst *simulatedInstance, effect message.Effect) {
	switch x := effect.(type) {
	case message.ReadConfiguration:
		sim.callStore(inst, "read configuration", func() (message.Event, error) { return sim.readConfiguration() })
	case message.ReadTable:
		started := sim.now
		sim.callStore(inst, "read table", func() (message.Event, error) { return sim.readTable(inst, started) })
	case message.WriteTable:
		started := sim.now
		sim.callStore(inst, "write table", func() (message.Event, error) { return sim.writeTable(inst, x, started) })
	case message.ReadListing:
		sim.after(sim.store.delay, func() {
			if !sim.store.unreachableFrom[inst.Domain] {
				sim.deliver(inst, message.ListingRead{Domain: x.Domain, Listing: sim.listings[x.Domain]})
			}
		})
	case message.FetchConfiguration:
		sim.callPeer(inst, x.Peer, func(peer *simulatedInstance) message.Event {
			return headEvent(peer.reducer.ConfigurationHead(), peer.Name)
		})
	case message.FetchTable:
		sim.callPeer(inst, x.Peer, func(peer *simulatedInstance) message.Event { return message.TableFetched{Table: peer.reducer.Table()} })
	case message.PollLoad:
		sim.pollLoad(inst, x)
	}
}

func (sim *simulation) aliveNames() []string {
	var aliveNames []string
	for _, name := range sortedKeys(sim.instances) {
		if sim.instances[name].alive {
			aliveNames = append(aliveNames, name)
		}
	}
	return aliveNames
}

func base36Millis(t time.Time) string { return strconv.FormatInt(t.UnixMilli(), 36) }
