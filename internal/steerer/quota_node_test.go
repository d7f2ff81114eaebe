package steerer

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// quotaNode is a machine with the process that runs on it, if one does.
type quotaNode struct {
	*Steerer
	fleet      *quotaFleet
	name       string
	region     string
	capacity   int
	generation int
	running    bool
	// cut is set while the machine reaches nothing, and storeCut while it does not reach the
	// store.
	cut, storeCut bool
	frozenUntil   time.Time
	lastCall      uint64
	known         map[string]string
	storeLost     bool
	era           int64
	owners        map[uint64]quotaCall
}

// start starts a process on the machine.
func (n *quotaNode) start() {
	f := n.fleet
	if !n.reachesStore() {
		f.schedule(200*time.Millisecond, n.start)
		return
	}
	n.generation++
	n.running, n.storeLost, n.era = true, false, f.era
	n.known, n.owners = make(map[string]string), make(map[uint64]quotaCall)
	domain := n.region + "1"
	n.Steerer = &Steerer{Settings: f.settings, Self: traffic.Instance{
		Name: n.name, Domain: domain, Region: n.region, Address: n.name + ":80", PeerAddress: n.name, Capacity: n.capacity,
		Incarnation: fmt.Sprint(n.generation),
	}}
	if f.alone {
		n.Self.PeerAddress = ""
	}
	ids := make(map[string]bool)
	n.deliver(traffic.StoreEraSeen{Era: traffic.FirstEra + f.era})
	n.deliver(traffic.PolicySeen{Policy: f.policy, Revision: f.version})
	for _, d := range []string{"a1", "b1", "c1"} {
		u := server("s-"+d, d)
		u.Slots = 200
		ids[u.ID] = true
		n.deliver(traffic.UpstreamSeen{Upstream: u})
	}
	n.deliver(traffic.UpstreamsListed{IDs: ids})
	n.follow(n.generation)
	n.deliver(traffic.ServingStarted{})
	n.renew(n.generation)
	n.tick(n.generation)
}

// stop ends the process at once.
func (n *quotaNode) stop() {
	n.running = false
	n.generation++
}

func (n *quotaNode) reachesStore() bool {
	return !n.fleet.storeDown && !n.cut && !n.storeCut && n.fleet.cutRegion != n.region && !n.fleet.now.Before(n.frozenUntil)
}

func (n *quotaNode) tick(generation int) {
	if n.generation != generation {
		return
	}
	n.deliver(traffic.Ticked{})
	n.fleet.schedule(100*time.Millisecond, func() { n.tick(generation) })
}

// follow reads the records of the store now and then.
func (n *quotaNode) follow(generation int) {
	f := n.fleet
	if n.generation != generation {
		return
	}
	if n.reachesStore() {
		n.read()
	} else if !n.storeLost && !f.now.Before(n.frozenUntil) {
		n.storeLost = true
		n.deliver(traffic.StoreLost{Err: errors.New("no response")})
	}
	f.schedule(500*time.Millisecond+time.Duration(f.random.Int64N(int64(1500*time.Millisecond))), func() { n.follow(generation) })
}

func (n *quotaNode) read() {
	f := n.fleet
	if n.storeLost {
		n.storeLost = false
		n.deliver(traffic.StoreRegained{})
	}
	if n.era != f.era {
		n.era = f.era
		n.deliver(traffic.StoreRestored{Era: f.era, Revision: f.revision})
	}
	n.deliver(traffic.PolicySeen{Policy: f.policy, Revision: f.version})
	n.deliver(traffic.FleetSizeSeen{Instances: f.size})
	names := make(map[string]bool)
	for _, other := range f.nodes {
		r := f.records[other.name]
		if r == nil || f.now.After(r.until) {
			delete(n.known, other.name)
			continue
		}
		names[r.Name] = true
		if key := fmt.Sprint(r.Incarnation, r.Leaving); n.known[r.Name] != key {
			n.known[r.Name] = key
			n.deliver(traffic.InstanceSeen{Instance: r.Instance})
		}
	}
	f.revision++
	n.deliver(traffic.InstancesListed{Names: names, Revision: f.revision})
}

// renew writes the record, or renews its lease.
func (n *quotaNode) renew(generation int) {
	f := n.fleet
	if n.generation != generation {
		return
	}
	times := n.times()
	wait := times.RenewInterval()
	n.announce()
	if !n.reachesStore() {
		wait = times.LeaseRetryInterval()
	}
	f.schedule(wait, func() { n.renew(generation) })
}

// announce writes the record under a new lease.
func (n *quotaNode) announce() {
	f := n.fleet
	if !n.reachesStore() || !n.running {
		return
	}
	f.revision++
	f.records[n.name] = &quotaRecord{Instance: n.Self, until: f.now.Add(n.times().Lease())}
	n.deliver(traffic.RecordKept{Revision: f.revision, Lasts: n.times().Lease()})
}

// deliver passes an event to the process, once it is not frozen, and applies the effects.
func (n *quotaNode) deliver(e traffic.Event) {
	f := n.fleet
	if f.now.Before(n.frozenUntil) {
		generation := n.generation
		f.schedule(n.frozenUntil.Sub(f.now), func() {
			if n.generation == generation {
				n.deliver(e)
			}
		})
		return
	}
	for _, x := range slices.Clone(n.Reduce(f.now, e)) {
		n.apply(x)
	}
}

func (n *quotaNode) later(d time.Duration, e traffic.Event) {
	generation := n.generation
	n.fleet.schedule(d, func() {
		if n.generation == generation {
			n.deliver(e)
		}
	})
}

func (n *quotaNode) apply(x traffic.Effect) {
	f := n.fleet
	switch x := x.(type) {
	case traffic.Admit:
		n.later(x.Until.Sub(f.now), traffic.Expired{Call: x.Call})
	case traffic.Send:
		c := n.owners[x.Call]
		c.sent = append(c.sent, f.now)
		n.later(100*time.Millisecond, traffic.Ended{Call: x.Call, Attempt: x.Attempt, Outcome: successOutcome()})
		c.served[c.second]++
		f.waits = append(f.waits, f.now.Sub(c.arrived))
	case traffic.Refuse:
		if c := n.owners[x.Call]; f.repeats && !c.repeated {
			c.repeated = true
			f.schedule(x.RetryAfter, func() { f.request(c) })
		}
	case traffic.PublishFleetSize:
		f.size = x.Instances
	case traffic.Reannounce:
		f.schedule(5*time.Millisecond, n.announce)
	case traffic.AskLender:
		n.ask(x)
	}
}

// ask carries a query to a lender and its reply back. What is lost or late fails.
func (n *quotaNode) ask(x traffic.AskLender) {
	f := n.fleet
	f.queries++
	f.wishes += len(x.Query.Wishes)
	generation := n.generation
	open := true
	f.schedule(quotaTimeout, func() {
		if open && n.generation == generation {
			open = false
			n.deliver(traffic.LenderFailed{Number: x.Number, Err: errors.New("timeout")})
		}
	})
	i := slices.IndexFunc(f.nodes, func(m *quotaNode) bool { return m.name == x.Address })
	m := f.nodes[i]
	if m.region != n.region {
		f.far++
	}
	f.schedule(f.delay(n, m), func() {
		if !f.passes(n, m) {
			return
		}
		f.schedule(max(0, m.frozenUntil.Sub(f.now)), func() {
			if !m.running {
				return
			}
			for _, effect := range slices.Clone(m.Reduce(f.now, traffic.QuotaWanted{Query: x.Query})) {
				reply, ok := effect.(traffic.QuotaReply)
				if !ok || !f.passes(n, m) {
					continue
				}
				f.schedule(f.delay(n, m), func() {
					if open && n.generation == generation {
						open = false
						n.deliver(traffic.QuotaLent{Number: x.Number, Reply: reply})
					}
				})
			}
		})
	})
}
