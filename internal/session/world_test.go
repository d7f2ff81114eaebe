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
	tick        = 100 * time.Millisecond
	callTimeout = time.Second
	nearDelay   = time.Millisecond
	farDelay    = 55 * time.Millisecond
	clientDelay = 3 * time.Millisecond
	serverDelay = 200 * time.Microsecond
	// cancelDelay is how long a server takes to notice a cancellation.
	cancelDelay = 10 * time.Millisecond
)

// world is a fleet under a virtual clock. Faults are set between steps.
type world struct {
	t      testing.TB
	now    time.Time
	begin  time.Time
	queue  queue
	order  uint64
	random *rand.Rand

	nodes   map[string]*node
	servers map[string]*upstream
	// regions of failure domains.
	regions map[string]string
	cut     map[[2]string]bool
	store   storeFake
	listing map[string]model.Listing
	records []model.Record
	// recording keeps records about single requests too.
	recording bool
	// crossed holds the bytes sent between regions by second.
	crossed map[[2]string]map[int64]int64
	// traffic counts gossip if set; reducing is the time spent in reducers.
	traffic  *traffic
	reducing time.Duration
	// bodyBytes and answerBytes are the sizes of requests and answers.
	bodyBytes, answerBytes int64
	// occupied is the slot time used so far.
	occupied time.Duration
	results  []outcome
	index    map[string]int
	peers    map[string]origin
	calls    int
	// ran counts executions by request and by key.
	ran     map[string]int
	ranKey  map[string]int
	ranLast map[string]time.Time
	// denied tells when it was first said that a request did not run. The word
	// may reach the caller later, when another request with its key has run.
	denied map[string]time.Time
	// places tells where each request ran.
	places map[string]string
}

// node is an entry instance. A stopped clock (paused) keeps its events back.
type node struct {
	model.Instance

	reducer *reducer.Reducer
	alive   bool
	paused  bool
	exited  bool
	held    []message.Event
}

type entry struct {
	at    time.Time
	order uint64
	do    func()
}

type queue []entry

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *queue) Push(x any) { *q = append(*q, x.(entry)) }

func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// Now makes the world a clock.Clock.
func (w *world) Now() time.Time { return w.now }

func newWorld(t testing.TB, seed uint64) *world {
	begin := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	return &world{
		t: t, now: begin, begin: begin, random: rand.New(rand.NewPCG(seed, 1)),
		nodes: make(map[string]*node), servers: make(map[string]*upstream),
		regions: make(map[string]string), cut: make(map[[2]string]bool),
		store:   storeFake{values: make(map[string]model.StoreValue), away: make(map[string]bool), delay: nearDelay},
		listing: make(map[string]model.Listing), peers: make(map[string]origin),
		ran: make(map[string]int), ranKey: make(map[string]int), index: make(map[string]int), ranLast: make(map[string]time.Time),
		crossed: make(map[[2]string]map[int64]int64), bodyBytes: 100,
		places: make(map[string]string), denied: make(map[string]time.Time),
	}
}

// load builds a deployment from its example files.
func load(t testing.TB, seed uint64, deployment string) *world {
	w := newWorld(t, seed)
	var s model.StandIns
	readJSON(t, "../../examples/"+deployment+"/stand-ins.jsonc", &s)
	var c model.Configuration
	readJSON(t, "../../examples/"+deployment+"/configuration.jsonc", &c)
	for _, r := range c.Regions {
		for _, d := range r.Domains {
			w.regions[d] = r.Name
		}
	}
	w.listing = s.Listings
	for _, x := range s.Servers {
		work := x.Work.Duration
		w.addServer(x.Server, x.Slots, func() time.Duration { return w.jitter(work) })
	}
	assert.NilError(t, w.patch(0, "first", document(t, c)))
	for _, domain := range sortedKeys(s.Listings) {
		for _, x := range s.Listings[domain].Instances {
			w.addNode(x.Instance)
		}
	}
	return w
}

func readJSON(t testing.TB, name string, to any) {
	t.Helper()
	data, err := os.ReadFile(name)
	assert.NilError(t, err)
	standard, err := hujson.Standardize(data)
	assert.NilError(t, err)
	assert.NilError(t, json.Unmarshal(standard, to))
}

func document(t testing.TB, c model.Configuration) []byte {
	data, err := json.Marshal(c)
	assert.NilError(t, err)
	operations, err := patcher.Replacement([]byte("{}"), data)
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

// jitter spreads a time by half of it, evenly, around its mean.
func (w *world) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(w.random.Int64N(int64(d)))
}

func (w *world) addNode(i model.Instance) *node {
	i.Incarnation = fmt.Sprintf("i%d", w.random.Uint32())
	n := &node{Instance: i, alive: true, reducer: &reducer.Reducer{Self: i, StopLimit: 30 * time.Second}}
	w.nodes[i.Name] = n
	offset := time.Duration(w.random.Int64N(int64(tick)))
	w.after(offset, func() { w.tickNode(n) })
	return n
}

func (w *world) tickNode(n *node) {
	if !n.alive || w.nodes[n.Name] != n {
		return
	}
	w.deliver(n, message.Ticked{Random: w.random.Uint64()})
	w.after(tick, func() { w.tickNode(n) })
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, entry{at: w.now.Add(d), order: w.order, do: do})
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		x := heap.Pop(&w.queue).(entry)
		w.now = x.at
		x.do()
	}
	w.now = end
}

// at runs an action later in the session.
func (w *world) at(d time.Duration, do func()) { w.after(d, do) }

func (w *world) deliver(n *node, e message.Event) {
	if !n.alive {
		return
	}
	if n.paused {
		if _, ok := e.(message.Ticked); !ok || len(n.held) == 0 {
			n.held = append(n.held, e)
		}
		return
	}
	start := time.Now()
	effects := slices.Clone(n.reducer.Reduce(w.now, e))
	w.reducing += time.Since(start)
	for _, x := range effects {
		w.execute(n, x)
	}
}

func (w *world) execute(n *node, effect message.Effect) {
	switch x := effect.(type) {
	case message.Dispatch:
		w.dispatch(n, x)
	case message.Forward:
		w.forward(n, x)
	case message.Reply:
		w.reply(n, x)
	case message.Timer:
		w.after(x.At.Sub(w.now), func() { w.deliver(n, x.Event) })
	case message.SendGossip:
		w.gossip(n, x)
	case message.Note:
		if w.recording || x.Record.Request == "" {
			w.records = append(w.records, x.Record)
		}
	case message.Exit:
		n.alive = false
		n.exited = true
	case message.Claim:
		w.claim(n, x)
	case message.Settle:
		w.storeCall(n, "settle", func() (message.Event, error) { return w.settle(x) })
	default:
		w.executeControl(n, effect)
	}
}

func (w *world) executeControl(n *node, effect message.Effect) {
	switch x := effect.(type) {
	case message.ReadConfiguration:
		w.storeCall(n, "read configuration", func() (message.Event, error) { return w.readHead() })
	case message.ReadTable:
		started := w.now
		w.storeCall(n, "read table", func() (message.Event, error) { return w.readTable(n, started) })
	case message.WriteTable:
		started := w.now
		w.storeCall(n, "write table", func() (message.Event, error) { return w.writeTable(n, x, started) })
	case message.ReadListing:
		w.after(w.store.delay, func() {
			if !w.store.away[n.Domain] {
				w.deliver(n, message.Listed{Domain: x.Domain, Listing: w.listing[x.Domain]})
			}
		})
	case message.FetchConfiguration:
		w.ask(n, x.Peer, func(p *node) message.Event { return headEvent(p.reducer.Head(), p.Name) })
	case message.FetchTable:
		w.ask(n, x.Peer, func(p *node) message.Event { return message.TableFetched{Table: p.reducer.Table()} })
	case message.PollLoad:
		w.pollLoad(n, x)
	}
}

func (w *world) names() []string {
	var names []string
	for _, name := range sortedKeys(w.nodes) {
		if w.nodes[name].alive {
			names = append(names, name)
		}
	}
	return names
}

func base36(t time.Time) string { return strconv.FormatInt(t.UnixMilli(), 36) }
