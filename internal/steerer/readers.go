package steerer

import (
	"cmp"
	"slices"

	"github.com/yuccathread/yuccathread/internal/apportioner"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

const (
	// minRelayed is the number of instances of a region from which on a few of them read
	// the store for the others. Readers make more calls than an instance alone.
	minRelayed = 6
	// minReaders is the smallest number of readers, so that the others still have one if
	// another fails.
	minReaders = 2
	// instancesPerReader bounds the work of a reader.
	instancesPerReader = 16
)

// Readers returns who reads the store in this instance's region. All instances choose
// the same readers as long as they know the same instances.
func (s *Steerer) Readers() traffic.Readers {
	if !s.instancesListed || s.Self.PeerAddress == "" || !s.stoppingSince.IsZero() {
		return traffic.Readers{}
	}
	members := []traffic.Instance{s.Self}
	for name, m := range s.instances.records {
		if name != s.Self.Name && m.Region == s.Self.Region && m.PeerAddress != "" && !m.Leaving && !m.missing {
			members = append(members, m.Instance)
		}
	}
	if len(members) < minRelayed {
		return traffic.Readers{}
	}
	slices.SortFunc(members, func(a, b traffic.Instance) int {
		return cmp.Compare(apportioner.Hash("", a.Name), apportioner.Hash("", b.Name))
	})
	members = members[:max(minReaders, len(members)/instancesPerReader)]
	if slices.ContainsFunc(members, func(i traffic.Instance) bool { return i.Name == s.Self.Name }) {
		return traffic.Readers{Own: true}
	}
	// The order spreads the other instances over the readers; near ones come first.
	sortNearFirst(members, s.Self.Domain, s.Self.Name)
	var readers traffic.Readers
	for _, i := range members {
		readers.Addresses = append(readers.Addresses, i.PeerAddress)
	}
	return readers
}

// sortNearFirst sorts the instances of a failure domain before the others, and both by
// the hashes of their names with a seed.
func sortNearFirst(instances []traffic.Instance, domain, seed string) {
	slices.SortFunc(instances, func(a, b traffic.Instance) int {
		return cmp.Or(cmp.Compare(distance(a, domain), distance(b, domain)), cmp.Compare(apportioner.Hash(seed, a.Name), apportioner.Hash(seed, b.Name)))
	})
}

// distance is 0 for an instance in a failure domain and 1 for any other.
func distance(i traffic.Instance, domain string) int {
	if i.Domain == domain {
		return 0
	}
	return 1
}
