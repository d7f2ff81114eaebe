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
		return // The sender will be told that the roster is missing here.
	}
	view.Summary = s
	view.heard = r.now
	named := make(map[string]*member, len(s.Identities))
	for i, identity := range s.Identities {
		x, ok := view.members[identity.Name]
		if !ok || x.Incarnation != identity.Incarnation {
			x = newMember(identity, r.guessRoundTrip(identity.Region))
		}
		x.ready = true
		x.leaving = s.States[i].Leaving
		x.heard = r.now
		x.update(s.States[i].Pools)
		named[identity.Name] = x
	}
	view.members = named
	view.sorted = sorted(named)
}

func (r *Reducer) guessRoundTrip(region string) time.Duration {
	if region == r.Self.Region {
		return nearRoundTrip
	}
	return farRoundTrip
}

func (r *Reducer) knownSummaries() []model.Known {
	known := make([]model.Known, 0, len(r.members.domains))
	for _, domain := range slices.Sorted(maps.Keys(r.members.domains)) {
		view := r.members.domains[domain]
		known = append(known, model.Known{Name: hash(domain), Sequence: view.Sequence, Roster: view.Roster})
	}
	return known
}

// hash shortens a name to four bytes. Two names with one hash only cost bytes
// or a round: whatever is newer comes again with the next sequence.
func hash(name string) uint32 {
	return uint32(xxhash.Sum64String(name))
}

// newerSummaries returns what is newer than known, without rosters that are known.
func (r *Reducer) newerSummaries(known []model.Known) []model.Summary {
	has := byKnown(known)
	var newer []model.Summary
	add := func(s model.Summary) {
		k := has[hash(s.Domain)]
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

func byKnown(known []model.Known) map[uint32]model.Known {
	m := make(map[uint32]model.Known, len(known))
	for _, k := range known {
		m[k.Name] = k
	}
	return m
}

// refreshSummary describes the own failure domain to the others. Only one
// instance does it, at a pace that the number of failure domains sets.
func (r *Reducer) refreshSummary() {
	if r.policy == nil || !r.writesTable() {
		r.ownSummary = model.Summary{}
		return
	}
	pace := max(gossipInterval, summaryPace*time.Duration(len(r.policy.regionOf)))
	if !r.due(&r.schedules.summary, pace-tickSlack) {
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
	for x := range r.members.in(r.now, r.Self.Domain) {
		s.Instances++
		newest = max(newest, x.version)
		s.OldestVersion = min(s.OldestVersion, x.version)
		s.Shares = append(s.Shares, x.digest.Shares...)
		if x.ready {
			add(x.Instance, x.leaving, x.digest.Pools)
		}
	}
	for x := range r.members.in(r.now, r.Self.Domain) {
		if x.version < newest {
			s.Laggards = append(s.Laggards, x.Name)
		}
	}
	if r.head.Version < newest {
		s.Laggards = append(s.Laggards, r.Self.Name)
	}
	s.Roster = rosterOf(s.Identities)
	return s
}

// rosterOf identifies a list of instances.
func rosterOf(identities []model.Instance) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, i := range identities {
		for _, text := range []string{i.Name, i.Incarnation, i.Address, i.PeerAddress} {
			_, _ = d.WriteString(text + "\n")
		}
	}
	return d.Sum64()
}
