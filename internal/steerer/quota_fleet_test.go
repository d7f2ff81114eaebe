package steerer

import (
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/yuccathread/yuccathread/internal/model"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

var (
	quotaInstances     = flag.Int("quota-instances", 0, "number of instances of fleets with quotas, in place of 10 and 88")
	quotaOrganisations = flag.Int("quota-organisations", 86, "number of organisations of fleets with quotas")
)

const (
	quotaWarmUp = 9 * time.Second
	// quotaTimeout is that of a call to a lender.
	quotaTimeout = 500 * time.Millisecond
	// quotaDelay and quotaRegionDelay are the one-way delays in a region and between two.
	quotaDelay       = 500 * time.Microsecond
	quotaRegionDelay = 55 * time.Millisecond
)

// quotaFleet runs the reducers of all instances under a virtual clock with a store of records,
// callers and messages between the instances, and counts what is sent for each organisation.
type quotaFleet struct {
	now       time.Time
	started   time.Time
	random    *rand.Rand
	events    eventQueue
	sequence  int
	nodes     []*quotaNode
	callers   []*quotaCallers
	policy    traffic.Policy
	version   int64
	storeDown bool
	// cutRegion is a region that reaches neither the others nor the store.
	cutRegion string
	loss      float64
	settings  traffic.Settings
	// calmFrom is when all faults are over.
	calmFrom time.Time
	// alone is set if the instances can't call each other, and repeats if callers repeat a
	// refused request once.
	alone, repeats bool
	// records are those in the store, copied those of an earlier copy, and size is the fleet
	// size that it holds. era grows when it comes back from the copy.
	records  map[string]*quotaRecord
	copied   map[string]*quotaRecord
	era      int64
	size     int
	revision int64
	// queries and wishes count the messages to lenders and what is asked for in them, and far
	// the messages to other regions.
	queries, wishes, far int
	// waits are the times for which requests that were sent have waited for a token.
	waits []time.Duration
}

type quotaRecord struct {
	traffic.Instance
	until time.Time
}

// quotaCall is a request of some callers, which arrived in a second of the run.
type quotaCall struct {
	*quotaCallers
	second   int
	arrived  time.Time
	repeated bool
}

// quotaCallers are the callers of one organisation.
type quotaCallers struct {
	traffic.Organisation
	nodes     []int
	perSecond float64
	sent      []time.Time
	// refill is a bucket of the organisation's whole quota: what it allows is owed.
	tokens float64
	at     time.Time
	// checkFrom is the start of the first window to check after a change of the quota.
	checkFrom time.Time
	changed   bool
	// owed and served count requests by the second of their arrival.
	owed, served, arrived map[int]int
}

func quotaSettings() traffic.Settings {
	s := settings()
	d := func(n time.Duration) model.Duration { return model.Duration{Duration: n} }
	s.Bounds.Drain, s.Bounds.Apply, s.Bounds.Evacuation = d(4*time.Second), d(4*time.Second), d(5*time.Second)
	s.Bounds.QuotaWindow, s.Bounds.QuotaExcess, s.Bounds.QuotaSlack = d(5*time.Second), 0.1, 20
	return s
}

// newQuotaFleet returns a fleet with callers that send perNode requests per second for each
// instance. The organisations' rates are limit times what they usually send, and their bursts
// what that comes to in a time.
func newQuotaFleet(seed uint64, nodes, organisations int, perNode, limit float64, burst time.Duration) *quotaFleet {
	f := &quotaFleet{
		now: time.Unix(1_800_000_000, 0), random: rand.New(rand.NewPCG(seed, 7)), records: make(map[string]*quotaRecord), version: 1,
	}
	f.started, f.settings = f.now, quotaSettings()
	f.policy = policy(1)
	f.policy.Routes = f.policy.Routes[2:]
	sum := 0.0
	for i := range organisations {
		sum += math.Pow(float64(i+1), -1.2)
	}
	for i := range organisations {
		usual := perNode * float64(nodes) * math.Pow(float64(i+1), -1.2) / sum
		c := &quotaCallers{
			Organisation: traffic.Organisation{
				Name: fmt.Sprintf("org-%d", i), Keys: []string{strconv.Itoa(i)}, PerSecond: usual * limit, Burst: math.Ceil(usual * limit * burst.Seconds()),
			},
			perSecond: usual, owed: make(map[int]int), served: make(map[int]int), arrived: make(map[int]int),
		}
		f.placeCallers(c, []int{1, 3, nodes}[i%3], nodes)
		f.callers = append(f.callers, c)
	}
	f.listOrganisations()
	for i := range nodes {
		region := []string{"a", "b", "c"}[i%3]
		n := &quotaNode{fleet: f, name: fmt.Sprintf("front-%d", i), region: region, capacity: 100}
		if i%7 < 2 {
			n.capacity = 1000
		}
		f.nodes = append(f.nodes, n)
		f.schedule(time.Duration(f.random.Int64N(int64(time.Second))), n.start)
	}
	return f
}

// placeCallers moves the callers of an organisation to some instances.
func (f *quotaFleet) placeCallers(c *quotaCallers, spread, nodes int) {
	c.nodes = f.random.Perm(nodes)[:min(spread, nodes)]
}

func (f *quotaFleet) listOrganisations() {
	f.policy.Version = f.version
	f.policy.Organisations = nil
	for _, c := range f.callers {
		f.policy.Organisations = append(f.policy.Organisations, c.Organisation)
	}
}

func (f *quotaFleet) schedule(d time.Duration, run func()) {
	f.sequence++
	heap.Push(&f.events, scheduledEvent{at: f.now.Add(d), sequence: f.sequence, run: run})
}

func (f *quotaFleet) runUntil(end time.Duration) {
	for len(f.events) > 0 && !f.events[0].at.After(f.started.Add(end)) {
		x := heap.Pop(&f.events).(scheduledEvent)
		f.now = x.at
		x.run()
	}
	f.now = f.started.Add(end)
}

// run lets callers send from the end of the warm-up on.
func (f *quotaFleet) run(length time.Duration) {
	for _, c := range f.callers {
		f.schedule(quotaWarmUp-f.now.Sub(f.started), func() { f.arrivals(c, quotaWarmUp+length) })
	}
	f.runUntil(quotaWarmUp + length)
}

func (f *quotaFleet) arrivals(c *quotaCallers, end time.Duration) {
	wait := 100 * time.Millisecond
	if c.perSecond > 0 {
		wait = time.Duration(f.random.ExpFloat64() / c.perSecond * float64(time.Second))
	}
	f.schedule(wait, func() {
		if f.now.Sub(f.started) > end {
			return
		}
		if c.perSecond > 0 {
			f.arrive(c)
		}
		f.arrivals(c, end)
	})
}

func (f *quotaFleet) arrive(c *quotaCallers) {
	second := int(f.now.Sub(f.started) / time.Second)
	c.arrived[second]++
	if c.at.IsZero() {
		c.at, c.tokens = f.now, c.Burst
	}
	c.tokens = min(max(c.Burst, 1), c.tokens+f.now.Sub(c.at).Seconds()*c.PerSecond)
	c.at = f.now
	if c.tokens >= 1 {
		c.tokens--
		c.owed[second]++
	}
	f.request(quotaCall{quotaCallers: c, second: second, arrived: f.now})
}

// request passes a request to an instance.
func (f *quotaFleet) request(c quotaCall) {
	n := f.nodes[c.nodes[f.random.IntN(len(c.nodes))]]
	for tries := 0; !n.running && tries < 20; tries++ {
		n = f.nodes[f.random.IntN(len(f.nodes))]
	}
	if !n.running {
		return
	}
	n.lastCall++
	n.owners[n.lastCall] = c
	n.deliver(traffic.Arrived{Call: n.lastCall, Read: f.now, Request: traffic.Request{
		ID: fmt.Sprintf("%s/%d", n.name, n.lastCall), Host: "shop.example", HostName: "shop.example", Path: "/x", Key: c.Keys[0], Limit: 2 * time.Second,
	}})
}

// passes reports whether a message between two machines arrives.
func (f *quotaFleet) passes(n, m *quotaNode) bool {
	apart := n.region != m.region && (n.region == f.cutRegion || m.region == f.cutRegion)
	return m.running && !n.cut && !m.cut && !apart && f.random.Float64() >= f.loss
}

func (f *quotaFleet) delay(n, m *quotaNode) time.Duration {
	if n.region != m.region {
		return quotaRegionDelay
	}
	return quotaDelay + time.Duration(f.random.Int64N(int64(quotaDelay)))
}

// excess returns by how many requests an organisation's sends pass the rule in some window,
// or how many are left, as a negative number. The quota must not have changed.
func (c *quotaCallers) excess(b traffic.Bounds) float64 {
	worst := math.Inf(-1)
	allowed := (c.PerSecond*b.QuotaWindow.Seconds()+c.Burst)*(1+b.QuotaExcess) + b.QuotaSlack
	first := 0
	for first < len(c.sent) && c.sent[first].Before(c.checkFrom) {
		first++
	}
	for last := first; last < len(c.sent); last++ {
		at := c.sent[last]
		for at.Sub(c.sent[first]) > b.QuotaWindow.Duration {
			first++
		}
		worst = max(worst, float64(last-first+1)-allowed)
	}
	return worst
}

// shortfall returns the share of what the organisations were owed that they did not get, by
// the seconds from first to before last. What one gets in one second does not make up for
// another.
func (f *quotaFleet) shortfall(first, last time.Duration) float64 {
	owed, missing := 0, 0
	for _, c := range f.callers {
		for second := int(first / time.Second); second < int(last/time.Second); second++ {
			owed += c.owed[second]
			missing += max(0, c.owed[second]-c.served[second])
		}
	}
	return float64(missing) / float64(max(owed, 1))
}

func (f *quotaFleet) requests() int {
	n := 0
	for _, c := range f.callers {
		for _, arrived := range c.arrived {
			n += arrived
		}
	}
	return n
}

// checkRule fails the test if an organisation has got more than the rule allows.
func (f *quotaFleet) checkRule(t *testing.T, name string) {
	t.Helper()
	for _, c := range f.callers {
		if x := c.excess(f.settings.Bounds); x > 0 {
			t.Errorf("%s: %s: %.0f requests more than %g per second with a burst of %g allow", name, c.Name, x, c.PerSecond, c.Burst)
		}
	}
}
