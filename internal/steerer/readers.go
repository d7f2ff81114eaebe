package steerer

import (
	"cmp"
	"math/bits"
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
	sortByRank(members)
	members = members[:max(minReaders, len(members)/instancesPerReader)]
	readers := traffic.Readers{Own: slices.ContainsFunc(members, func(i traffic.Instance) bool { return i.Name == s.Self.Name })}
	// The order spreads the other instances over the readers; near ones come first.
	sortNearFirst(members, s.Self.Domain, s.Self.Name)
	for _, i := range members {
		if i.Name != s.Self.Name {
			readers.Addresses = append(readers.Addresses, i.PeerAddress)
		}
	}
	return readers
}

// sortByRank sorts the instances of a region by how well they suit as readers: strong ones
// come first, since a reader's link and processor carry the news for many others, and those
// of the failure domains take turns.
func sortByRank(members []traffic.Instance) {
	slices.SortFunc(members, func(a, b traffic.Instance) int {
		return cmp.Or(cmp.Compare(strength(b), strength(a)), cmp.Compare(apportioner.Hash("", a.Name), apportioner.Hash("", b.Name)))
	})
	type group struct {
		domain   string
		strength int
	}
	turns := make(map[group]int)
	turnOf := make(map[string]int, len(members))
	for _, i := range members {
		g := group{i.Domain, strength(i)}
		turnOf[i.Name] = turns[g]
		turns[g]++
	}
	slices.SortStableFunc(members, func(a, b traffic.Instance) int {
		return cmp.Or(cmp.Compare(strength(b), strength(a)), cmp.Compare(turnOf[a.Name], turnOf[b.Name]))
	})
}

// strength is an instance's capacity on a coarse scale, so that small differences do not
// matter: one more for each doubling.
func strength(i traffic.Instance) int {
	return bits.Len(uint(max(i.Capacity, 0)))
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
