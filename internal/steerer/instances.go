package steerer

import (
	"slices"
	"strings"
	"time"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

const (
	// sizeMemory is how long the largest number of instances is remembered:
	// shares must hold also while records of running instances are missing.
	sizeMemory = 30 * time.Second
	// lookUpLifetime is short, so that callers soon leave an instance that stops.
	lookUpLifetime = time.Second
	// maxAddresses is the number of instances that a caller can use.
	maxAddresses = 64
)

// membership is what is believed about the instances.
type membership struct {
	records map[string]*member
	largest int
	seenAt  time.Time
}

type member struct {
	traffic.Instance
	gone      bool
	goneUntil time.Time
}

func (m *membership) start() {
	m.records = make(map[string]*member)
}

func (m *membership) count(now time.Time) {
	if len(m.records) >= m.largest {
		m.largest = len(m.records)
		m.seenAt = now
	}
}

// forget lets the remembered size go down after a while.
func (m *membership) forget(now time.Time) {
	if now.Sub(m.seenAt) > sizeMemory {
		m.largest = len(m.records)
		m.seenAt = now
	}
	m.count(now)
}

// size is the number of instances among which shares are divided.
func (m *membership) size() int {
	return max(m.largest, len(m.records), 1)
}

func (s *Steerer) instanceSeen(i traffic.Instance) {
	known := s.instances.records[i.Name]
	if known == nil || known.Incarnation != i.Incarnation || known.Leaving != i.Leaving {
		s.recordBelief("instance seen", attr("peer", i.Name), attr("incarnation", i.Incarnation), attr("leaving", i.Leaving))
	}
	s.instances.records[i.Name] = &member{Instance: i}
	s.instances.count(s.now)
}

func (s *Steerer) instanceGone(name string) {
	known := s.instances.records[name]
	if known == nil || known.gone {
		return
	}
	if name == s.Self.Name && s.stopping.IsZero() {
		s.emit(traffic.Reannounce{})
		return
	}
	known.gone = true
	known.goneUntil = s.doubtUntil()
	s.dropInstances()
}

// dropInstances removes instances whose records have not come back in time.
func (s *Steerer) dropInstances() {
	if s.store.away {
		return
	}
	for name, known := range s.instances.records {
		if known.gone && !s.now.Before(known.goneUntil) {
			delete(s.instances.records, name)
			s.recordBelief("instance gone", attr("peer", name), attr("incarnation", known.Incarnation))
		}
	}
}

func (s *Steerer) listInstances(names map[string]bool) {
	s.instancesListed = true
	for name := range s.instances.records {
		if !names[name] {
			s.instanceGone(name)
		}
	}
	if !names[s.Self.Name] && s.stopping.IsZero() {
		s.emit(traffic.Reannounce{})
	}
}

// lookedUp names the instances of the caller's region, or all where it has none.
func (s *Steerer) lookedUp(q traffic.Query) {
	near := s.candidates(func(i traffic.Instance) bool { return i.Region == q.Region })
	if len(near) == 0 {
		near = s.candidates(func(traffic.Instance) bool { return true })
	}
	if len(near) == 0 {
		near = []traffic.Instance{s.Self}
	}
	slices.SortFunc(near, func(a, b traffic.Instance) int { return strings.Compare(a.Name, b.Name) })
	near = near[:min(len(near), maxAddresses)]
	lifetime := lookUpLifetime
	if limit := s.Settings.Bounds.LookUpLifetime.Duration; limit > 0 {
		lifetime = min(lifetime, limit)
	}
	named := traffic.Named{Lifetime: lifetime}
	for _, i := range near {
		named.Addresses = append(named.Addresses, i.Address)
	}
	s.emit(named)
}

// candidates returns the instances that callers may use.
func (s *Steerer) candidates(fits func(traffic.Instance) bool) []traffic.Instance {
	var found []traffic.Instance
	for name, known := range s.instances.records {
		if name != s.Self.Name && !known.Leaving && fits(known.Instance) {
			found = append(found, known.Instance)
		}
	}
	if s.Ready() && fits(s.Self) {
		found = append(found, s.Self)
	}
	return found
}
