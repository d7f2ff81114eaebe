// Package assigner divides a failure domain's servers among its instances.
//
// Each server has one owner, which alone dispatches to it, so that its slots
// and connections are counted in one place. The division is balanced within
// one server per service and moves as few servers as possible.
//
// Usage:
//
//	a := assigner.Assigner{Domain: "gent-a"}
//	next, changed := a.Plan(table, members, servers, now)
//
// The caller writes next to the store by compare-and-swap.
package assigner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/yuccathread/yuccathread/internal/model"
)

const (
	// maxPrevious bounds the earlier owners that a table remembers of a server.
	maxPrevious = 8
	// previousRetention is how long earlier owners are remembered. It is well above the
	// longest lease and deadline.
	previousRetention = 2 * time.Minute
)

// Assigner plans tables of one failure domain.
type Assigner struct {
	Domain string
}

// plan is one run of Plan.
type plan struct {
	next    model.Table
	members map[string]model.Instance
	former  map[string]model.Instance
	loads   map[string]map[string]int // Service, member.
	changed bool
	now     time.Time
}

// Plan returns the table that follows from the live members and the listed
// servers, and whether it differs. Servers that leave stay with their owner,
// which finishes their work, until they are no longer listed.
func (a *Assigner) Plan(
	table model.Table,
	members []model.Instance,
	servers []model.Server,
	now time.Time,
) (model.Table, bool) {
	p := &plan{
		next:    model.Table{Revision: table.Revision + 1, Domain: a.Domain},
		members: byName(members),
		former:  byName(table.Members),
		now:     now,
		loads:   make(map[string]map[string]int),
	}
	p.next.Members = slices.SortedFunc(slices.Values(members), compareInstances)
	p.changed = !slices.Equal(p.next.Members, table.Members)
	old := make(map[string]model.Assignment, len(table.Assignments))
	for _, x := range table.Assignments {
		old[x.Name] = x
	}
	sorted := slices.SortedFunc(slices.Values(servers), compareServers)
	for _, s := range sorted {
		p.carry(s, old)
	}
	p.changed = p.changed || len(sorted) != len(table.Assignments)
	p.balance()
	return p.next, p.changed
}

// carry takes a server over with its owner, if that is still a member.
func (p *plan) carry(s model.Server, old map[string]model.Assignment) {
	x, ok := old[s.Name]
	if !ok || x.Address != s.Address {
		x = model.Assignment{Server: s, SinceMS: p.now.UnixMilli(), Revision: p.next.Revision}
		p.changed = true
	}
	if x.Leaving != s.Leaving {
		x.Leaving = s.Leaving
		p.changed = true
	}
	x.Previous = slices.Clone(x.Previous)
	if x.Owner != "" {
		p.keepOwner(&x)
	}
	if x.Owner != "" && !x.Leaving {
		p.load(s.Service)[x.Owner]++
	}
	p.next.Assignments = append(p.next.Assignments, x)
}

func (p *plan) keepOwner(x *model.Assignment) {
	owner, ok := p.members[x.Owner]
	if !ok {
		p.release(x)
		return
	}
	if owner.Incarnation == x.OwnerIncarnation {
		return
	}
	p.changed = true
	// A restarted owner listens where its predecessor did, which is gone then.
	if p.former[x.Owner].PeerAddress != owner.PeerAddress {
		p.release(x)
		return
	}
	p.remember(x)
	x.OwnerIncarnation = owner.Incarnation
	x.Revision = p.next.Revision
}

// release takes a server from its owner. The owners that may still use it
// are remembered until they acknowledge the table or their lease is over.
func (p *plan) release(x *model.Assignment) {
	p.remember(x)
	x.Owner = ""
	x.OwnerIncarnation = ""
	x.Revision = p.next.Revision
	p.changed = true
}

// remember adds the owner to the earlier ones, of which it forgets those whose
// leases and work are long over.
func (p *plan) remember(x *model.Assignment) {
	if p.now.Sub(time.UnixMilli(x.ChangedMS)) > previousRetention {
		x.Previous = nil
	}
	x.ChangedMS = p.now.UnixMilli()
	x.Previous = append(x.Previous, model.Owner{Name: x.Owner, Incarnation: x.OwnerIncarnation})
	if excess := len(x.Previous) - maxPrevious; excess > 0 {
		x.Previous = x.Previous[excess:]
	}
}

// balance gives servers without an owner to the members that have fewest of
// their service, then evens out differences of more than one.
func (p *plan) balance() {
	if len(p.members) == 0 {
		return
	}
	for i := range p.next.Assignments {
		x := &p.next.Assignments[i]
		if x.Owner == "" {
			p.give(x, p.least(x.Service))
		}
	}
	for i := range p.next.Assignments {
		x := &p.next.Assignments[i]
		if x.Leaving {
			continue
		}
		least := p.least(x.Service)
		loads := p.load(x.Service)
		if loads[x.Owner]-loads[least] <= 1 {
			continue
		}
		loads[x.Owner]--
		p.release(x)
		p.give(x, least)
	}
}

func (p *plan) give(x *model.Assignment, name string) {
	x.Owner = name
	x.OwnerIncarnation = p.members[name].Incarnation
	x.Revision = p.next.Revision
	p.load(x.Service)[name]++
	p.changed = true
}

func (p *plan) load(service string) map[string]int {
	loads, ok := p.loads[service]
	if !ok {
		loads = make(map[string]int)
		p.loads[service] = loads
	}
	return loads
}

// least breaks ties by the load over all services, then by name.
func (p *plan) least(service string) string {
	return slices.MinFunc(slices.Sorted(maps.Keys(p.members)), func(a, b string) int {
		loads := p.load(service)
		return cmp.Or(cmp.Compare(loads[a], loads[b]), cmp.Compare(p.total(a), p.total(b)))
	})
}

func (p *plan) total(name string) int {
	total := 0
	for _, loads := range p.loads {
		total += loads[name]
	}
	return total
}

func byName(instances []model.Instance) map[string]model.Instance {
	m := make(map[string]model.Instance, len(instances))
	for _, i := range instances {
		m[i.Name] = i
	}
	return m
}

func compareInstances(a, b model.Instance) int {
	return cmp.Compare(a.Name, b.Name)
}

func compareServers(a, b model.Server) int {
	return cmp.Compare(a.Name, b.Name)
}
