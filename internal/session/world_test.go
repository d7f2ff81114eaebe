package session

import (
	"container/heap"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/tailscale/hujson"
	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/claimer"
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

// upstream is a server with slots; over counts arrivals beyond them.
type upstream struct {
	model.Server

	slots   int
	work    func() time.Duration
	busy    int
	peak    int
	over    int
	down    bool
	hang    bool
	fail    bool
	drains  bool
	lies    bool
	cuts    bool
	arrived time.Time
}

type outcome struct {
	id     string
	kind   string
	key    string
	home   string
	due    time.Time
	at     time.Time
	result model.Result
}

type origin struct {
	node    *node
	target  *node
	id      string
	attempt int
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
func (q *queue) Push(x any)   { *q = append(*q, x.(entry)) }
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// storeFake is the platform's store: it may be away for some failure domains,
// slow, or lose the answers of writes that took effect.
type storeFake struct {
	values   map[string]model.StoreValue
	revision int64
	away     map[string]bool
	down     bool
	lose     int
	delay    time.Duration
	reads    int
	writes   int
}

var errAway = errors.New("session: the store is away")

func (s *storeFake) Get(_ context.Context, key string, newerThan int64) (model.StoreValue, error) {
	s.reads++
	if s.down {
		return model.StoreValue{}, errAway
	}
	v := s.values[key]
	if v.Revision <= newerThan {
		v.Data = nil
	}
	return v, nil
}

func (s *storeFake) Put(_ context.Context, key string, data []byte, expect int64, _ time.Duration) (model.StoreValue, error) {
	s.writes++
	if s.down {
		return model.StoreValue{}, errAway
	}
	if s.values[key].Revision != expect {
		return model.StoreValue{Revision: s.values[key].Revision, Conflict: true}, nil
	}
	s.revision++
	s.values[key] = model.StoreValue{Revision: s.revision, Data: data}
	if s.lose > 0 {
		s.lose--
		return model.StoreValue{}, errAway
	}
	return s.values[key], nil
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

func (w *world) addServer(s model.Server, slots int, work func() time.Duration) *upstream {
	u := &upstream{Server: s, slots: slots, work: work}
	w.servers[s.Name] = u
	return u
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

// kill ends an instance. Whoever has handed work to it sees the connection break.
func (w *world) kill(name string) {
	dead := w.nodes[name]
	dead.alive = false
	for _, key := range sortedKeys(w.peers) {
		o := w.peers[key]
		if o.target != dead {
			continue
		}
		delete(w.peers, key)
		w.after(w.delay(dead.Domain, o.node.Domain), func() {
			w.deliver(o.node, message.PeerAnswered{ID: o.id, Attempt: o.attempt, Result: model.Result{
				Outcome: model.Unknown, Code: model.CodePeerFailed,
			}})
		})
	}
}

func (w *world) restart(name string) *node { return w.addNode(w.nodes[name].Instance) }

func (w *world) pause(name string, d time.Duration) {
	n := w.nodes[name]
	n.paused = true
	w.after(d, func() {
		n.paused = false
		held := n.held
		n.held = nil
		for _, e := range held {
			w.deliver(n, e)
		}
	})
}

// separate cuts or heals everything between a failure domain and the others,
// the platform included.
func (w *world) separate(domain string, cut bool) {
	w.store.away[domain] = cut
	for other := range w.regions {
		if other != domain {
			w.cut[[2]string{domain, other}] = cut
			w.cut[[2]string{other, domain}] = cut
		}
	}
}

func (w *world) delay(from, to string) time.Duration {
	if w.regions[from] == w.regions[to] {
		return nearDelay
	}
	return farDelay
}

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

// storeCall runs a call with the store's delay, or fails it after its timeout.
func (w *world) storeCall(n *node, operation string, call func() (message.Event, error)) {
	if w.store.away[n.Domain] || w.store.down {
		w.after(callTimeout, func() { w.deliver(n, message.StoreFailed{Operation: operation}) })
		return
	}
	w.after(w.store.delay, func() {
		event, err := call()
		if err != nil {
			event = message.StoreFailed{Operation: operation}
		}
		if event != nil {
			w.after(w.store.delay, func() { w.deliver(n, event) })
		}
	})
}

func (w *world) readHead() (message.Event, error) {
	v, err := w.store.Get(context.Background(), model.KeyHead, 0)
	if err != nil || v.Revision == 0 {
		return nil, err
	}
	var head model.Head
	if err := json.Unmarshal(v.Data, &head); err != nil {
		return nil, err
	}
	return headEvent(head, "store"), nil
}

func headEvent(head model.Head, source string) message.Event {
	var c model.Configuration
	if err := json.Unmarshal(head.Document, &c); err != nil {
		return nil
	}
	return message.ConfigurationSeen{Head: head, Configuration: c, Source: source}
}

func (w *world) readTable(n *node, started time.Time) (message.Event, error) {
	v, err := w.store.Get(context.Background(), model.KeyTables+n.Domain, 0)
	if err != nil {
		return nil, err
	}
	read := message.TableRead{StoreRevision: v.Revision, Started: started}
	if v.Revision > 0 {
		err = json.Unmarshal(v.Data, &read.Table)
	}
	return read, err
}

func (w *world) writeTable(n *node, x message.WriteTable, started time.Time) (message.Event, error) {
	data, err := json.Marshal(x.Table)
	if err != nil {
		return nil, err
	}
	v, err := w.store.Put(context.Background(), model.KeyTables+n.Domain, data, x.StoreRevision, 0)
	return message.TableWritten{Table: x.Table, StoreRevision: v.Revision, Started: started, Conflict: v.Conflict}, err
}

func (w *world) claim(n *node, x message.Claim) {
	claimed := message.Claimed{ID: x.ID, Verdict: message.ClaimAway, Holder: x.Claim}
	if w.store.away[n.Domain] || w.store.down {
		w.after(callTimeout, func() { w.deliver(n, claimed) })
		return
	}
	w.after(w.store.delay, func() {
		c := claimer.Claimer{Store: &w.store}
		claimed := c.Claim(context.Background(), x)
		w.after(w.store.delay, func() { w.deliver(n, claimed) })
	})
}

func (w *world) settle(x message.Settle) (message.Event, error) {
	c := claimer.Claimer{Store: &w.store}
	return c.Settle(context.Background(), x), nil
}

func (w *world) reachable(a, b string) bool { return !w.cut[[2]string{a, b}] }

// ask runs a call on another instance and returns its answer to the first.
func (w *world) ask(n *node, peer model.Instance, answer func(*node) message.Event) {
	d := w.delay(n.Domain, peer.Domain)
	w.after(d, func() {
		p := w.nodes[peer.Name]
		if p == nil || !p.alive || p.paused || !w.reachable(n.Domain, p.Domain) {
			return
		}
		e := answer(p)
		if e != nil {
			w.after(d, func() { w.deliver(n, e) })
		}
	})
}

func (w *world) gossip(n *node, x message.SendGossip) {
	started := w.now
	w.traffic.add(n.Name, x.Gossip)
	w.ask(n, x.Peer, func(p *node) message.Event {
		start := time.Now()
		effects := slices.Clone(p.reducer.Reduce(w.now, message.Gossiped{Gossip: x.Gossip}))
		w.reducing += time.Since(start)
		for _, reply := range effects {
			if r, ok := reply.(message.ReplyGossip); ok {
				w.traffic.add(p.Name, r.Gossip)
				return message.GossipAnswered{Peer: x.Peer, Gossip: r.Gossip, Started: started}
			}
			w.execute(p, reply)
		}
		return nil
	})
}

func (w *world) pollLoad(n *node, x message.PollLoad) {
	w.after(serverDelay, func() {
		u := w.servers[x.Server.Name]
		if u == nil || u.down {
			return
		}
		e := message.LoadReported{Server: u.Name, Slots: u.slots, Busy: u.busy, Draining: u.drains}
		if u.lies {
			e.Busy, e.Draining = 0, false
		}
		w.after(serverDelay, func() { w.deliver(n, e) })
	})
}

// dispatch brings work to a server. A killed instance's connection closes, and
// the server gives its work up.
func (w *world) dispatch(n *node, x message.Dispatch) {
	w.after(serverDelay, func() {
		u := w.servers[x.Server.Name]
		a := message.Answered{ID: x.ID, Attempt: x.Attempt}
		if u == nil || u.down || !n.alive {
			a.Result = model.Result{Outcome: model.NotRun, Code: model.CodeUpstreamFailed}
			w.after(serverDelay, func() { w.deliver(n, a) })
			return
		}
		u.arrived = w.now
		a.Draining = u.drains
		if u.busy >= u.slots {
			u.over++
			a.Result = model.Result{Outcome: model.NotRun, Code: model.CodeUpstreamRefused}
			w.after(serverDelay, func() { w.deliver(n, a) })
			return
		}
		u.busy++
		u.peak = max(u.peak, u.busy)
		w.finish(n, u, x, a)
	})
}

func (w *world) finish(n *node, u *upstream, x message.Dispatch, a message.Answered) {
	took := u.work()
	late := x.Deadline.Sub(w.now)
	if u.hang || took > late {
		w.after(late, func() {
			w.after(cancelDelay, func() { u.busy-- })
			a.Abandoned = true
			a.Result = model.Result{Outcome: model.Unknown, Code: model.CodeDeadline}
			w.deliver(n, a)
		})
		return
	}
	w.occupied += took
	w.after(took, func() {
		u.busy--
		w.ran[requestOf(x.ID)]++
		w.places[requestOf(x.ID)] = u.Domain
		if x.Key != "" {
			w.ranKey[x.Key]++
			w.ranLast[x.Key] = w.now
		}
		a.Result = model.Result{Outcome: model.Ran, Code: model.CodeOK, Status: 200, Server: u.Name, AnswerBytes: w.answerBytes}
		if u.fail {
			a.Result.Status = 500
		}
		if u.cuts {
			a.Result = model.Result{Outcome: model.Unknown, Code: model.CodeUpstreamFailed}
		}
		w.after(serverDelay, func() { w.deliver(n, a) })
	})
}

// requestOf cuts the marks of hops off a request id.
func requestOf(id string) string {
	for i := range id {
		if id[i] == '/' {
			return id[:i]
		}
	}
	return id
}

// cross counts bytes between two regions.
func (w *world) cross(from, to string, bytes int64) {
	pair := [2]string{w.regions[from], w.regions[to]}
	if pair[0] == pair[1] {
		return
	}
	if w.crossed[pair] == nil {
		w.crossed[pair] = make(map[int64]int64)
	}
	w.crossed[pair][w.now.Unix()] += bytes
}

func (w *world) forward(n *node, x message.Forward) {
	w.cross(n.Domain, x.Peer.Domain, x.Request.BodyBytes)
	d := w.delay(n.Domain, x.Peer.Domain)
	failed := message.PeerAnswered{ID: x.ID, Attempt: x.Attempt}
	w.after(d, func() {
		p := w.nodes[x.Peer.Name]
		switch {
		case p == nil || !p.alive || p.Incarnation != x.Peer.Incarnation && x.Request.Bound:
			failed.Result = model.Result{Outcome: model.NotRun, Code: model.CodePeerFailed}
			w.after(d, func() { w.deliver(n, failed) })
			return
		case !w.reachable(n.Domain, p.Domain):
		default:
			w.peers[p.Incarnation+x.Request.ID] = origin{node: n, target: p, id: x.ID, attempt: x.Attempt}
			w.deliver(p, message.Arrived{Request: x.Request})
		}
		// Whatever is not answered in time is unknown; a second end is ignored.
		failed.Result = model.Result{Outcome: model.Unknown, Code: model.CodePeerFailed}
		w.after(x.Deadline.Sub(w.now)+tick, func() { w.deliver(n, failed) })
	})
}

func (w *world) reply(n *node, x message.Reply) {
	if _, ok := w.denied[requestOf(x.ID)]; !ok && x.Result.Outcome == model.NotRun {
		w.denied[requestOf(x.ID)] = w.now
	}
	if o, ok := w.peers[n.Incarnation+x.ID]; ok {
		delete(w.peers, n.Incarnation+x.ID)
		w.cross(n.Domain, o.node.Domain, x.Result.AnswerBytes)
		if !w.reachable(n.Domain, o.node.Domain) {
			return
		}
		w.after(w.delay(n.Domain, o.node.Domain), func() {
			w.deliver(o.node, message.PeerAnswered{ID: o.id, Attempt: o.attempt, Result: x.Result})
		})
		return
	}
	i, ok := w.index[x.ID]
	if !ok {
		return
	}
	r := &w.results[i]
	if !r.at.IsZero() {
		w.t.Errorf("request %s is answered twice", x.ID)
	}
	r.at = w.now.Add(clientDelay)
	r.result = x.Result
}

// send sends a request to an instance and returns its id.
func (w *world) send(name, kind, key string) string {
	return w.sendFrom(w.nodes[name].Domain, name, kind, key)
}

// sendFrom sends the request of a client near a failure domain.
func (w *world) sendFrom(home, name, kind, key string) string {
	w.calls++
	id := fmt.Sprintf("r%d", w.calls)
	w.index[id] = len(w.results)
	w.results = append(w.results, outcome{id: id, kind: kind, key: key, home: home, due: w.now})
	n := w.nodes[name]
	request := model.Request{ID: id, Kind: kind, Key: key, Home: home, Digest: 7, BodyBytes: w.bodyBytes}
	w.after(clientDelay, func() { w.deliver(n, message.Arrived{Request: request}) })
	return id
}

// stream sends requests of one kind at a rate, in equal steps, for a time.
func (w *world) stream(kind string, rate float64, d time.Duration, names ...string) {
	w.streamFrom("", kind, rate, d, names...)
}

// streamFrom is stream for clients near one failure domain.
func (w *world) streamFrom(home, kind string, rate float64, d time.Duration, names ...string) {
	step := time.Duration(float64(time.Second) / rate)
	end := w.now.Add(d)
	i := 0
	var next func()
	next = func() {
		if w.now.Before(end) {
			name := names[i%len(names)]
			from := home
			if from == "" {
				from = w.nodes[name].Domain
			}
			w.sendFrom(from, name, kind, "")
			i++
			w.after(step, next)
		}
	}
	w.after(time.Duration(w.random.Int64N(int64(step)+1)), next)
}

func (w *world) patch(base int64, id string, operations []byte) error {
	p := patcher.Patcher{Store: &w.store, Clock: w}
	_, err := p.Apply(context.Background(), model.Patch{
		BaseVersion: base, ChangeID: id, Author: "operator", Operations: operations,
	})
	return err
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

// checkTruth holds the outcomes against what the servers did.
func (w *world) checkTruth() {
	w.t.Helper()
	for _, r := range w.results {
		n := w.ran[r.id]
		if r.result.Outcome == model.NotRun && n > 0 {
			w.t.Errorf("request %s (%s) was told not_run (%s) and ran", r.id, r.kind, r.result.Code)
		}
		if r.result.Outcome == model.Ran && r.key == "" && n == 0 {
			w.t.Errorf("request %s (%s) was told ran and did not run", r.id, r.kind)
		}
	}
	for _, r := range w.results {
		last, ran := w.ranLast[r.key]
		if ran && r.result.Outcome == model.NotRun && w.denied[r.id].After(last) {
			w.t.Errorf("request %s was told not_run (%s) after its key %s had run", r.id, r.result.Code, r.key)
		}
	}
	for key, n := range w.ranKey {
		if n > 1 {
			w.t.Errorf("key %s ran %d times", key, n)
		}
	}
	for _, name := range sortedKeys(w.servers) {
		if u := w.servers[name]; u.over > 0 {
			w.t.Errorf("server %s was given work beyond its %d slots %d times", name, u.slots, u.over)
		}
	}
}

func base36(t time.Time) string { return strconv.FormatInt(t.UnixMilli(), 36) }
