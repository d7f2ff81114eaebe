package steerer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/yuccathread/yuccathread/internal/apportioner"
	"github.com/yuccathread/yuccathread/internal/lender"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

const (
	// minSlots is the smallest number of slots of a quota, so that most of it remains if the
	// instance that lends from one of them is lost.
	minSlots = 3
	// instancesPerLender bounds the work of a lender.
	instancesPerLender = 32
	// lenderRefresh is the time after which the choice of lenders is looked at again.
	lenderRefresh = 500 * time.Millisecond
	// startFill is how full the buckets of a fleet are that has never run before: half, since
	// the lenders may change once while it starts.
	startFill = 0.5
	// outageAllowance is how long an instance lends after the lease of its record has ended.
	// A short outage of the store must not stop all requests that have a quota.
	outageAllowance = 6 * time.Second
)

// lenders tells who lends from which slot of a quota. Nobody is elected: all instances choose
// the same ones as long as they know the same instances. One that has just become the lender
// of a slot lends only when the former one has stopped for certain.
type lenders struct {
	// regions are those of the settings. Each has its own lenders, so that one that is cut
	// off keeps a part of each quota.
	regions []string
	// byRegion holds the names of each region's lenders, and former the earlier lists that
	// may still be in force elsewhere.
	byRegion map[string][]string
	former   []formerLenders
	// addresses holds the peer addresses of the instances that may lend.
	addresses map[string]string
	// candidates holds each known instance by its name.
	candidates map[string]lenderCandidate
	// uncountedUntil is the end of the time in which a fleet that has never been counted
	// starts. Instances that appear until then may be chosen at once.
	uncountedUntil time.Time
	uncounted      bool
	// newUntil is the end of the time in which an instance that appears may be one that the
	// others know: its lease had lapsed when this process started, and it has returned, or it
	// started while this instance was out of touch with the store.
	newUntil time.Time
	// formerSeen is set if this instance started while the record of the process before it
	// was in the store: the others have not stopped counting on it.
	formerSeen bool
	// lent is set once this instance has lent.
	lent bool
	// restored is set if the store had come back from a copy by then: the record may be older
	// than a stop that the others know of.
	restored bool
	// lendsFrom is when this instance may lend, or zero while that is not known.
	lendsFrom time.Time
	// lapsedAt is when the lease of the record last ended, while this instance might lend.
	lapsedAt time.Time
	// rebuiltFor is the number of the policy for which slots was built, and stale is set if
	// it has to be built anew.
	rebuiltFor uint64
	stale      bool
	// dividedBy is the number of instances among which quotas are divided that can't call each
	// other.
	dividedBy int
	// slots holds what this instance lends.
	slots map[slotKey]*lender.Lender
	// refreshedAt is when the choice was last looked at.
	refreshedAt time.Time
}

// lenderCandidate is an instance that may be chosen as a lender from a time on. A new one lends
// only when the others have had the time to learn of that.
type lenderCandidate struct {
	from        time.Time
	incarnation string
	leaving     bool
}

type formerLenders struct {
	region string
	names  []string
	until  time.Time
}

// slotKey identifies one slot of an organisation's quota.
type slotKey struct {
	organisation string
	slot         int
}

// takeoverDelay is how long after an instance's record is gone another one may take over. Its
// lease may have lasted, if the store has come back from a copy, and it may have written the
// record again just before it would have stopped.
func (s *Steerer) takeoverDelay() time.Duration {
	return s.times().Lease() + outageAllowance + s.times().JoinDelay()
}

// refreshLenders brings the choice of lenders, and what this instance lends, up to date.
func (s *Steerer) refreshLenders() {
	l := &s.lenders
	if s.now.Sub(l.refreshedAt) < lenderRefresh && l.rebuiltFor == s.policyNumber {
		return
	}
	l.refreshedAt = s.now
	s.noteInstances()
	s.checkLending()
	if len(s.organisations) == 0 {
		l.slots, l.byRegion, l.former = nil, nil, nil
		return
	}
	s.chooseLenders()
	if size := s.divisor(); s.lendsAlone() && size != l.dividedBy {
		l.dividedBy, l.stale = size, true
	}
	expired := len(l.former)
	l.former = slices.DeleteFunc(l.former, func(f formerLenders) bool { return !s.now.Before(f.until) })
	if l.stale || expired != len(l.former) || l.rebuiltFor != s.policyNumber {
		s.rebuildSlots()
	}
}

// initializeLenders notes whether the fleet has ever been counted, the first time that it is
// called: after the first read of the store.
func (s *Steerer) initializeLenders() {
	l := &s.lenders
	if l.candidates != nil {
		return
	}
	l.candidates = make(map[string]lenderCandidate)
	l.uncounted = s.instancesListed && s.instances.storedSize == 0
	l.stale = true
}

// noteInstances notes from when each instance may be chosen as a lender.
func (s *Steerer) noteInstances() {
	l := &s.lenders
	s.initializeLenders()
	first := len(l.candidates) == 0
	switch {
	case first:
		l.newUntil = s.now.Add(s.takeoverDelay())
	case s.store.unavailable || !s.now.Before(s.instances.keptUntil):
		if until := s.now.Add(s.times().JoinDelay()); until.After(l.newUntil) {
			l.newUntil = until
		}
	}
	if l.uncounted && s.instances.storedSize == 0 {
		l.uncountedUntil = s.now.Add(s.times().JoinDelay())
	}
	known := make(map[string]bool, s.instances.size())
	for i := range s.instances.all() {
		known[i.Name] = true
		c, ok := l.candidates[i.Name]
		// A process that follows one that has left is new; one that follows one that was killed
		// is still counted on.
		isNew := !ok || c.leaving && c.incarnation != i.Incarnation
		c.incarnation, c.leaving = i.Incarnation, i.Leaving
		if isNew {
			c.from = s.now
			if !first && i.Name != s.Self.Name && !s.now.Before(l.uncountedUntil) && !s.now.Before(l.newUntil) {
				c.from = s.now.Add(s.takeoverDelay() - s.times().JoinDelay())
			}
		}
		l.candidates[i.Name] = c
	}
	maps.DeleteFunc(l.candidates, func(name string, _ lenderCandidate) bool { return !known[name] })
}

// checkLending keeps the time from which this instance may lend. An instance that the others
// may have forgotten, and a new one in a fleet that others may still lend to without a record,
// wait until those have stopped.
func (s *Steerer) checkLending() {
	l, m := &s.lenders, &s.instances
	s.initializeLenders()
	remembered := s.now.Before(m.keptUntil.Add(outageAllowance))
	switch {
	case l.lendsFrom.IsZero() && m.ownRevision > 0 && remembered:
		l.lendsFrom = s.lendingStart()
	case !l.lendsFrom.IsZero() && !remembered:
		l.lendsFrom, l.formerSeen, l.uncounted = time.Time{}, false, false
		l.lapsedAt = m.keptUntil
		l.slots, l.stale = nil, true
	}
}

func (s *Steerer) lendingStart() time.Time {
	// Others take over takeoverDelay after the record is gone at the earliest, and learn within
	// JoinDelay that it is back.
	lapsed := s.lenders.lapsedAt
	// One whose lease had lapsed when this process started may lend, and return.
	formerSeen := s.lenders.formerSeen && len(s.instances.records) >= s.instances.storedSize
	returned := !lapsed.IsZero() && s.now.Before(lapsed.Add(s.takeoverDelay()-s.times().JoinDelay()))
	switch {
	case (formerSeen || returned) && !s.lenders.restored:
		return s.now
	case formerSeen || s.lenders.uncounted:
		return s.now.Add(s.times().JoinDelay())
	}
	return s.now.Add(s.takeoverDelay())
}

// mayLend reports whether this instance may lend from the slots whose lender it is.
func (s *Steerer) mayLend() bool {
	if s.lendsAlone() {
		return s.isCounted()
	}
	from := s.lenders.lendsFrom
	return s.stoppingSince.IsZero() && !from.IsZero() && !s.now.Before(from) &&
		s.now.Before(s.instances.keptUntil.Add(outageAllowance))
}

// chooseLenders chooses the lenders of each region.
func (s *Steerer) chooseLenders() {
	l := &s.lenders
	regions := s.quotaRegions()
	candidates := s.lenderCandidates()
	chosen := make(map[string][]string, len(regions))
	var all []string
	for _, region := range regions {
		members := candidates[region]
		sortByRank(members)
		members = members[:min(len(members), max(s.maxSlots()/len(regions), len(members)/instancesPerLender))]
		for _, i := range members {
			chosen[region] = append(chosen[region], i.Name)
		}
		slices.Sort(chosen[region])
		all = append(all, chosen[region]...)
	}
	for _, region := range regions {
		if len(chosen[region]) == 0 {
			chosen[region] = all
		}
		former, known := l.byRegion[region]
		if slices.Equal(former, chosen[region]) {
			continue
		}
		l.stale = true
		// While a fleet starts, nobody has lent by an earlier list.
		if known && !s.now.Before(l.uncountedUntil) {
			l.former = append(l.former, formerLenders{region: region, names: former, until: s.now.Add(s.takeoverDelay())})
		}
		s.recordStateChange("lenders of quotas", attr("of_region", region), attr("lenders", chosen[region]))
	}
	l.byRegion = chosen
}

// lenderCandidates returns the instances that may lend, by their regions. A new one may only
// if a region has no others. Those whose records are gone without a stop may still lend.
func (s *Steerer) lenderCandidates() map[string][]traffic.Instance {
	l := &s.lenders
	l.addresses = make(map[string]string)
	candidates := make(map[string][]traffic.Instance)
	recent := make(map[string][]traffic.Instance)
	for i := range s.instances.all() {
		switch {
		case i.Leaving || i.PeerAddress == "" || s.hasStoppedLending(i.Name):
			continue
		case i.Name == s.Self.Name && !s.stoppingSince.IsZero():
			continue
		case s.now.Before(l.candidates[i.Name].from):
			recent[i.Region] = append(recent[i.Region], i)
		default:
			candidates[i.Region] = append(candidates[i.Region], i)
		}
		l.addresses[i.Name] = i.PeerAddress
	}
	for region, members := range recent {
		if len(candidates[region]) == 0 {
			candidates[region] = members
		}
	}
	return candidates
}

// hasStoppedLending reports whether an instance whose record is gone lends no more for certain:
// without a lease of its own this instance may have missed that the record is back.
func (s *Steerer) hasStoppedLending(name string) bool {
	d, departed := s.instances.departed[name]
	_, returned := s.former.returned[name]
	return departed && !returned && s.hasShares() && s.now.After(d.until.Add(s.takeoverDelay()-departedRetention))
}

// quotaRegions returns the regions of the settings as of the start.
func (s *Steerer) quotaRegions() []string {
	l := &s.lenders
	if l.regions == nil {
		l.regions = slices.Compact(slices.Sorted(maps.Values(s.Settings.Domains)))
	}
	return l.regions
}

// maxSlots returns the number of slots of a large quota: the same for each region.
func (s *Steerer) maxSlots() int {
	regions := max(1, len(s.quotaRegions()))
	return regions * ((minSlots + regions - 1) / regions)
}

// regionOfSlot returns the region whose instances lend from a slot. Where there are fewer
// slots than regions, the regions share the organisations.
func (s *Steerer) regionOfSlot(k slotKey) (region string, rank int) {
	regions := s.quotaRegions()
	n := len(regions)
	if n == 0 {
		return "", 0
	}
	first := int(apportioner.Hash("", k.organisation) % uint64(n))
	return regions[(first+k.slot)%n], k.slot / n
}

// lenderOf returns the name of the instance that lends from a slot, or an empty string.
func (s *Steerer) lenderOf(k slotKey) string {
	if s.lendsAlone() {
		return s.Self.Name
	}
	region, rank := s.regionOfSlot(k)
	return pickLender(s.lenders.byRegion[region], k.organisation, rank)
}

// pickLender returns the lender of the given rank for an organisation by rendezvous hashing.
func pickLender(names []string, organisation string, rank int) string {
	if len(names) == 0 {
		return ""
	}
	if len(names) == 1 {
		return names[0]
	}
	ordered := slices.SortedFunc(slices.Values(names), func(a, b string) int {
		return cmp.Compare(apportioner.Hash(organisation, a), apportioner.Hash(organisation, b))
	})
	return ordered[rank%len(ordered)]
}
