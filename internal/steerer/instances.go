package steerer

import (
	"time"

	"github.com/yuccathread/yuccathread/internal/timekeeper"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

// sizeRetention is how long the bounds are divided by the largest number of instances
// seen. Otherwise the shares of all instances could add up to more than the bounds while
// records of running instances are missing.
const sizeRetention = 30 * time.Second

// membership holds the known instances.
type membership struct {
	records map[string]*member
	// largest is the largest number of instances seen lately, at largestAt.
	largest   int
	largestAt time.Time
	// ownRevision is that of the newest write of the own record, or zero while the store
	// holds none. From joinedAt on every other instance knows of it, and until keptUntil
	// its lease lasts at least.
	ownRevision         int64
	joinedAt, keptUntil time.Time
	// recorded and recordedSize are the numbers in the newest log line about them.
	recorded, recordedSize int
}

type member struct {
	traffic.Instance
	// missing is set while the store holds no record of the instance. The instance
	// is removed at keepUntil unless the record returns.
	missing   bool
	keepUntil time.Time
}

func (m *membership) initialize() {
	m.records = make(map[string]*member)
}

func (m *membership) updateLargest(now time.Time) {
	if len(m.records) >= m.largest {
		m.largest = len(m.records)
		m.largestAt = now
	}
}

// expireLargest lowers the largest number of instances after sizeRetention.
func (m *membership) expireLargest(now time.Time) {
	if now.Sub(m.largestAt) > sizeRetention {
		m.largest = len(m.records)
		m.largestAt = now
	}
	m.updateLargest(now)
}

// size returns the number of instances among which shares are divided.
func (m *membership) size() int {
	return max(m.largest, len(m.records), 1)
}

// recordSize logs by how many instances bounds are divided, if that has changed.
func (s *Steerer) recordSize() {
	m := &s.instances
	if len(m.records) == m.recorded && m.size() == m.recordedSize {
		return
	}
	m.recorded, m.recordedSize = len(m.records), m.size()
	s.recordStateChange("bounds divided", attr("instances", m.recorded), attr("divided_by", m.recordedSize),
		attr("has_shares", s.hasShares()))
}

// Division returns the number of known instances and the number by which bounds are
// divided.
func (s *Steerer) Division() (instances, dividedBy int) {
	return len(s.instances.records), s.instances.size()
}

func (s *Steerer) handleInstanceSeen(i traffic.Instance) {
	existing := s.instances.records[i.Name]
	if existing == nil || existing.Incarnation != i.Incarnation || existing.Leaving != i.Leaving {
		s.recordStateChange("instance seen", attr("peer", i.Name), attr("incarnation", i.Incarnation), attr("leaving", i.Leaving))
	}
	s.instances.records[i.Name] = &member{Instance: i}
	s.instances.updateLargest(s.now)
}

func (s *Steerer) handleInstanceGone(name string, revision int64) {
	existing := s.instances.records[name]
	if existing == nil || existing.missing {
		return
	}
	if name == s.Self.Name {
		s.handleOwnRecordGone(revision)
		return
	}
	existing.missing = true
	existing.keepUntil = s.missingRecordDeadline()
	s.removeMissingInstances()
}

// removeMissingInstances removes the instances whose records have not returned in
// time.
func (s *Steerer) removeMissingInstances() {
	if s.store.unavailable {
		return
	}
	for name, existing := range s.instances.records {
		if existing.missing && !s.now.Before(existing.keepUntil) {
			delete(s.instances.records, name)
			s.recordStateChange("instance gone", attr("peer", name), attr("incarnation", existing.Incarnation))
		}
	}
}

func (s *Steerer) handleInstancesListed(e traffic.InstancesListed) {
	s.instancesListed = true
	for name := range s.instances.records {
		if !e.Names[name] {
			s.handleInstanceGone(name, e.Revision)
		}
	}
	if !e.Names[s.Self.Name] {
		s.handleOwnRecordGone(e.Revision)
	}
}

// handleRecordKept handles a write of the own record or the renewal of its lease.
func (s *Steerer) handleRecordKept(e traffic.RecordKept) {
	m := &s.instances
	if m.ownRevision == 0 {
		times := timekeeper.Timekeeper{Bounds: s.Settings.Bounds}
		m.joinedAt = s.now.Add(times.JoinDelay())
	}
	m.ownRevision = max(m.ownRevision, e.Revision)
	m.keptUntil = s.now.Add(e.Lasts)
}

// handleOwnRecordGone handles the absence of the own record as of a revision. Others may
// divide bounds without this instance until the record is written again.
func (s *Steerer) handleOwnRecordGone(revision int64) {
	if revision >= s.instances.ownRevision {
		s.instances.ownRevision = 0
	}
	if s.stoppingSince.IsZero() {
		s.emit(traffic.Reannounce{Revision: revision})
	}
}

// hasShares reports whether this instance may use its shares of bounds that all instances
// keep together: it knows all instances whose records are older than its own, and all of
// them know of it.
func (s *Steerer) hasShares() bool {
	m := &s.instances
	own := m.records[s.Self.Name]
	listed := own != nil && own.Incarnation == s.Self.Incarnation
	return listed && m.ownRevision > 0 && !s.now.Before(m.joinedAt) && s.now.Before(m.keptUntil)
}
