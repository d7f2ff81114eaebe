package steerer

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// fleet runs the reducers of a whole site under a virtual clock against
// modelled servers: slots, a queue, objects at hand, cold starts. There is no
// network; a message between regions takes its time.
type fleet struct {
	t         *testing.T
	now       time.Time
	random    *rand.Rand
	events    agenda
	order     int
	instances []*bench
	servers   map[string]*modelServer
	calls     map[string]*modelCall
	sent      map[string]*modelWork
	kinds     []kind
	tally     map[string]*tally
	// windows holds the requests and those in time by two seconds of arrival.
	windows map[int]*tally
	started time.Time
}

type kind struct {
	path     string
	perS     float64 // Per region.
	work     time.Duration
	target   time.Duration
	deadline time.Duration
	objects  int // Per region.
	once     bool
	burst    func(at time.Duration) float64
}

type tally struct {
	asked, inTime, late, refused, failed int
}

func (y *tally) share() float64 { return float64(y.inTime) / float64(max(y.asked, 1)) }

type modelCall struct {
	kind    *kind
	arrived time.Time
	object  string
	done    bool
}

type agendaItem struct {
	at    time.Time
	order int
	run   func()
}

type agenda []agendaItem

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].order < a[j].order
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(agendaItem)) }
func (a *agenda) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

const (
	modelDelay     = time.Millisecond
	modelRegionWay = 55 * time.Millisecond
	modelGain      = 0.3 // The part of the work that is left where the object is at hand.
)

// newFleet makes three regions of three instances; servers gives the number of
// servers of each region.
func newFleet(t *testing.T, seed uint64, servers [3]int, kinds []kind) *fleet {
	t.Helper()
	f := &fleet{
		t: t, now: time.Unix(1_800_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)),
		servers: make(map[string]*modelServer), calls: make(map[string]*modelCall),
		sent: make(map[string]*modelWork), kinds: kinds,
		tally: make(map[string]*tally), windows: make(map[int]*tally),
	}
	f.started = f.now
	p := f.policy()
	for i := range 9 {
		region := []string{"a", "b", "c"}[i/3]
		b := newBench(t, fmt.Sprintf("front-%d", i), region+"1")
		f.instances = append(f.instances, b)
	}
	ids := make(map[string]bool)
	var records []traffic.Upstream
	for r, count := range servers {
		for i := range count {
			u := server(fmt.Sprintf("s-%d-%d", r, i), []string{"a1", "b1", "c1"}[r])
			u.Slots = 9
			ids[u.ID] = true
			records = append(records, u)
			f.servers[u.ID] = &modelServer{Upstream: u, region: u.Domain[:1], keeps: 40, slow: 1}
		}
	}
	names := make(map[string]bool)
	for _, b := range f.instances {
		names[b.Self.Name] = true
	}
	for _, b := range f.instances {
		f.give(b, traffic.PolicySeen{Policy: p})
		for _, u := range records {
			f.give(b, traffic.UpstreamSeen{Upstream: u})
		}
		f.give(b, traffic.UpstreamsListed{IDs: ids})
		for _, other := range f.instances {
			f.give(b, traffic.InstanceSeen{Instance: other.Self})
		}
		f.give(b, traffic.InstancesListed{Names: names})
	}
	return f
}

func (f *fleet) policy() traffic.Policy {
	p := policy(1)
	p.Routes = nil
	for rank, k := range f.kinds {
		p.Routes = append(p.Routes, traffic.Route{
			Name: k.path, Host: "shop.example", Prefix: k.path, Idempotent: !k.once, Rank: rank,
			Timeout: k.deadline * 2 / 3, Target: k.target, MaxAttempts: 2, Sticky: true,
			Shares: []traffic.Share{{Service: "stock", Weight: 1}},
		})
	}
	return p
}

func (f *fleet) at(d time.Duration, run func()) {
	f.order++
	heap.Push(&f.events, agendaItem{at: f.now.Add(d), order: f.order, run: run})
}

// run plays a length of time, with arrivals in all of it.
func (f *fleet) run(length time.Duration) {
	for r := range 3 {
		for i := range f.kinds {
			f.arrivals(r, &f.kinds[i], length)
		}
	}
	for _, b := range f.instances {
		f.tick(b, length)
	}
	end := f.started.Add(length + 8*time.Second)
	for len(f.events) > 0 {
		x := heap.Pop(&f.events).(agendaItem)
		if x.at.After(end) {
			return
		}
		f.now = x.at
		x.run()
	}
}

func (f *fleet) tick(b *bench, length time.Duration) {
	f.give(b, traffic.Ticked{})
	if f.now.Sub(f.started) < length {
		f.at(100*time.Millisecond, func() { f.tick(b, length) })
	}
}

func (f *fleet) arrivals(region int, k *kind, length time.Duration) {
	rate := k.perS
	if k.burst != nil {
		rate *= k.burst(f.now.Sub(f.started))
	}
	pause := time.Duration(f.random.ExpFloat64() / rate * float64(time.Second))
	f.at(pause, func() {
		if f.now.Sub(f.started) > length {
			return
		}
		f.arrive(region, k)
		f.arrivals(region, k, length)
	})
}

func (f *fleet) arrive(region int, k *kind) {
	b := f.instances[region*3+f.random.IntN(3)]
	c := &modelCall{kind: k, arrived: f.now, object: fmt.Sprintf("%d-%d", region, f.random.IntN(k.objects))}
	f.count(c).asked++
	f.window(c).asked++
	f.submit(b, c)
}

func (f *fleet) submit(b *bench, c *modelCall) {
	b.last++
	id := fmt.Sprintf("%s/%d", b.Self.Name, b.last)
	f.calls[id] = c
	number := b.last
	f.give(b, traffic.Arrived{Call: number, Read: f.now, Request: traffic.Request{
		ID: id, Host: "shop.example", Path: c.kind.path, Object: c.object, Limit: c.kind.deadline,
	}})
}

func (f *fleet) count(c *modelCall) *tally {
	return entry(f.tally, c.kind.path)
}

func (f *fleet) window(c *modelCall) *tally {
	return entry(f.windows, int(c.arrived.Sub(f.started)/(2*time.Second)))
}

func entry[K comparable](m map[K]*tally, key K) *tally {
	if m[key] == nil {
		m[key] = &tally{}
	}
	return m[key]
}

// give hands an event to an instance and acts on its effects.
func (f *fleet) give(b *bench, e traffic.Event) {
	b.now = f.now
	for _, effect := range b.do(e) {
		f.act(b, effect)
	}
}

func (f *fleet) act(b *bench, effect traffic.Effect) {
	id := func(number uint64) string { return fmt.Sprintf("%s/%d", b.Self.Name, number) }
	switch x := effect.(type) {
	case traffic.Admit:
		f.at(x.Until.Sub(f.now), func() { f.give(b, traffic.Expired{Call: x.Call}) })
	case traffic.Watch:
		f.at(x.After, func() { f.give(b, traffic.Overdue{Call: x.Call, Attempt: x.Attempt}) })
	case traffic.Send:
		w := &modelWork{instance: b, send: x, call: f.calls[id(x.Call)]}
		f.sent[fmt.Sprintf("%s/%d", id(x.Call), x.Attempt)] = w
		f.at(f.way(b, x.Upstream.ID), func() { f.reach(w) })
		f.at(x.Deadline.Sub(f.now), func() { f.cut(w, context.DeadlineExceeded) })
	case traffic.Cancel:
		w := f.sent[fmt.Sprintf("%s/%d", id(x.Call), x.Attempt)]
		f.at(0, func() { f.cut(w, context.Canceled) })
	case traffic.Deliver:
		f.finish(f.calls[id(x.Call)], x.Reply.Status < 300)
	case traffic.Answer:
		f.refused(b, f.calls[id(x.Call)], x)
	}
}

func (f *fleet) way(b *bench, id string) time.Duration {
	if f.servers[id].region != b.Self.Region {
		return modelRegionWay
	}
	return modelDelay
}

// refused comes back once after the time that it was told.
func (f *fleet) refused(b *bench, c *modelCall, a traffic.Answer) {
	left := c.kind.deadline - f.now.Sub(c.arrived)
	if a.Fate == traffic.NotRun && !c.done && left > 0 {
		c.done = true
		f.at(min(a.RetryAfter, left/3), func() {
			f.submit(b, &modelCall{kind: c.kind, arrived: c.arrived, object: c.object, done: true})
		})
		return
	}
	if a.Fate == traffic.NotRun {
		f.count(c).refused++
		return
	}
	f.count(c).failed++
}

func (f *fleet) finish(c *modelCall, ok bool) {
	took := f.now.Sub(c.arrived)
	switch {
	case !ok || took > c.kind.deadline:
		f.count(c).failed++
	case took <= c.kind.target:
		f.count(c).inTime++
		f.window(c).inTime++
	default:
		f.count(c).late++
	}
}

// worst returns the smallest share in time of any two seconds but those of the
// start, in which no server knows any object.
func (f *fleet) worst(skip time.Duration) float64 {
	worst := 1.0
	for i, y := range f.windows {
		if time.Duration(i)*2*time.Second >= skip && y.asked >= 50 {
			worst = min(worst, y.share())
		}
	}
	return worst
}

func (f *fleet) report() {
	for _, k := range f.kinds {
		f.t.Logf("%-8s %+v in time %.3f", k.path, *f.tally[k.path], f.tally[k.path].share())
	}
	f.t.Logf("worst two seconds %.3f", f.worst(4*time.Second))
}
