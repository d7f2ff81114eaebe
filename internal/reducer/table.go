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
	// leaseLength is how long a confirmation of the table is good for.
	leaseLength = 4 * time.Second
	// takeoverDelay is how long a new owner leaves a server alone whose old
	// owner has not acknowledged the table. It exceeds leaseLength.
	takeoverDelay = leaseLength + 500*time.Millisecond
	// pauseLimit is the longest time between two events of a process that runs.
	pauseLimit = 1500 * time.Millisecond
	// settleTime is how long a new instance listens before it writes tables.
	settleTime = 1500 * time.Millisecond
	// tableWriteLimit bounds how long an unanswered write holds off the next.
	tableWriteLimit = 5 * time.Second
)

// tableState is the failure domain's table as this instance knows it.
type tableState struct {
	table         model.Table
	storeRevision int64
	read          bool
	writing       time.Time
	listing       *model.Listing
	listAway      bool
	// leaving names the servers that the list marks, read here or by a sibling.
	leaving []string
}

func (r *Reducer) tableRead(e message.TableRead) {
	r.leaser.StoreAway(false)
	r.table.read = true
	if e.Table.Revision < r.table.table.Revision {
		// A store that lost its data is as good as away: nothing can change there.
		r.note("store_reverted", "", r.Self.Domain, "the store holds an older table", "")
		r.leaser.StoreAway(true)
		return
	}
	r.table.storeRevision = e.StoreRevision
	r.applyTable(e.Table)
	r.leaser.Confirm(e.Started)
	r.plan()
}

func (r *Reducer) tableFetched(e message.TableFetched) {
	if e.Table.Domain == r.Self.Domain {
		r.applyTable(e.Table)
	}
}

func (r *Reducer) tableWritten(e message.TableWritten) {
	r.table.writing = time.Time{}
	r.leaser.StoreAway(false)
	if e.Conflict {
		r.note("table_conflict", "", r.Self.Domain, "another instance wrote first", "")
		r.emit(message.ReadTable{})
		return
	}
	r.note("table_written", "", r.Self.Domain, "membership or servers changed",
		"revision="+strconv.FormatInt(e.Table.Revision, 10))
	r.table.storeRevision = e.StoreRevision
	r.applyTable(e.Table)
	r.leaser.Confirm(e.Started)
}

func (r *Reducer) storeFailed(e message.StoreFailed) {
	if !r.leaser.Away() {
		r.note("store_away", "", e.Operation, "no answer", "")
	}
	r.leaser.StoreAway(true)
	r.table.writing = time.Time{}
}

// mergeTable takes confirmations of the own table from an instance that has
// the same one, and fetches a newer one.
func (r *Reducer) mergeTable(g model.Gossip, started time.Time) {
	if g.TableRevision > r.table.table.Revision {
		r.emit(message.FetchTable{Peer: g.From})
		return
	}
	if started.IsZero() || g.TableRevision < r.table.table.Revision || g.TableRevision == 0 {
		return
	}
	r.leaser.Confirm(started.Add(-g.StoreAge))
}

// applyTable takes over a table with a higher revision.
func (r *Reducer) applyTable(t model.Table) {
	if t.Revision <= r.table.table.Revision {
		return
	}
	r.table.table = t
	mine := make(map[string]bool)
	for _, a := range t.Assignments {
		if a.Owner == r.Self.Name && a.OwnerIncarnation == r.Self.Incarnation {
			mine[a.Name] = true
			r.own(a)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.servers)) {
		if s := r.servers[name]; s.owned && !mine[name] {
			r.disown(s)
		}
	}
	r.rebuildPools()
	r.note("table_applied", "", r.Self.Domain, "", "revision="+strconv.FormatInt(t.Revision, 10)+
		" servers="+strconv.Itoa(len(mine)))
}

// own starts or goes on using a server.
func (r *Reducer) own(a model.Assignment) {
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
	s.listed = slices.Contains(r.table.leaving, s.Name)
	s.cold = time.UnixMilli(a.SinceMS)
	s.foreign = make(map[string]int)
	s.slots = r.slots(a.Service)
	if wait := r.takeoverWait(a); wait > 0 {
		s.usable = r.now.Add(wait)
		s.cautious = s.usable.Add(cautionPeriod)
	}
	for _, o := range a.Previous {
		if x, ok := r.members.own[o.Name]; ok && x.Incarnation == o.Incarnation {
			r.takeForeign(s, x)
		}
	}
	r.note("server_taken", "", s.Name, "table", "usable_in="+max(0, s.usable.Sub(r.now)).String())
}

// takeoverWait is how long a server is left alone for the sake of its earlier
// owners.
func (r *Reducer) takeoverWait(a model.Assignment) time.Duration {
	wait := time.Duration(0)
	for _, o := range a.Previous {
		wait = max(wait, r.waitFor(o, a))
	}
	return wait
}

// waitFor is the wait for one earlier owner. One that runs may go on dispatching
// until it acknowledges the table or its lease is over. One that is gone may
// have left work at the server, which ends by its deadline.
func (r *Reducer) waitFor(o model.Owner, a model.Assignment) time.Duration {
	longest := r.longestDeadline(a.Service)
	if o.Name == r.Self.Name {
		if o.Incarnation == r.Self.Incarnation {
			return 0
		}
		return longest
	}
	x, ok := r.members.own[o.Name]
	switch {
	case !ok:
		return max(takeoverDelay, longest)
	case x.Incarnation != o.Incarnation:
		return longest
	case x.revision < a.Revision:
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

func (r *Reducer) slots(service string) int {
	if r.policy == nil {
		return 0
	}
	return r.policy.services[service].SlotsPerServer
}

func (r *Reducer) disown(s *server) {
	s.owned = false
	s.foreign = nil
	r.note("server_released", "", s.Name, "table", "in_flight="+strconv.Itoa(s.inFlight))
	if s.inFlight == 0 {
		delete(r.servers, s.Name)
	}
}

// acknowledge uses an instance's digest: it has applied a table, and it says
// how many of its requests are still in flight at servers given up.
func (r *Reducer) acknowledge(x *member) {
	for _, s := range r.servers {
		if !s.owned || !slices.Contains(s.Previous, model.Owner{Name: x.Name, Incarnation: x.Incarnation}) {
			continue
		}
		r.takeForeign(s, x)
		if r.now.Before(s.usable) && r.takeoverWait(s.Assignment) == 0 {
			s.usable = r.now
		}
	}
}

func (r *Reducer) takeForeign(s *server, x *member) {
	if x.revision < s.Revision {
		return
	}
	delete(s.foreign, x.Name)
	for _, o := range x.digest.Foreign {
		if o.Server == s.Name {
			s.foreign[x.Name] = o.InFlight
		}
	}
}

func (r *Reducer) rebuildPools() {
	for _, p := range r.pools {
		p.servers = nil
	}
	for _, a := range r.table.table.Assignments {
		s, ok := r.servers[a.Name]
		if !ok || !s.owned {
			continue
		}
		p := r.pool(a.Service)
		p.servers = append(p.servers, s)
	}
	r.pumpAll()
}

func (r *Reducer) listed(e message.Listed) {
	var seeds []model.Instance
	for _, x := range e.Listing.Instances {
		if x.Name != r.Self.Name && !x.Leaving {
			seeds = append(seeds, x.Instance)
		}
	}
	r.members.seeds[e.Domain] = seeds
	r.table.listAway = false
	if e.Domain == r.Self.Domain {
		listing := e.Listing
		r.table.listing = &listing
		r.table.leaving = leavingServers(listing)
		r.markListed(r.table.leaving)
		r.plan()
	}
}

func leavingServers(listing model.Listing) []string {
	var leaving []string
	for _, s := range listing.Servers {
		if s.Leaving {
			leaving = append(leaving, s.Name)
		}
	}
	return leaving
}

// listFailed goes on with the newest list that was read.
func (r *Reducer) listFailed(e message.ListFailed) {
	if !r.table.listAway {
		r.note("list_away", "", e.Domain, "no answer", "")
	}
	r.table.listAway = true
}

// plan writes a new table if this instance is the one to do it and what is
// known asks for a change.
func (r *Reducer) plan() {
	settled := r.now.Sub(r.started) >= settleTime && !r.leaser.Recovering(r.now, r.members.suspectAfter())
	if !settled || !r.table.read || r.leaser.Away() || !r.writesTable() {
		return
	}
	if !r.table.writing.IsZero() && r.now.Sub(r.table.writing) < tableWriteLimit {
		return
	}
	next, changed := r.assigner.Plan(r.table.table, r.candidates(), r.listedServers(), r.now)
	if !changed {
		return
	}
	r.table.writing = r.now
	r.emit(message.WriteTable{Table: next, StoreRevision: r.table.storeRevision})
}

// candidates returns who may own servers: the live instances that stay, or,
// where all leave, those.
func (r *Reducer) candidates() []model.Instance {
	var staying, leaving []model.Instance
	if r.stopping.active {
		leaving = append(leaving, r.Self)
	} else {
		staying = append(staying, r.Self)
	}
	for x := range r.members.in(r.now, r.Self.Domain) {
		switch {
		case x.leaving:
			leaving = append(leaving, x.Instance)
		case x.ready:
			staying = append(staying, x.Instance)
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
	servers := make([]model.Server, 0, len(r.table.table.Assignments))
	for _, a := range r.table.table.Assignments {
		servers = append(servers, a.Server)
	}
	return servers
}
