package reducer

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccathread/yuccathread/internal/model"
)

func (r *Reducer) mergeSummary(s model.Summary) {
	if s.Domain == r.Self.Domain {
		return
	}
	view, ok := r.members.domains[s.Domain]
	if ok && view.Sequence >= s.Sequence {
		return
	}
	if !ok {
		view = &domainView{members: make(map[string]*member)}
		r.members.domains[s.Domain] = view
	}
	if len(s.Identities) == 0 && s.Roster == view.Roster {
		s.Identities = view.Identities
	}
	if len(s.Identities) != len(s.States) {
		return // The next gossip request tells the sender that the roster is missing here.
	}
	view.Summary = s
	view.lastHeard = r.now
	named := make(map[string]*member, len(s.Identities))
	for i, identity := range s.Identities {
		peer, ok := view.members[identity.Name]
		if !ok || peer.Incarnation != identity.Incarnation {
			peer = newMember(identity, r.initialRoundTrip(identity.Region))
		}
		peer.ready = true
		peer.leaving = s.States[i].Leaving
		peer.lastHeard = r.now
		peer.setPools(s.States[i].Pools)
		named[identity.Name] = peer
	}
	view.members = named
	view.sorted = sortedByName(named)
}

func (r *Reducer) initialRoundTrip(region string) time.Duration {
	if region == r.Self.Region {
		return initialNearRoundTrip
	}
	return initialFarRoundTrip
}

func (r *Reducer) knownSummaries() []model.KnownVersion {
	known := make([]model.KnownVersion, 0, len(r.members.domains))
	for _, domain := range slices.Sorted(maps.Keys(r.members.domains)) {
		view := r.members.domains[domain]
		known = append(known, model.KnownVersion{Name: hashName(domain), Sequence: view.Sequence, Roster: view.Roster})
	}
	return known
}

// hashName shortens a name to four bytes. If two names have the same hash, a
// digest or summary may be sent without need, or left out of a reply until its
// next sequence number, which costs a round of gossip.
func hashName(name string) uint32 {
	return uint32(xxhash.Sum64String(name))
}

// newerSummaries returns the summaries that are newer than the receiver's,
// without the rosters that it already has.
func (r *Reducer) newerSummaries(known []model.KnownVersion) []model.Summary {
	receiver := knownByHash(known)
	var newer []model.Summary
	add := func(s model.Summary) {
		k := receiver[hashName(s.Domain)]
		if s.Sequence <= k.Sequence {
			return
		}
		if s.Roster == k.Roster {
			s.Identities = nil
		}
		newer = append(newer, s)
	}
	add(r.ownSummary)
	for _, domain := range slices.Sorted(maps.Keys(r.members.domains)) {
		view := r.members.domains[domain]
		if view.fresh(r.now) {
			add(view.Summary)
		}
	}
	return newer
}

func knownByHash(known []model.KnownVersion) map[uint32]model.KnownVersion {
	m := make(map[uint32]model.KnownVersion, len(known))
	for _, k := range known {
		m[k.Name] = k
	}
	return m
}

// refreshSummary updates the summary of this instance's failure domain. Only
// the table writer does so, at an interval that grows with the number of
// failure domains.
func (r *Reducer) refreshSummary() {
	if r.policy == nil || !r.isTableWriter() {
		r.ownSummary = model.Summary{}
		return
	}
	interval := max(gossipInterval, summaryIntervalPerDomain*time.Duration(len(r.policy.regionOf)))
	if !r.due(&r.schedules.summary, interval-tickSlack) {
		return
	}
	r.ownSummary = r.summarize()
}

func (r *Reducer) summarize() model.Summary {
	s := model.Summary{
		Domain:        r.Self.Domain,
		Sequence:      uint64(r.now.UnixMilli()),
		Instances:     1,
		OldestVersion: r.head.Version,
		Shares:        r.shareDigests(),
	}
	add := func(i model.Instance, leaving bool, pools []model.Pool) {
		if len(s.Identities) < summaryEntries {
			s.Identities = append(s.Identities, i)
			s.States = append(s.States, model.MemberState{Leaving: leaving, Pools: pools})
		}
	}
	if r.Ready() {
		add(r.Self, r.stopping.active, r.ownDigest.Pools)
	}
	newest := r.head.Version
	for peer := range r.members.liveIn(r.now, r.Self.Domain) {
		s.Instances++
		newest = max(newest, peer.configurationVersion)
		s.OldestVersion = min(s.OldestVersion, peer.configurationVersion)
		s.Shares = append(s.Shares, peer.digest.Shares...)
		if peer.ready {
			add(peer.Instance, peer.leaving, peer.digest.Pools)
		}
	}
	for peer := range r.members.liveIn(r.now, r.Self.Domain) {
		if peer.configurationVersion < newest {
			s.Laggards = append(s.Laggards, peer.Name)
		}
	}
	if r.head.Version < newest {
		s.Laggards = append(s.Laggards, r.Self.Name)
	}
	s.Roster = hashRoster(s.Identities)
	return s
}

// hashRoster identifies a list of instances by a hash.
func hashRoster(identities []model.Instance) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, i := range identities {
		for _, text := range []string{i.Name, i.Incarnation, i.Address, i.PeerAddress} {
			_, _ = d.WriteString(text + "\n")
		}
	}
	return d.Sum64()
}
