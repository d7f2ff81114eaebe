package steerer

import (
	"iter"
	"maps"
	"time"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// departedRetention is how long an instance whose record has gone without a stop still
// counts in the division of bounds: it may be running.
const departedRetention = 30 * time.Second

// membership holds the known instances.
type membership struct {
	records map[string]*member
	// departed holds the instances whose records have gone without a stop, with the time
	// until which they count.
	departed map[string]departed
	// generation changes with the names of the instances among which bounds are divided.
	generation uint64
	// ownRevision is that of the newest write of the own record, or zero while the store
	// holds none, and ownGoneAt the newest revision as of which it held none. ownListed is
	// set once this instance has read the record. From joinedAt on every other instance
	// knows of it, and until keptUntil its lease lasts at least.
	ownRevision, ownGoneAt int64
	ownListed              bool
	joinedAt, keptUntil    time.Time
	// storedSize is the number of instances that the store remembers, also when none is
	// left, and sizePublishedAt when this instance last wrote it.
	storedSize      int
	sizePublishedAt time.Time
	// recorded is the division in the newest log line about it.
	recorded division
}

type member struct {
	traffic.Instance
	// missing is set while the store holds no record of the instance. The instance
	// is removed at keepUntil unless the record returns.
	missing   bool
	keepUntil time.Time
}

// division is how many instances are known, by how many this one divides bounds, and
// whether it has its shares of them.
type division struct {
	instances, dividedBy int
	hasShares            bool
}

type departed struct {
	traffic.Instance
	until time.Time
}

func (m *membership) initialize() {
	m.records = make(map[string]*member)
	m.departed = make(map[string]departed)
	m.generation = 1
}

// expireDeparted forgets the instances that have been gone for departedRetention.
func (m *membership) expireDeparted(now time.Time) {
	for name, d := range m.departed {
		if !now.Before(d.until) {
			delete(m.departed, name)
			m.generation++
		}
	}
}

// all returns the instances among which bounds are divided.
func (m *membership) all() iter.Seq[traffic.Instance] {
	return func(yield func(traffic.Instance) bool) {
		for _, i := range m.records {
			if !yield(i.Instance) {
				return
			}
		}
		for _, d := range m.departed {
			if !yield(d.Instance) {
				return
			}
		}
	}
}

// size returns the number of instances among which bounds are divided.
func (m *membership) size() int {
	return max(len(m.records)+len(m.departed), 1)
}

// recordDivision logs how bounds are divided, if that has changed.
func (s *Steerer) recordDivision() {
	m := &s.instances
	now := division{instances: len(m.records), dividedBy: m.size(), hasShares: s.hasShares()}
	if now == m.recorded {
		return
	}
	m.recorded = now
	s.recordStateChange("bounds divided", attr("instances", now.instances), attr("divided_by", now.dividedBy),
		attr("has_shares", now.hasShares))
}

// Division returns the number of known instances and the number by which bounds are
// divided.
func (s *Steerer) Division() (instances, dividedBy int) {
	return len(s.instances.records), s.instances.size()
}

func (s *Steerer) handleInstanceSeen(i traffic.Instance) {
	if s.isFormerInstance(i) {
		s.former.returned[i.Name] = i
		return
	}
	delete(s.former.returned, i.Name)
	if i.Name == s.Self.Name && i.Incarnation != s.Self.Incarnation && !s.instances.ownListed {
		s.lenders.formerSeen = !i.Leaving
	}
	existing := s.instances.records[i.Name]
	if existing != nil && existing.Incarnation == i.Incarnation && existing.Leaving && s.isRestored() {
		i.Leaving = true
	}
	if existing == nil || existing.Incarnation != i.Incarnation || existing.Leaving != i.Leaving {
		s.recordStateChange("instance seen", attr("peer", i.Name), attr("incarnation", i.Incarnation), attr("leaving", i.Leaving))
	}
	if existing == nil {
		s.instances.generation++
	}
	s.instances.records[i.Name] = &member{Instance: i}
	if i.Name == s.Self.Name && i.Incarnation == s.Self.Incarnation {
		s.instances.ownListed = true
	}
	delete(s.instances.departed, i.Name)
}

func (s *Steerer) handleInstanceGone(name string, revision int64) {
	delete(s.former.returned, name)
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
		if !existing.missing || s.now.Before(existing.keepUntil) {
			continue
		}
		delete(s.instances.records, name)
		s.instances.generation++
		s.former.addInstance(existing.Incarnation, s.now)
		if !existing.Leaving {
			s.instances.departed[name] = departed{Instance: existing.Instance, until: s.now.Add(departedRetention)}
		}
		s.recordStateChange("instance gone", attr("peer", name), attr("incarnation", existing.Incarnation))
	}
}

func (s *Steerer) handleInstancesListed(e traffic.InstancesListed) {
	s.instancesListed = true
	maps.DeleteFunc(s.former.returned, func(name string, _ traffic.Instance) bool { return !e.Names[name] })
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
	if e.Revision <= m.ownGoneAt {
		return
	}
	if m.ownRevision == 0 {
		m.joinedAt = s.now.Add(s.times().JoinDelay())
	}
	// A lease that had ended counts before it is renewed.
	s.checkLending()
	m.ownRevision = max(m.ownRevision, e.Revision)
	m.keptUntil = s.now.Add(e.Lasts)
	s.checkLending()
}

// handleOwnRecordGone handles the absence of the own record as of a revision. Others may
// divide bounds without this instance until the record is written again.
func (s *Steerer) handleOwnRecordGone(revision int64) {
	if m := &s.instances; revision >= m.ownRevision {
		m.ownRevision, m.ownGoneAt, m.ownListed = 0, revision, false
	}
	if s.stoppingSince.IsZero() {
		s.emit(traffic.Reannounce{Revision: revision})
	}
}

// startSize returns the number of instances among which an instance divides bounds as
// long as it may not know all of them, or zero if nobody has counted them yet.
func (m *membership) startSize() int {
	if m.storedSize == 0 {
		return 0
	}
	return max(m.storedSize, m.size())
}

// divisor returns by how many a bound of all instances is divided. Soon after this instance
// has joined the others some of them may be writing their records again, if the store has
// just come back from a copy: as many as it remembers may be running.
func (s *Steerer) divisor() int {
	m := &s.instances
	if s.now.Before(m.joinedAt.Add(s.times().JoinDelay())) {
		return max(m.size(), m.storedSize)
	}
	return m.size()
}

// publishSize writes the number of instances to the store if it differs from what the
// store holds. One instance does so.
func (s *Steerer) publishSize() {
	m := &s.instances
	if m.size() == m.storedSize || s.divisor() > m.size() || !s.hasShares() || s.store.unavailable || s.hashRank("") > 0 {
		return
	}
	if s.now.Sub(m.sizePublishedAt) < s.times().JoinDelay() {
		return
	}
	m.sizePublishedAt = s.now
	s.emit(traffic.PublishFleetSize{Instances: m.size()})
}

// joined reports whether this instance knows all instances whose records are older than
// its own, and all others know of it.
func (s *Steerer) joined() bool {
	m := &s.instances
	return m.ownListed && m.ownRevision > 0 && !s.now.Before(m.joinedAt)
}

// isCounted reports whether the others count this instance when they divide bounds: it has
// joined them, and they have not forgotten it since its lease may have ended.
func (s *Steerer) isCounted() bool {
	return s.joined() && s.now.Before(s.instances.keptUntil.Add(departedRetention))
}

// hasShares reports whether this instance may use its shares of bounds that must never be
// passed: it has joined the others, and its record's lease has not ended, so that those
// that start know of it too.
func (s *Steerer) hasShares() bool {
	return s.joined() && s.now.Before(s.instances.keptUntil)
}
