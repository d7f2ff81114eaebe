package reducer

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
)

const (
	// leaseDuration is how long a confirmation of the table is valid.
	leaseDuration = 4 * time.Second
	// takeoverDelay is how long a new owner leaves a server unused if the
	// previous owner has not acknowledged the table. It must exceed
	// leaseDuration.
	takeoverDelay = leaseDuration + 500*time.Millisecond
	// pauseLimit is the longest gap between two events; after a longer one, the
	// process is taken to have been paused.
	pauseLimit = 1500 * time.Millisecond
	// startupDelay is how long a new instance collects gossip before it is
	// ready and writes tables.
	startupDelay = 1500 * time.Millisecond
	// tableWriteTimeout is how long an unanswered write keeps the next one from
	// starting.
	tableWriteTimeout = 5 * time.Second
)

// tableState holds the failure domain's table and the state of reads and
// writes.
type tableState struct {
	current         model.Table
	storeRevision   int64
	storeRead       bool
	writeStarted    time.Time
	listing         *model.Listing
	listUnavailable bool
	// leavingServers names the servers that the platform's list marks as
	// leaving, read here or received from a sibling.
	leavingServers []string
}

func (r *Reducer) handleTableRead(e message.TableRead) {
	r.leaser.SetStoreUnavailable(false)
	r.table.storeRead = true
	if e.Table.Revision < r.table.current.Revision {
		// A store that lost its data is treated as unavailable: nothing may be
		// changed there.
		r.record("store_reverted", "", r.Self.Domain, "the store holds an older table", "")
		r.leaser.SetStoreUnavailable(true)
		return
	}
	r.table.storeRevision = e.StoreRevision
	r.applyTable(e.Table)
	r.leaser.Confirm(e.StartedAt)
	r.planTable()
}

func (r *Reducer) handleTableFetched(e message.TableFetched) {
	if e.Table.Domain == r.Self.Domain {
		r.applyTable(e.Table)
	}
}

func (r *Reducer) handleTableWritten(e message.TableWritten) {
	r.table.writeStarted = time.Time{}
	r.leaser.SetStoreUnavailable(false)
	if e.Conflict {
		r.record("table_conflict", "", r.Self.Domain, "another instance wrote first", "")
		r.emit(message.ReadTable{})
		return
	}
	r.record("table_written", "", r.Self.Domain, "membership or servers changed",
		"revision="+strconv.FormatInt(e.Table.Revision, 10))
	r.table.storeRevision = e.StoreRevision
	r.applyTable(e.Table)
	r.leaser.Confirm(e.StartedAt)
}

func (r *Reducer) handleStoreFailed(e message.StoreFailed) {
	if !r.leaser.StoreUnavailable() {
		r.record("store_away", "", e.Operation, "no answer", "")
	}
	r.leaser.SetStoreUnavailable(true)
	r.table.writeStarted = time.Time{}
}

// mergeTable fetches a newer table, or renews the lease if the sender confirms
// the current one.
func (r *Reducer) mergeTable(g model.Gossip, started time.Time) {
	if g.TableRevision > r.table.current.Revision {
		r.emit(message.FetchTable{Peer: g.From})
		return
	}
	if started.IsZero() || g.TableRevision < r.table.current.Revision || g.TableRevision == 0 {
		return
	}
	r.leaser.Confirm(started.Add(-g.StoreAge))
}

// applyTable applies a table with a higher revision.
func (r *Reducer) applyTable(t model.Table) {
	if t.Revision <= r.table.current.Revision {
		return
	}
	r.table.current = t
	assigned := make(map[string]bool)
	for _, a := range t.Assignments {
		if a.Owner == r.Self.Name && a.OwnerIncarnation == r.Self.Incarnation {
			assigned[a.Name] = true
			r.takeServer(a)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.servers)) {
		if s := r.servers[name]; s.owned && !assigned[name] {
			r.releaseServer(s)
		}
	}
	r.rebuildPools()
	r.record("table_applied", "", r.Self.Domain, "", "revision="+strconv.FormatInt(t.Revision, 10)+
		" servers="+strconv.Itoa(len(assigned)))
}

// takeServer starts using a server, or updates the assignment of one in use.
func (r *Reducer) takeServer(a model.Assignment) {
	s, ok := r.servers[a.Name]
	if ok && s.owned && s.Address == a.Address {
		s.Assignment = a
		return
	}
	if !ok || s.Address != a.Address {
		s = &server{}
		r.servers[a.Name] = s
	}
	s.Assignment = a
	s.owned = true
	s.drainingInList = slices.Contains(r.table.leavingServers, s.Name)
	s.coldSince = time.UnixMilli(a.SinceMS)
	s.foreign = make(map[string]int)
	s.slots = r.serviceSlots(a.Service)
	if wait := r.takeoverWait(a); wait > 0 {
		s.usableFrom = r.now.Add(wait)
		s.cautiousUntil = s.usableFrom.Add(reportedLoadPeriod)
	}
	for _, o := range a.Previous {
		if peer, ok := r.members.siblings[o.Name]; ok && peer.Incarnation == o.Incarnation {
			r.updateForeign(s, peer)
		}
	}
	r.record("server_taken", "", s.Name, "table", "usable_in="+max(0, s.usableFrom.Sub(r.now)).String())
}

// takeoverWait returns how long a server must stay unused until all previous
// owners have stopped using it.
func (r *Reducer) takeoverWait(a model.Assignment) time.Duration {
	wait := time.Duration(0)
	for _, o := range a.Previous {
		wait = max(wait, r.ownerWait(o, a))
	}
	return wait
}

// ownerWait returns how long to wait for one previous owner. One that still
// runs may go on dispatching until it acknowledges the table or its lease
// expires. One that is gone may have left requests at the server, which end by
// their deadline.
func (r *Reducer) ownerWait(o model.Owner, a model.Assignment) time.Duration {
	longest := r.longestDeadline(a.Service)
	if o.Name == r.Self.Name {
		if o.Incarnation == r.Self.Incarnation {
			return 0
		}
		return longest
	}
	peer, ok := r.members.siblings[o.Name]
	switch {
	case !ok:
		return max(takeoverDelay, longest)
	case peer.Incarnation != o.Incarnation:
		return longest
	case peer.tableRevision < a.Revision:
		return max(takeoverDelay, longest)
	}
	return 0
}

func (r *Reducer) longestDeadline(service string) time.Duration {
	longest := time.Duration(0)
	if r.policy == nil {
		return takeoverDelay
	}
	for _, k := range r.policy.kinds {
		if k.Service == service {
			longest = max(longest, k.Deadline.Duration)
		}
	}
	return longest
}

func (r *Reducer) serviceSlots(service string) int {
	if r.policy == nil {
		return 0
	}
	return r.policy.services[service].SlotsPerServer
}

func (r *Reducer) releaseServer(s *server) {
	s.owned = false
	s.foreign = nil
	r.record("server_released", "", s.Name, "table", "in_flight="+strconv.Itoa(s.inFlight))
	if s.inFlight == 0 {
		delete(r.servers, s.Name)
	}
}

// applyAcknowledgement processes a digest from a previous owner: the revision of its
// table, and how many of its requests are still in flight at servers it has
// released.
func (r *Reducer) applyAcknowledgement(peer *member) {
	for _, s := range r.servers {
		if !s.owned || !slices.Contains(s.Previous, model.Owner{Name: peer.Name, Incarnation: peer.Incarnation}) {
			continue
		}
		r.updateForeign(s, peer)
		if r.now.Before(s.usableFrom) && r.takeoverWait(s.Assignment) == 0 {
			s.usableFrom = r.now
		}
	}
}

func (r *Reducer) updateForeign(s *server, peer *member) {
	if peer.tableRevision < s.Revision {
		return
	}
	delete(s.foreign, peer.Name)
	for _, o := range peer.digest.Foreign {
		if o.Server == s.Name {
			s.foreign[peer.Name] = o.InFlight
		}
	}
}

func (r *Reducer) rebuildPools() {
	for _, p := range r.pools {
		p.servers = nil
	}
	for _, a := range r.table.current.Assignments {
		s, ok := r.servers[a.Name]
		if !ok || !s.owned {
			continue
		}
		p := r.pool(a.Service)
		p.servers = append(p.servers, s)
	}
	r.dispatchAllQueued()
}

func (r *Reducer) handleListingRead(e message.ListingRead) {
	var seeds []model.Instance
	for _, instance := range e.Listing.Instances {
		if instance.Name != r.Self.Name && !instance.Leaving {
			seeds = append(seeds, instance.Instance)
		}
	}
	r.members.seeds[e.Domain] = seeds
	r.table.listUnavailable = false
	if e.Domain == r.Self.Domain {
		listing := e.Listing
		r.table.listing = &listing
		r.table.leavingServers = findLeavingServers(listing)
		r.markDrainingFromList(r.table.leavingServers)
		r.planTable()
	}
}

func findLeavingServers(listing model.Listing) []string {
	var leaving []string
	for _, s := range listing.Servers {
		if s.Leaving {
			leaving = append(leaving, s.Name)
		}
	}
	return leaving
}

// handleListingFailed records that the platform's list could not be read. The last
// list that was read stays in use.
func (r *Reducer) handleListingFailed(e message.ListingFailed) {
	if !r.table.listUnavailable {
		r.record("list_away", "", e.Domain, "no answer", "")
	}
	r.table.listUnavailable = true
}

// planTable writes a new table if this instance is the writer and membership or
// servers have changed.
func (r *Reducer) planTable() {
	mayPlan := r.now.Sub(r.started) >= startupDelay && !r.leaser.ResumedWithin(r.now, r.members.suspectAfter())
	if !mayPlan || !r.table.storeRead || r.leaser.StoreUnavailable() || !r.isTableWriter() {
		return
	}
	if !r.table.writeStarted.IsZero() && r.now.Sub(r.table.writeStarted) < tableWriteTimeout {
		return
	}
	next, changed := r.assigner.Plan(r.table.current, r.ownerCandidates(), r.listedServers(), r.now)
	if !changed {
		return
	}
	r.table.writeStarted = r.now
	r.emit(message.WriteTable{Table: next, StoreRevision: r.table.storeRevision})
}

// ownerCandidates returns the instances that may own servers: the live ones
// that are not leaving, or, if all are leaving, the leaving ones.
func (r *Reducer) ownerCandidates() []model.Instance {
	var staying, leaving []model.Instance
	if r.stopping.active {
		leaving = append(leaving, r.Self)
	} else {
		staying = append(staying, r.Self)
	}
	for peer := range r.members.liveIn(r.now, r.Self.Domain) {
		switch {
		case peer.leaving:
			leaving = append(leaving, peer.Instance)
		case peer.ready:
			staying = append(staying, peer.Instance)
		}
	}
	if len(staying) == 0 {
		return leaving
	}
	return staying
}

func (r *Reducer) listedServers() []model.Server {
	if r.table.listing != nil {
		return r.table.listing.Servers
	}
	servers := make([]model.Server, 0, len(r.table.current.Assignments))
	for _, a := range r.table.current.Assignments {
		servers = append(servers, a.Server)
	}
	return servers
}
