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
	x, ok := r.members.own[d.Name]
	if ok && x.Incarnation == d.Incarnation && x.sequence >= d.Sequence {
		return
	}
	if !ok || x.Incarnation != d.Incarnation {
		if ok && x.sequence > d.Sequence {
			return
		}
		x = newMember(d.Instance, nearRoundTrip)
		r.members.add(x)
		r.note("instance_seen", "", d.Name, "gossip", d.Incarnation)
	}
	if d.Leaving && !x.leaving {
		r.note("instance_leaving", "", d.Name, "gossip", "")
	}
	x.sequence = d.Sequence
	x.heard = r.now
	x.digest = d
	x.leaving = d.Leaving
	x.ready = d.Ready
	x.version = d.ConfigurationVersion
	x.revision = d.TableRevision
	x.update(d.Pools)
	r.acknowledge(x)
	if d.Listed && !r.delegate() {
		r.table.leaving = d.Draining
		r.markListed(d.Draining)
	}
}

// refreshDigest describes this instance anew. Sequences are wall times, so
// that those of a restarted instance are higher.
func (r *Reducer) refreshDigest() {
	r.ownDigest = model.Digest{
		Instance:             r.Self,
		Sequence:             uint64(r.now.UnixMilli()),
		Leaving:              r.stopping.active,
		Ready:                r.Ready(),
		ConfigurationVersion: r.head.Version,
		TableRevision:        r.table.table.Revision,
		Pools:                r.poolDigests(),
		Foreign:              r.foreignDigests(),
		Listed:               r.delegate() && r.table.listing != nil,
		Draining:             r.table.leaving,
		Shares:               r.shareDigests(),
	}
}

func (r *Reducer) poolDigests() []model.Pool {
	pools := make([]model.Pool, 0, len(r.pools))
	for _, name := range slices.Sorted(maps.Keys(r.pools)) {
		p := r.pools[name]
		allowed, busy := r.capacity(p)
		pools = append(pools, model.Pool{
			Service: name, Slots: allowed, Busy: busy, Queued: p.queue.Len(), Waits: r.waits(p),
		})
	}
	return pools
}

func (r *Reducer) foreignDigests() []model.Occupied {
	var foreign []model.Occupied
	for _, s := range r.servers {
		if !s.owned && s.inFlight > 0 {
			foreign = append(foreign, model.Occupied{Server: s.Name, InFlight: s.inFlight})
		}
	}
	slices.SortFunc(foreign, func(a, b model.Occupied) int { return cmp.Compare(a.Server, b.Server) })
	return foreign
}

func (r *Reducer) shareDigests() []model.Share {
	var shares []model.Share
	for f, s := range r.shifters {
		where := s.Shares()
		if where[f.home] > 1-shareFloor || s.Weight() == 0 {
			continue
		}
		for domain, fraction := range where {
			shares = append(shares, model.Share{
				Service:  f.service,
				Home:     f.home,
				Regions:  f.regions,
				Domain:   domain,
				Fraction: fraction,
				Arrivals: s.Weight(),
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

func (r *Reducer) knownDigests() []model.Known {
	known := make([]model.Known, 0, len(r.members.own))
	for _, x := range r.members.sorted {
		known = append(known, model.Known{Name: hash(x.Name), Sequence: x.sequence})
	}
	return known
}

func (r *Reducer) newerDigests(known []model.Known) []model.Digest {
	has := byKnown(known)
	newer := []model.Digest{r.ownDigest}
	for _, x := range r.members.sorted {
		if x.sequence > has[hash(x.Name)].Sequence {
			newer = append(newer, x.digest)
		}
	}
	return newer
}
