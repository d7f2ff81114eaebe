package reducer

import (
	"time"

	"github.com/yuccathread/yuccathread/internal/message"
)

const (
	// storeInterval is the time between two reads of the store by a delegate.
	storeInterval = time.Second
	// listInterval is the time between two reads of the platform's list.
	listInterval = time.Second
	// loadInterval is the time between two load reports of a server.
	loadInterval = time.Second
	// expireInterval is the time between two searches for expired records.
	expireInterval = 10 * time.Second
	// tickSlack lets an action run one tick early rather than one tick late.
	tickSlack = 50 * time.Millisecond
	// memberRetention is how long an instance is remembered after its last
	// digest.
	memberRetention = 10 * time.Minute
	// startupStoreInterval replaces storeInterval until the instance has a
	// configuration and has read a table.
	startupStoreInterval = 250 * time.Millisecond
)

// schedules holds the times at which periodic actions are next due.
type schedules struct {
	gossip, summary, store, list, load, seedLists, settle, expire time.Time
}

// due reports whether an action is due and, if so, schedules the next one.
func (r *Reducer) due(next *time.Time, interval time.Duration) bool {
	if r.now.Before(*next) {
		return false
	}
	*next = r.now.Add(interval)
	return true
}

func (r *Reducer) handleTicked(e message.Ticked) {
	s := &r.schedules
	if r.due(&s.gossip, r.gossipPeriod()) {
		r.gossip(e.Random)
	}
	r.pollPlatform()
	if r.policy == nil {
		r.checkStop()
		return
	}
	if r.due(&s.load, loadInterval) {
		r.pollLoads()
	}
	if r.due(&s.settle, settleRetryInterval) {
		r.retrySettling()
		r.expireFlows()
	}
	if r.due(&s.expire, expireInterval) {
		r.expireOnceOnlyRecords()
		r.expireMembers()
	}
	r.updateLinkLimits()
	r.dispatchAllQueued()
	r.checkStop()
}

// pollPlatform reads the store and the platform's list and plans the table, if
// this instance is a delegate or still starting up.
func (r *Reducer) pollPlatform() {
	s := &r.schedules
	startingUp := r.policy == nil || !r.table.storeRead
	if !r.isDelegate() && !startingUp {
		return
	}
	interval := storeInterval
	if startingUp {
		interval = startupStoreInterval
	}
	if r.due(&s.store, interval) {
		r.emit(message.ReadConfiguration{Version: r.head.Version})
		r.emit(message.ReadTable{})
	}
	if r.due(&s.list, listInterval) {
		r.emit(message.ReadListing{Domain: r.Self.Domain})
	}
	if r.policy != nil && r.due(&s.seedLists, seedInterval) {
		r.readSeedLists()
	}
	r.planTable()
}

// readSeedLists reads the platform's lists of failure domains without a recent
// summary, to find instances to contact.
func (r *Reducer) readSeedLists() {
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
	for _, a := range r.table.current.Assignments {
		if s, ok := r.servers[a.Name]; ok && s.owned {
			r.emit(message.PollLoad{Server: s.Server})
		}
	}
}

// updateLinkLimits sets this instance's share of each link out of its region.
func (r *Reducer) updateLinkLimits() {
	instances := r.countRegionInstances()
	r.linker.MaxMessageBytes = r.policy.largestMessage
	for key, bytesPerSecond := range r.policy.links {
		if key.from == r.Self.Region {
			r.linker.SetLimit(r.now, key.to, bytesPerSecond/float64(instances))
		}
	}
}

// countRegionInstances counts the instances that share the region's links.
// Other failure domains count with the last number they reported, however old,
// so that a network partition does not free the shares of the instances behind
// it.
func (r *Reducer) countRegionInstances() int {
	total := r.countDomainInstances()
	for _, domain := range r.policy.regionDomains[r.Self.Region] {
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

// countDomainInstances counts all known instances of this instance's failure
// domain.
func (r *Reducer) countDomainInstances() int {
	names := map[string]bool{r.Self.Name: true}
	for _, peer := range r.members.seeds[r.Self.Domain] {
		names[peer.Name] = true
	}
	for name := range r.members.siblings {
		names[name] = true
	}
	for _, peer := range r.table.current.Members {
		names[peer.Name] = true
	}
	return len(names)
}

// expireMembers removes siblings that have sent no digest for memberRetention.
func (r *Reducer) expireMembers() {
	for name, peer := range r.members.siblings {
		if r.now.Sub(peer.lastHeard) > memberRetention {
			r.members.remove(name)
		}
	}
}
