package reducer

import (
	"cmp"
	"maps"
	"slices"

	"github.com/yuccathread/yuccathread/internal/model"
)

func (r *Reducer) mergeDigest(d model.Digest) {
	if d.Name == r.Self.Name || d.Domain != r.Self.Domain {
		return
	}
	peer, ok := r.members.siblings[d.Name]
	if ok && peer.Incarnation == d.Incarnation && peer.sequence >= d.Sequence {
		return
	}
	if !ok || peer.Incarnation != d.Incarnation {
		if ok && peer.sequence > d.Sequence {
			return
		}
		peer = newMember(d.Instance, initialNearRoundTrip)
		r.members.add(peer)
		r.record("instance_seen", "", d.Name, "gossip", d.Incarnation)
	}
	if d.Leaving && !peer.leaving {
		r.record("instance_leaving", "", d.Name, "gossip", "")
	}
	peer.sequence = d.Sequence
	peer.lastHeard = r.now
	peer.digest = d
	peer.leaving = d.Leaving
	peer.ready = d.Ready
	peer.configurationVersion = d.ConfigurationVersion
	peer.tableRevision = d.TableRevision
	peer.setPools(d.Pools)
	r.applyAcknowledgement(peer)
	if d.Listed && !r.isDelegate() {
		r.table.leavingServers = d.Draining
		r.markDrainingFromList(d.Draining)
	}
}

// refreshDigest updates this instance's digest. Sequence numbers are wall-clock
// times, so that a restarted instance has higher ones than before.
func (r *Reducer) refreshDigest() {
	r.ownDigest = model.Digest{
		Instance:             r.Self,
		Sequence:             uint64(r.now.UnixMilli()),
		Leaving:              r.stopping.active,
		Ready:                r.Ready(),
		ConfigurationVersion: r.head.Version,
		TableRevision:        r.table.current.Revision,
		Pools:                r.poolDigests(),
		Foreign:              r.foreignDigests(),
		Listed:               r.isDelegate() && r.table.listing != nil,
		Draining:             r.table.leavingServers,
		Shares:               r.shareDigests(),
	}
}

func (r *Reducer) poolDigests() []model.Pool {
	pools := make([]model.Pool, 0, len(r.pools))
	for _, name := range slices.Sorted(maps.Keys(r.pools)) {
		p := r.pools[name]
		allowed, busy := r.capacity(p)
		pools = append(pools, model.Pool{
			Service: name, Slots: allowed, Busy: busy, Queued: p.queue.Len(), Waits: r.waitsByRank(p),
		})
	}
	return pools
}

func (r *Reducer) foreignDigests() []model.ServerInFlight {
	var foreign []model.ServerInFlight
	for _, s := range r.servers {
		if !s.owned && s.inFlight > 0 {
			foreign = append(foreign, model.ServerInFlight{Server: s.Name, InFlight: s.inFlight})
		}
	}
	slices.SortFunc(foreign, func(a, b model.ServerInFlight) int { return cmp.Compare(a.Server, b.Server) })
	return foreign
}

func (r *Reducer) shareDigests() []model.Share {
	var shares []model.Share
	for f, s := range r.shifters {
		fractions := s.Shares()
		if fractions[f.home] > 1-minMovedShare || s.RequestCount() == 0 {
			continue
		}
		for domain, fraction := range fractions {
			shares = append(shares, model.Share{
				Service:  f.service,
				Home:     f.home,
				Regions:  f.regions,
				Domain:   domain,
				Fraction: fraction,
				Arrivals: s.RequestCount(),
			})
		}
	}
	slices.SortFunc(shares, compareShares)
	return shares
}

func compareShares(a, b model.Share) int {
	return cmp.Or(
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Home, b.Home),
		cmp.Compare(a.Regions, b.Regions),
		cmp.Compare(a.Domain, b.Domain),
	)
}

func (r *Reducer) knownDigests() []model.KnownVersion {
	known := make([]model.KnownVersion, 0, len(r.members.siblings))
	for _, peer := range r.members.sorted {
		known = append(known, model.KnownVersion{Name: hashName(peer.Name), Sequence: peer.sequence})
	}
	return known
}

func (r *Reducer) newerDigests(known []model.KnownVersion) []model.Digest {
	receiver := knownByHash(known)
	newer := []model.Digest{r.ownDigest}
	for _, peer := range r.members.sorted {
		if peer.sequence > receiver[hashName(peer.Name)].Sequence {
			newer = append(newer, peer.digest)
		}
	}
	return newer
}
