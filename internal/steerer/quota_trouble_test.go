package steerer

import (
	"flag"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

var quotaSeeds = flag.Int("quota-seeds", 30, "number of random fleets with quotas in trouble")

const (
	quotasChanged = "quotas changed"

	minFault = 500 * time.Millisecond
	maxFault = 25 * time.Second
)

// restart kills the process on a machine and starts another one after a time.
func (n *quotaNode) restart(after time.Duration) {
	if !n.running {
		return
	}
	n.stop()
	n.fleet.schedule(after, n.start)
}

// restartInOrder tells the process to stop, ends it in the grace time, and starts another.
func (n *quotaNode) restartInOrder() {
	if !n.running || n.fleet.now.Before(n.frozenUntil) {
		return
	}
	n.deliver(traffic.StopRequested{})
	n.announce()
	generation := n.generation
	n.fleet.schedule(3*time.Second, func() {
		if n.generation == generation {
			n.stop()
			delete(n.fleet.records, n.name)
			n.fleet.schedule(time.Second, n.start)
		}
	})
}

// lapse ends all leases in the store.
func (f *quotaFleet) lapse() {
	f.records = make(map[string]*quotaRecord)
}

// restore brings the store back as it was when copied was last set.
func (f *quotaFleet) restore() {
	f.era++
	f.records = maps.Clone(f.copied)
}

// change changes quotas: of each organisation one in three, to an eighth, to four times as
// much, or to nothing and back.
func (f *quotaFleet) change() {
	f.version++
	for _, c := range f.callers {
		switch f.random.IntN(6) {
		case 0:
			c.PerSecond, c.Burst = c.PerSecond/8, c.Burst/8
		case 1:
			c.PerSecond, c.Burst = c.PerSecond*4, c.Burst*4
		default:
			continue
		}
		c.changed = true
	}
	f.listOrganisations()
	f.calmFrom = maxTime(f.calmFrom, f.now)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// checkChanged makes the rule hold for changed quotas from one window after all instances have
// been in touch for as long as a change may take.
func (f *quotaFleet) checkChanged() {
	b := f.settings.Bounds
	for _, c := range f.callers {
		if c.changed {
			c.checkFrom = f.calmFrom.Add(b.Reconnect.Duration + b.Apply.Duration + b.QuotaWindow.Duration)
		}
	}
}

// disturb brings about a few faults at random times, and returns what they are.
func (f *quotaFleet) disturb(length time.Duration) []string {
	var names []string
	for range 1 + f.random.IntN(5) {
		at := quotaWarmUp + time.Duration(f.random.Int64N(int64(length/3)))
		name, fault := f.fault()
		names = append(names, fmt.Sprintf("%s at %s", name, at))
		f.schedule(at, fault)
		if name != quotasChanged {
			// The longest fault and a restart after it.
			f.calmFrom = maxTime(f.calmFrom, f.started.Add(at+maxFault+4*time.Second))
		}
	}
	return names
}

func (f *quotaFleet) fault() (name string, run func()) {
	length := minFault + time.Duration(f.random.Int64N(int64(maxFault)))
	some := f.nodes[:1+f.random.IntN(len(f.nodes))]
	if f.random.IntN(2) == 0 {
		some = some[len(some)-1:]
	}
	each := func(do func(n *quotaNode)) func() {
		return func() {
			for _, n := range some {
				do(n)
			}
		}
	}
	switch f.random.IntN(10) {
	case 0:
		region := []string{"a", "b", "c"}[f.random.IntN(3)]
		return "region cut off", func() {
			f.cutRegion = region
			f.schedule(length, func() { f.cutRegion = "" })
		}
	case 1:
		return "instances cut off", each(func(n *quotaNode) {
			n.cut = true
			f.schedule(length, func() { n.cut = false })
		})
	case 2:
		return "instances cut off from the store", each(func(n *quotaNode) {
			n.storeCut = true
			f.schedule(length, func() { n.storeCut = false })
		})
	case 3:
		return "frozen", each(func(n *quotaNode) { n.frozenUntil = f.now.Add(length) })
	case 4:
		return "killed", each(func(n *quotaNode) { n.restart(length) })
	case 5:
		return "restarted in order", each(func(n *quotaNode) { n.restartInOrder() })
	case 6:
		lapse := f.random.IntN(2) == 0
		return "store away", func() {
			f.storeDown = true
			f.schedule(length, func() {
				f.storeDown = false
				if lapse {
					f.lapse()
				}
			})
		}
	case 7:
		return "store restored", func() {
			f.copied = maps.Clone(f.records)
			f.schedule(3*time.Second, func() { f.storeDown = true })
			f.schedule(4*time.Second, func() {
				f.storeDown = false
				f.restore()
			})
		}
	case 8:
		return "messages lost", func() {
			f.loss = 0.3
			f.schedule(length, func() { f.loss = 0 })
		}
	}
	return quotasChanged, f.change
}

// Guards against more requests than a quota allows while instances, links and the store fail:
// organisations that always ask for more than they may have get no more than that in any
// window. The rule leaves nothing for requests that are held up, since here none is.
func TestQuotaInTrouble(t *testing.T) {
	worst := -1e9
	for seed := range *quotaSeeds {
		f := newQuotaFleet(uint64(seed), 9, 3, 12, 1, []time.Duration{shortBurst, longBurst}[seed%2])
		f.settings.Bounds.QuotaExcess, f.settings.Bounds.QuotaSlack = 0, 0
		for _, c := range f.callers {
			c.perSecond *= 3
			f.placeCallers(c, len(f.nodes), len(f.nodes))
		}
		names := f.disturb(36 * time.Second)
		f.run(36 * time.Second)
		f.checkChanged()
		f.checkRule(t, fmt.Sprintf("seed %d: %v", seed, names))
		for _, c := range f.callers {
			worst = max(worst, c.excess(f.settings.Bounds))
		}
	}
	t.Logf("%d seeds: %.1f requests beyond the rule at worst", *quotaSeeds, worst)
}

// Guards against two instances that lend from one slot where the store turns some instances away
// until their leases have lapsed, and lets them return, while others stop and start.
func TestQuotaWhileLeasesLapseAndReturn(t *testing.T) {
	worst := -1e9
	for seed := range *quotaSeeds {
		f := newQuotaFleet(uint64(seed), 9, 3, 12, 1, []time.Duration{shortBurst, longBurst}[seed%2])
		f.settings.Bounds.QuotaExcess, f.settings.Bounds.QuotaSlack = 0, 0
		for _, c := range f.callers {
			c.perSecond *= 3
			f.placeCallers(c, len(f.nodes), len(f.nodes))
		}
		names := f.turnAway()
		f.run(50 * time.Second)
		f.checkRule(t, fmt.Sprintf("seed %d: %v", seed, names))
		for _, c := range f.callers {
			worst = max(worst, c.excess(f.settings.Bounds))
		}
	}
	t.Logf("%d seeds: %.1f requests beyond the rule at worst", *quotaSeeds, worst)
}

// turnAway cuts some instances off from the store for 6 to 14 s and restarts some others
// meanwhile. It returns what happens.
func (f *quotaFleet) turnAway() []string {
	var names []string
	order := f.random.Perm(len(f.nodes))
	away := 1 + f.random.IntN(4)
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(f.random.Int64N(int64(high-low)))
	}
	for _, i := range order[:away] {
		n, at, length := f.nodes[i], quotaWarmUp+between(2*time.Second, 5*time.Second), between(6*time.Second, 14*time.Second)
		names = append(names, fmt.Sprintf("%s turned away at %s for %s", n.name, at, length))
		f.schedule(at, func() { n.storeCut = true })
		f.schedule(at+length, func() { n.storeCut = false })
	}
	for _, i := range order[away : away+f.random.IntN(5)] {
		n, at, length := f.nodes[i], quotaWarmUp+between(2*time.Second, 18*time.Second), between(time.Second, 6*time.Second)
		if f.random.IntN(2) == 0 {
			names = append(names, fmt.Sprintf("%s killed at %s for %s", n.name, at, length))
			f.schedule(at, func() { n.restart(length) })
			continue
		}
		names = append(names, fmt.Sprintf("%s restarted in order at %s", n.name, at))
		f.schedule(at, n.restartInOrder)
	}
	return names
}

// Guards against more than a lower quota allows from one window after it is in force
// everywhere, and against an organisation that gets twice its burst as it goes and comes back.
func TestChangesOfQuotas(t *testing.T) {
	for seed := range uint64(10) {
		f := newQuotaFleet(seed, 9, 6, 12, 1, longBurst)
		for _, c := range f.callers {
			c.perSecond *= 3
			f.placeCallers(c, len(f.nodes), len(f.nodes))
		}
		at := quotaWarmUp + 3*time.Second
		f.schedule(at, f.change)
		f.schedule(at+8*time.Second, func() {
			f.version++
			f.policy.Version = f.version
			f.policy.Organisations = f.policy.Organisations[:3]
		})
		f.schedule(at+9*time.Second, func() {
			f.version++
			f.listOrganisations()
		})
		f.run(20 * time.Second)
		b := f.settings.Bounds
		for _, c := range f.callers {
			if c.changed {
				c.checkFrom = f.started.Add(at + b.Apply.Duration + b.QuotaWindow.Duration)
			}
		}
		f.checkRule(t, fmt.Sprintf("seed %d", seed))
	}
}
