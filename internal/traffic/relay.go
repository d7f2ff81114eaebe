package traffic

import "time"

// Readers tells an instance who reads the store. The zero value means that it reads for
// itself only.
type Readers struct {
	// Own is set if the instance reads for others too.
	Own bool
	// Addresses are the addresses of the other instances that read, in the order in which
	// to ask them.
	Addresses []string
}

// IsUrgent reports whether an event takes away something that was allowed before, so that
// instances must know of it within a bound: a version of the policy, an evacuation, a server
// that leaves or names a limit, an instance that leaves or takes part in shared bounds.
func IsUrgent(e Event) bool {
	switch e := e.(type) {
	case PolicySeen, EvacuationSeen, UpstreamGone, InstanceSeen, LimitSeen:
		return true
	case UpstreamSeen:
		return e.Upstream.Draining
	}
	return false
}

// ChangesQuery asks another instance for changes of the store.
type ChangesQuery struct {
	// After is the revision up to which the asking instance knows the store, and Urgent
	// that up to which it knows the urgent changes.
	After, Urgent int64
	// Wait is how long to wait for a change.
	Wait time.Duration
}

// ChangesReply is the reply to a ChangesQuery.
type ChangesReply struct {
	// Available is set if the instance follows the store itself, is up to date and has all
	// changes since the revision of the query. Otherwise Reason says what it lacks, and the
	// other fields mean nothing.
	Available bool
	Reason    string
	// Events are changes after the revisions of the query, without those that have been
	// changed again: first the urgent ones, then the others. Revisions holds the revision
	// of each.
	Events    []Event
	Revisions []int64
	// Revision is that up to which all changes are in Events or are known to the asking
	// instance, and Urgent that up to which all urgent ones are.
	Revision, Urgent int64
	// More is set if the instance has more changes than these.
	More bool
	// Age is how old what the instance knows may be, and Waited how long it has waited
	// before it replied.
	Age, Waited time.Duration
}

// Key identifies the record that an event is about.
func Key(e Event) string {
	switch e := e.(type) {
	case PolicySeen:
		return "policy"
	case UpstreamSeen:
		return "server/" + e.Upstream.ID
	case UpstreamGone:
		return "server/" + e.ID
	case EvacuationSeen:
		return "evacuation/" + e.Domain
	case EvacuationGone:
		return "evacuation/" + e.Domain
	case InstanceSeen:
		return "instance/" + e.Instance.Name
	case InstanceGone:
		return "instance/" + e.Name
	case LimitSeen:
		return "limit/" + e.Limit.Server
	case LimitGone:
		return "limit/" + e.Server
	case FleetSizeSeen:
		return "fleet"
	}
	return ""
}
