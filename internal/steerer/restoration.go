package steerer

import (
	"time"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// formerRetention is how long a process that is known to have ended is remembered. A copy
// of the store that is older may bring it back.
const formerRetention = 30 * time.Second

// formerRecords remembers processes whose records are gone, so that a store which comes back
// from a copy does not bring them back.
type formerRecords struct {
	// servers and instances hold the times until which they are remembered. Instances are
	// known by their incarnations.
	servers   map[process]time.Time
	instances map[string]time.Time
	// returned holds the records, by name, of instances that are taken to have ended and that
	// the store holds again. One that is still there when a copy can't have brought it back any
	// more is of an instance that was only cut off from the store.
	returned map[string]traffic.Instance
}

func (f *formerRecords) initialize() {
	f.servers = make(map[process]time.Time)
	f.instances = make(map[string]time.Time)
	f.returned = make(map[string]traffic.Instance)
}

func (f *formerRecords) expire(now time.Time) {
	expire(f.servers, now)
	expire(f.instances, now)
}

// addInstance remembers an instance that has ended. One without an incarnation can't be told
// from those that follow it.
func (f *formerRecords) addInstance(incarnation string, now time.Time) {
	if incarnation != "" {
		f.instances[incarnation] = now.Add(formerRetention)
	}
}

// expire removes the entries whose time has come.
func expire[K comparable](entries map[K]time.Time, now time.Time) {
	for key, until := range entries {
		if !now.Before(until) {
			delete(entries, key)
		}
	}
}

// handleStoreRestored handles a store that has come back from a copy. Until all have written
// their records again, what it lacks may still hold, and what it holds may be over: what
// takes something away is believed, what gives it back is not. The own record is gone for
// those that read only now.
func (s *Steerer) handleStoreRestored(e traffic.StoreRestored) {
	wait := s.times().RestorationWait()
	s.store.restoredUntil = s.now.Add(wait)
	s.store.recordsDueAt = s.store.restoredUntil
	s.recordStateChange("store restored", attr("era", e.Era), attr("revision", e.Revision), attr("kept_for", wait))
	s.handleOwnRecordGone(e.Revision)
}

// isRestored reports whether the store may lack what it had acknowledged.
func (s *Steerer) isRestored() bool {
	return s.now.Before(s.store.restoredUntil)
}

// isFormer reports whether the store has brought back the record of a process that has
// ended.
func (s *Steerer) isFormer(r traffic.Upstream) bool {
	_, ended := s.former.servers[process{server: r.ID, started: r.Started}]
	return ended && s.isRestored()
}

// withKnownDraining returns a server's record with what is known of its process: one that
// drains does not come back by an older record.
func (s *Steerer) withKnownDraining(r traffic.Upstream) traffic.Upstream {
	u := s.upstreams[r.ID]
	if u != nil && u.Started == r.Started && u.Draining && s.isRestored() {
		r.Draining = true
	}
	return r
}

// isFormerInstance reports whether the store has brought back the record of an instance that
// has ended.
func (s *Steerer) isFormerInstance(i traffic.Instance) bool {
	_, ended := s.former.instances[i.Incarnation]
	return ended && s.now.Before(s.store.restoredUntil.Add(s.times().Lease()))
}

// believeReturned believes the records of instances that were taken to have ended, once the
// leases that a copy has brought back are over.
func (s *Steerer) believeReturned() {
	for name, i := range s.former.returned {
		if !s.isFormerInstance(i) {
			delete(s.former.returned, name)
			s.handleInstanceSeen(i)
		}
	}
}
