package reducer

import (
	"time"

	"github.com/yuccathread/yuccathread/internal/message"
)

const (
	// storeInterval is the time between two readings of the store by a delegate.
	storeInterval = time.Second
	// listInterval is the time between two readings of the platform's list.
	listInterval = time.Second
	// loadInterval is the time between two load reports of one server.
	loadInterval = time.Second
	// expireInterval is the time between two searches for expired records.
	expireInterval = 10 * time.Second
	// tickSlack lets an action run a tick early rather than a tick late.
	tickSlack = 50 * time.Millisecond
	// memberRetention is how long a silent instance is remembered.
	memberRetention = 10 * time.Minute
	// bootInterval is storeInterval for an instance without a configuration.
	bootInterval = 250 * time.Millisecond
)

// schedules holds the times at which periodic actions are due.
type schedules struct {
	gossip, summary, store, list, load, seeds, settle, forget time.Time
}

// due reports whether an action's time has come and sets the next one.
func (r *Reducer) due(next *time.Time, interval time.Duration) bool {
	if r.now.Before(*next) {
		return false
	}
	*next = r.now.Add(interval)
	return true
}

func (r *Reducer) tick(e message.Ticked) {
	s := &r.schedules
	if r.due(&s.gossip, r.interval()) {
		r.gossip(e.Random)
	}
	r.tickPlatform()
	if r.policy == nil {
		return
	}
	if r.due(&s.load, loadInterval) {
		r.pollLoads()
	}
	if r.due(&s.settle, settleRetry) {
		r.settleAgain()
		r.expireFlows()
	}
	if r.due(&s.forget, expireInterval) {
		r.expireKeys()
		r.expireMembers()
	}
	r.limitLinks()
	r.pumpAll()
	r.checkStop()
}

// tickPlatform reads the store and the list where this instance is to do it.
func (r *Reducer) tickPlatform() {
	s := &r.schedules
	booting := r.policy == nil || !r.table.read
	if !r.delegate() && !booting {
		return
	}
	interval := storeInterval
	if booting {
		interval = bootInterval
	}
	if r.due(&s.store, interval) {
		r.emit(message.ReadConfiguration{Version: r.head.Version})
		r.emit(message.ReadTable{})
	}
	if r.due(&s.list, listInterval) {
		r.emit(message.ReadListing{Domain: r.Self.Domain})
	}
	if r.policy != nil && r.due(&s.seeds, seedInterval) {
		r.readSeeds()
	}
	r.plan()
}

// readSeeds looks for instances of failure domains that nothing is heard of.
func (r *Reducer) readSeeds() {
	for _, region := range r.policy.Regions {
		for _, domain := range region.Domains {
			view, ok := r.members.domains[domain]
			heard := ok && view.fresh(r.now)
			if domain != r.Self.Domain && !heard {
				r.emit(message.ReadListing{Domain: domain})
			}
		}
	}
}

func (r *Reducer) pollLoads() {
	for _, a := range r.table.table.Assignments {
		if s, ok := r.servers[a.Name]; ok && s.owned {
			r.emit(message.PollLoad{Server: s.Server})
		}
	}
}

// limitLinks sets this instance's shares of the links out of its region.
func (r *Reducer) limitLinks() {
	instances := r.regionInstances()
	r.linker.Largest = r.policy.largest
	for key, bytesPerSecond := range r.policy.links {
		if key.from == r.Self.Region {
			r.linker.Limit(r.now, key.to, bytesPerSecond/float64(instances))
		}
	}
}

// regionInstances counts the instances that share the region's links. Failure
// domains count with what was last heard, however long ago, so that a cut does
// not free the shares of those behind it.
func (r *Reducer) regionInstances() int {
	total := r.ownInstances()
	for _, domain := range r.policy.domains[r.Self.Region] {
		if domain == r.Self.Domain {
			continue
		}
		instances := len(r.members.seeds[domain])
		if view, ok := r.members.domains[domain]; ok {
			instances = max(instances, view.Instances)
		}
		total += instances
	}
	return total
}

// ownInstances counts all that are known in the own failure domain.
func (r *Reducer) ownInstances() int {
	names := map[string]bool{r.Self.Name: true}
	for _, x := range r.members.seeds[r.Self.Domain] {
		names[x.Name] = true
	}
	for name := range r.members.own {
		names[name] = true
	}
	for _, x := range r.table.table.Members {
		names[x.Name] = true
	}
	return len(names)
}

// expireMembers drops instances of the own failure domain that are long gone.
func (r *Reducer) expireMembers() {
	for name, x := range r.members.own {
		if r.now.Sub(x.heard) > memberRetention {
			r.members.remove(name)
		}
	}
}
