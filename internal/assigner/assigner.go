// Package assigner assigns a failure domain's servers to its instances.
//
// Each server has one owner, the only instance that dispatches to it, so that its
// slots and connections are counted in one place. Per service, the numbers of
// servers that two instances own differ by at most one, and as few servers as
// possible change their owner.
//
// Usage:
//
//	a := assigner.Assigner{Domain: "gent-a"}
//	next, changed := a.Plan(table, members, servers, now)
//
// The caller writes the next table to the store with a compare-and-swap.
package assigner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/yuccathread/yuccathread/internal/model"
)

const (
	// maxPrevious limits the previous owners that the table lists for a server.
	maxPrevious = 8
	// previousRetention is how long previous owners stay listed after the owner last
	// changed. It is well above the longest lease and deadline.
	previousRetention = 2 * time.Minute
)

// Assigner computes the assignment tables of one failure domain.
type Assigner struct {
	Domain string
}

// plan is the state of one call to Plan.
type plan struct {
	next            model.Table
	members         map[string]model.Instance
	previousMembers map[string]model.Instance
	loads           map[string]map[string]int // By service, then by name of the member.
	changed         bool
	now             time.Time
}

// Plan returns the table for the live members and the listed servers, and whether
// it differs from the given one. A server that is leaving stays with its owner,
// which finishes the work there, until the server is no longer listed.
func (a *Assigner) Plan(
	table model.Table,
	members []model.Instance,
	servers []model.Server,
	now time.Time,
) (model.Table, bool) {
	p := &plan{
		next:            model.Table{Revision: table.Revision + 1, Domain: a.Domain},
		members:         byName(members),
		previousMembers: byName(table.Members),
		now:             now,
		loads:           make(map[string]map[string]int),
	}
	p.next.Members = slices.SortedFunc(slices.Values(members), compareInstances)
	p.changed = !slices.Equal(p.next.Members, table.Members)
	previousAssignments := make(map[string]model.Assignment, len(table.Assignments))
	for _, assignment := range table.Assignments {
		previousAssignments[assignment.Name] = assignment
	}
	sorted := slices.SortedFunc(slices.Values(servers), compareServers)
	for _, server := range sorted {
		p.carryOver(server, previousAssignments)
	}
	p.changed = p.changed || len(sorted) != len(table.Assignments)
	p.balance()
	return p.next, p.changed
}

// carryOver adds a server to the next table. It keeps the owner if that is still a
// member.
func (p *plan) carryOver(server model.Server, previousAssignments map[string]model.Assignment) {
	assignment, ok := previousAssignments[server.Name]
	if !ok || assignment.Address != server.Address {
		assignment = model.Assignment{Server: server, SinceMS: p.now.UnixMilli(), Revision: p.next.Revision}
		p.changed = true
	}
	if assignment.Leaving != server.Leaving {
		assignment.Leaving = server.Leaving
		p.changed = true
	}
	assignment.Previous = slices.Clone(assignment.Previous)
	if assignment.Owner != "" {
		p.updateOwner(&assignment)
	}
	if assignment.Owner != "" && !assignment.Leaving {
		p.serviceLoads(server.Service)[assignment.Owner]++
	}
	p.next.Assignments = append(p.next.Assignments, assignment)
}

func (p *plan) updateOwner(assignment *model.Assignment) {
	owner, ok := p.members[assignment.Owner]
	if !ok {
		p.release(assignment)
		return
	}
	if owner.Incarnation == assignment.OwnerIncarnation {
		return
	}
	p.changed = true
	// If the new process of the owner listens on the peer address of the previous
	// one, the previous one no longer runs. Otherwise it may still run.
	if p.previousMembers[assignment.Owner].PeerAddress != owner.PeerAddress {
		p.release(assignment)
		return
	}
	p.recordPrevious(assignment)
	assignment.OwnerIncarnation = owner.Incarnation
	assignment.Revision = p.next.Revision
}

// release removes the owner of a server and records it as a previous one: it may
// use the server until it acknowledges the table or its lease expires, and the
// next owner waits for that.
func (p *plan) release(assignment *model.Assignment) {
	p.recordPrevious(assignment)
	assignment.Owner = ""
	assignment.OwnerIncarnation = ""
	assignment.Revision = p.next.Revision
	p.changed = true
}

// recordPrevious appends the owner to the previous ones. It first drops those
// whose leases and requests have long expired.
func (p *plan) recordPrevious(assignment *model.Assignment) {
	if p.now.Sub(time.UnixMilli(assignment.ChangedMS)) > previousRetention {
		assignment.Previous = nil
	}
	assignment.ChangedMS = p.now.UnixMilli()
	assignment.Previous = append(assignment.Previous, model.Owner{Name: assignment.Owner, Incarnation: assignment.OwnerIncarnation})
	if excess := len(assignment.Previous) - maxPrevious; excess > 0 {
		assignment.Previous = assignment.Previous[excess:]
	}
}

// balance assigns each server without an owner to the member with the fewest
// servers of its service, then moves servers away from members that own at least
// two more than the member with the fewest.
func (p *plan) balance() {
	if len(p.members) == 0 {
		return
	}
	for i := range p.next.Assignments {
		assignment := &p.next.Assignments[i]
		if assignment.Owner == "" {
			p.assign(assignment, p.leastLoaded(assignment.Service))
		}
	}
	for i := range p.next.Assignments {
		assignment := &p.next.Assignments[i]
		if assignment.Leaving {
			continue
		}
		leastLoaded := p.leastLoaded(assignment.Service)
		loads := p.serviceLoads(assignment.Service)
		if loads[assignment.Owner]-loads[leastLoaded] <= 1 {
			continue
		}
		loads[assignment.Owner]--
		p.release(assignment)
		p.assign(assignment, leastLoaded)
	}
}

func (p *plan) assign(assignment *model.Assignment, name string) {
	assignment.Owner = name
	assignment.OwnerIncarnation = p.members[name].Incarnation
	assignment.Revision = p.next.Revision
	p.serviceLoads(assignment.Service)[name]++
	p.changed = true
}

func (p *plan) serviceLoads(service string) map[string]int {
	loads, ok := p.loads[service]
	if !ok {
		loads = make(map[string]int)
		p.loads[service] = loads
	}
	return loads
}

// leastLoaded returns the member with the fewest servers of a service. It breaks
// ties by the number of servers of all services, then by name.
func (p *plan) leastLoaded(service string) string {
	return slices.MinFunc(slices.Sorted(maps.Keys(p.members)), func(a, b string) int {
		loads := p.serviceLoads(service)
		return cmp.Or(cmp.Compare(loads[a], loads[b]), cmp.Compare(p.totalLoad(a), p.totalLoad(b)))
	})
}

func (p *plan) totalLoad(name string) int {
	totalLoad := 0
	for _, loads := range p.loads {
		totalLoad += loads[name]
	}
	return totalLoad
}

func byName(instances []model.Instance) map[string]model.Instance {
	instancesByName := make(map[string]model.Instance, len(instances))
	for _, instance := range instances {
		instancesByName[instance.Name] = instance
	}
	return instancesByName
}

func compareInstances(a, b model.Instance) int {
	return cmp.Compare(a.Name, b.Name)
}

func compareServers(a, b model.Server) int {
	return cmp.Compare(a.Name, b.Name)
}
