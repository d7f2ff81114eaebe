package traffic

import "time"

// Readers tells an instance who reads the store. The zero value means that it reads for
// itself only.
type Readers struct {
	// Own is set if the instance reads for others too.
	Own bool
	// Addresses are the addresses of the instances that read for it, in the order in
	// which to ask them.
	Addresses []string
}

// IsUrgent reports whether an event forbids what was allowed before, so that instances
// must know of it within a bound.
func IsUrgent(e Event) bool {
	switch e := e.(type) {
	case PolicySeen, EvacuationSeen, UpstreamGone:
		return true
	case UpstreamSeen:
		return e.Upstream.Draining
	case InstanceSeen:
		return e.Instance.Leaving
	}
	return false
}

// ChangesQuery asks another instance for changes of the store.
type ChangesQuery struct {
	// After is the revision up to which the asking instance knows the store.
	After int64
	// Wait is how long to wait for a change.
	Wait time.Duration
}

// ChangesReply is the reply to a ChangesQuery.
type ChangesReply struct {
	// Available is set if the instance follows the store itself and has all changes
	// since the revision of the query. Otherwise the other fields mean nothing.
	Available bool
	// Events are the changes after the revision of the query, in order.
	Events []Event
	// Revision is the revision up to which the instance knows the store.
	Revision int64
}
