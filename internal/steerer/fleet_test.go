package steerer

import (
	"cmp"
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// fleet simulates a whole site: it runs the reducers of all instances under a
// virtual clock against simulated servers with slots, a queue and a cache of
// objects. Messages are delayed instead of sent over a network, for longer between
// regions.
type fleet struct {
	t         *testing.T
	now       time.Time
	random    *rand.Rand
	events    eventQueue
	sequence  int
	instances []*testBench
	servers   map[string]*simServer
	calls     map[string]*simCall
	sent      map[string]*simAttempt
	kinds     []requestKind
	totals    map[string]*outcomeCounts
	// windows counts requests, and those answered in time, by the two-second window in
	// which they arrived.
	windows map[int]*outcomeCounts
	started time.Time
	// perRegion is the number of instances in each region.
	perRegion int
	fleetCallers
	// took holds the response times by the kind of request.
	took map[string][]time.Duration
	// worked is the time for which servers have worked, and wasted the part of it whose
	// responses nobody got.
	worked, wasted time.Duration
	// ejections counts the ejections of servers.
	ejections int
	// second counts the attempts at further servers.
	second int
}

type requestKind struct {
	path          string
	ratePerSecond float64 // In each region.
	work          time.Duration
	target        time.Duration
	deadline      time.Duration
	objects       int // In each region.
	nonIdempotent bool
	// tailShare is the share of executions that take tailFactor times as long.
	tailShare, tailFactor float64
	burst                 func(at time.Duration) float64
}

type outcomeCounts struct {
	requests, inTime, late, refused, failed int
}

func (c *outcomeCounts) inTimeShare() float64 {
	return float64(c.inTime) / float64(max(c.requests, 1))
}

type simCall struct {
	kind         *requestKind
	organisation string
	arrived      time.Time
	object       string
	retries      int
}

type scheduledEvent struct {
	at       time.Time
	sequence int
	run      func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

const (
	simLocalDelay     = time.Millisecond
	simRegionDelay    = 55 * time.Millisecond
	simCachedFraction = 0.3 // The fraction of the work that remains if the object is cached.
)

// newFleet returns a fleet of three regions with three instances each. servers
// is the number of servers in each region.
func newFleet(t *testing.T, seed uint64, servers [3]int, kinds []requestKind) *fleet {
	t.Helper()
	return newFleetOf(t, seed, 3, servers, kinds)
}

// newFleetOf returns a fleet of three regions with perRegion instances each.
func newFleetOf(t *testing.T, seed uint64, perRegion int, servers [3]int, kinds []requestKind) *fleet {
	t.Helper()
	return newSizedFleet(t, seed, perRegion, servers, kinds, fleetCallers{})
}

// newSizedFleet returns such a fleet whose callers belong to organisations.
func newSizedFleet(t *testing.T, seed uint64, perRegion int, servers [3]int, kinds []requestKind, callers fleetCallers) *fleet {
	t.Helper()
	f := &fleet{
		perRegion: perRegion, fleetCallers: callers,
		t: t, now: time.Unix(1_800_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)),
		servers: make(map[string]*simServer), calls: make(map[string]*simCall),
		sent: make(map[string]*simAttempt), kinds: kinds,
		totals: make(map[string]*outcomeCounts), windows: make(map[int]*outcomeCounts),
		took: make(map[string][]time.Duration),
	}
	f.started = f.now
	p := f.policy()
	for i := range 3 * perRegion {
		region := []string{"a", "b", "c"}[i/perRegion]
		b := newTestBench(t, fmt.Sprintf("front-%d", i), region+"1")
		f.instances = append(f.instances, b)
	}
	ids := make(map[string]bool)
	var records []traffic.Upstream
	for r, count := range servers {
		for i := range count {
			u := server(fmt.Sprintf("s-%d-%d", r, i), []string{"a1", "b1", "c1"}[r])
			u.Slots = cmp.Or(f.slots, 9)
			ids[u.ID] = true
			records = append(records, u)
			f.servers[u.ID] = &simServer{Upstream: u, region: u.Domain[:1], cacheSize: 40, slowdown: 1}
		}
	}
	names := make(map[string]bool)
	for _, b := range f.instances {
		names[b.Self.Name] = true
	}
	for _, b := range f.instances {
		f.deliver(b, traffic.PolicySeen{Policy: p})
		for _, u := range records {
			f.deliver(b, traffic.UpstreamSeen{Upstream: u})
		}
		f.deliver(b, traffic.UpstreamsListed{IDs: ids})
		for _, other := range f.instances {
			f.deliver(b, traffic.InstanceSeen{Instance: other.Self})
		}
		f.deliver(b, traffic.InstancesListed{Names: names})
		b.join()
		f.started = b.now
	}
	f.now = f.started
	return f
}

func (f *fleet) policy() traffic.Policy {
	p := policy(1)
	p.Routes = nil
	for rank, k := range f.kinds {
		p.Routes = append(p.Routes, traffic.Route{
			Name: k.path, Host: "shop.example", Prefix: k.path, Idempotent: !k.nonIdempotent, Rank: rank,
			Timeout: k.deadline * 2 / 3, Target: k.target, MaxAttempts: 2, Sticky: true,
			Shares: []traffic.Share{{Service: "stock", Weight: 1}},
		})
	}
	p.Organisations = f.listed()
	for i := range p.Organisations {
		p.Organisations[i].Ranked, p.Organisations[i].Rank = f.oneRank, 1
	}
	return p
}

func (f *fleet) schedule(d time.Duration, run func()) {
	f.sequence++
	heap.Push(&f.events, scheduledEvent{at: f.now.Add(d), sequence: f.sequence, run: run})
}

// run simulates arrivals for the given length of time, then up to eight more seconds
// without new arrivals.
func (f *fleet) run(length time.Duration) {
	for r := range 3 {
		for i := range f.kinds {
			f.scheduleArrivals(r, &f.kinds[i], length)
		}
	}
	for _, b := range f.instances {
		f.tick(b, length)
	}
	end := f.started.Add(length + 8*time.Second)
	for len(f.events) > 0 {
		x := heap.Pop(&f.events).(scheduledEvent)
		if x.at.After(end) {
			return
		}
		f.now = x.at
		x.run()
	}
}

func (f *fleet) tick(b *testBench, length time.Duration) {
	f.deliver(b, traffic.Ticked{})
	if f.now.Sub(f.started) < length {
		f.schedule(100*time.Millisecond, func() { f.tick(b, length) })
	}
}

func (f *fleet) scheduleArrivals(region int, k *requestKind, length time.Duration) {
	rate := k.ratePerSecond
	if k.burst != nil {
		rate *= k.burst(f.now.Sub(f.started))
	}
	rate *= f.demandOf(f.now.Sub(f.started))
	interval := time.Duration(f.random.ExpFloat64() / rate * float64(time.Second))
	f.schedule(interval, func() {
		if f.now.Sub(f.started) > length {
			return
		}
		f.arrive(region, k)
		f.scheduleArrivals(region, k, length)
	})
}

func (f *fleet) arrive(region int, k *requestKind) {
	b := f.instances[region*f.perRegion+f.random.IntN(f.perRegion)]
	c := &simCall{kind: k, arrived: f.now, object: fmt.Sprintf("%d-%d", region, f.random.IntN(k.objects))}
	if o := f.drawOrganisation(f.now.Sub(f.started), f.random); o != nil {
		c.organisation = o.name
		if o.instances > 0 {
			b = f.instances[region*f.perRegion+(o.first+f.random.IntN(o.instances))%f.perRegion]
		}
	}
	f.countsOf(c).requests++
	f.windowOf(c).requests++
	f.observeArrival(c)
	f.submit(b, c)
}

func (f *fleet) submit(b *testBench, c *simCall) {
	b.lastCall++
	id := fmt.Sprintf("%s/%d", b.Self.Name, b.lastCall)
	f.calls[id] = c
	number := b.lastCall
	f.deliver(b, traffic.Arrived{Call: number, Read: f.now, Request: traffic.Request{
		ID: id, Host: "shop.example", HostName: "shop.example", Path: c.kind.path, Object: c.object, Limit: c.kind.deadline,
		Key: c.organisation,
	}})
}

func (f *fleet) countsOf(c *simCall) *outcomeCounts {
	return getOrCreate(f.totals, c.kind.path)
}

func (f *fleet) windowOf(c *simCall) *outcomeCounts {
	return getOrCreate(f.windows, int(c.arrived.Sub(f.started)/(2*time.Second)))
}

func getOrCreate[K comparable](m map[K]*outcomeCounts, key K) *outcomeCounts {
	if m[key] == nil {
		m[key] = &outcomeCounts{}
	}
	return m[key]
}

// deliver passes an event to an instance and applies the effects.
func (f *fleet) deliver(b *testBench, e traffic.Event) {
	b.now = f.now
	for _, effect := range b.handle(e) {
		f.apply(b, effect)
	}
}

func (f *fleet) apply(b *testBench, effect traffic.Effect) {
	id := func(number uint64) string { return fmt.Sprintf("%s/%d", b.Self.Name, number) }
	switch x := effect.(type) {
	case traffic.Admit:
		f.schedule(x.Until.Sub(f.now), func() { f.deliver(b, traffic.Expired{Call: x.Call}) })
	case traffic.StartOverdueTimer:
		f.schedule(x.After, func() { f.deliver(b, traffic.Overdue{Call: x.Call, Attempt: x.Attempt}) })
	case traffic.Send:
		a := &simAttempt{instance: b, send: x, call: f.calls[id(x.Call)], sentAt: f.now}
		if x.Attempt > 1 {
			f.second++
		}
		f.sent[fmt.Sprintf("%s/%d", id(x.Call), x.Attempt)] = a
		f.schedule(f.delay(b, x.Upstream.ID), func() { f.receive(a) })
		f.schedule(x.Deadline.Sub(f.now), func() { f.abort(a, context.DeadlineExceeded) })
	case traffic.Cancel:
		a := f.sent[fmt.Sprintf("%s/%d", id(x.Call), x.Attempt)]
		f.schedule(0, func() { f.abort(a, context.Canceled) })
	case traffic.Record:
		if x.Message == "server ejected" {
			f.ejections++
		}
	case traffic.Deliver:
		f.finish(f.calls[id(x.Call)], x.Reply.Status < 300)
	case traffic.Refuse:
		f.handleRefusal(b, f.calls[id(x.Call)], x)
	}
}

func (f *fleet) delay(b *testBench, id string) time.Duration {
	if f.servers[id].region != b.Self.Region {
		return simRegionDelay
	}
	return simLocalDelay
}

// handleRefusal simulates a caller that gets a refusal: it retries once after
// the Retry-After delay, or as the callers of the fleet do.
func (f *fleet) handleRefusal(b *testBench, c *simCall, refusal traffic.Refuse) {
	remaining := c.kind.deadline - f.now.Sub(c.arrived)
	if wait, again := f.waitOf(c, refusal, remaining); again {
		next := *c
		next.retries++
		f.schedule(wait, func() { f.submit(b, &next) })
		return
	}
	if refusal.Fate == traffic.NotRun {
		f.countsOf(c).refused++
		return
	}
	f.countsOf(c).failed++
}

func (f *fleet) finish(c *simCall, ok bool) {
	took := f.now.Sub(c.arrived)
	f.observe(c, ok && took <= c.kind.target)
	f.took[c.kind.path] = append(f.took[c.kind.path], took)
	switch {
	case !ok || took > c.kind.deadline:
		f.countsOf(c).failed++
	case took <= c.kind.target:
		f.countsOf(c).inTime++
		f.windowOf(c).inTime++
	default:
		f.countsOf(c).late++
	}
}

// worstWindow returns the smallest share of requests answered in time among the
// two-second windows. It skips the start, when the servers' caches are empty.
func (f *fleet) worstWindow(skip time.Duration) float64 {
	worst := 1.0
	for i, counts := range f.windows {
		if time.Duration(i)*2*time.Second >= skip && counts.requests >= 50 {
			worst = min(worst, counts.inTimeShare())
		}
	}
	return worst
}

// inTimeShare returns the share of all requests that were answered in time.
func (f *fleet) inTimeShare() float64 {
	var sum outcomeCounts
	for _, counts := range f.totals {
		sum.requests += counts.requests
		sum.inTime += counts.inTime
	}
	return sum.inTimeShare()
}

func (f *fleet) report() {
	for _, k := range f.kinds {
		f.t.Logf("%-8s %+v in time %.3f", k.path, *f.totals[k.path], f.totals[k.path].inTimeShare())
	}
	f.t.Logf("worst two seconds: %.3f in time", f.worstWindow(4*time.Second))
}
