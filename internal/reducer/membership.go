package reducer

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/yuccathread/yuccathread/internal/estimator"
	"github.com/yuccathread/yuccathread/internal/model"
)

const (
	// smallDomainSuspicion and largeDomainSuspicion are the periods of silence
	// after which a sibling is considered dead, in a small and in a large
	// failure domain: in a large one, gossip takes more rounds to spread.
	smallDomainSuspicion = 3 * time.Second
	largeDomainSuspicion = 6 * time.Second
	// summaryMaxAge is the age up to which another failure domain's summary is
	// used.
	summaryMaxAge = 10 * time.Second
	// memberRefusalBackoff is how long no work of a service is forwarded to an
	// instance after it refused some.
	memberRefusalBackoff = 150 * time.Millisecond
	// unreachableBackoff is how long no work is forwarded to an instance that
	// could not be reached.
	unreachableBackoff = time.Second
	// delegateCount is the number of instances that act for their failure
	// domain: they read the store and the platform's list, and gossip with
	// other failure domains.
	delegateCount = 2
	// initialNearRoundTrip and initialFarRoundTrip are assumed until round
	// trips are measured.
	initialNearRoundTrip = 2 * time.Millisecond
	initialFarRoundTrip  = 100 * time.Millisecond
)

// member is this instance's view of another one.
type member struct {
	model.Instance

	leaving              bool
	ready                bool
	sequence             uint64
	lastHeard            time.Time
	configurationVersion int64
	tableRevision        int64
	pools                map[string]model.Pool
	digest               model.Digest

	roundTrip estimator.Estimator
	// inFlight counts the unanswered requests forwarded to the instance, by
	// service.
	inFlight map[string]int
	// inFlightAtUpdate is a copy of inFlight from the time pools was received.
	inFlightAtUpdate map[string]int
	refusedUntil     map[string]time.Time
	// unreachableUntil is the time until which no work is forwarded to the
	// instance.
	unreachableUntil time.Time
}

// domainView is another failure domain as described by its last summary.
type domainView struct {
	model.Summary

	lastHeard time.Time
	members   map[string]*member
	sorted    []*member
}

// fresh reports whether the summary is recent enough to be used.
func (v *domainView) fresh(now time.Time) bool {
	return now.Sub(v.lastHeard) <= summaryMaxAge
}

// membership is what this instance knows about the others.
type membership struct {
	// siblings holds the other instances of this instance's failure domain.
	siblings map[string]*member
	sorted   []*member // siblings by name.
	domains  map[string]*domainView
	seeds    map[string][]model.Instance
}

func (m *membership) start() {
	m.siblings = make(map[string]*member)
	m.domains = make(map[string]*domainView)
	m.seeds = make(map[string][]model.Instance)
}

func newMember(i model.Instance, roundTrip time.Duration) *member {
	return &member{
		Instance:         i,
		roundTrip:        estimator.Estimator{Initial: roundTrip},
		inFlight:         make(map[string]int),
		inFlightAtUpdate: make(map[string]int),
		refusedUntil:     make(map[string]time.Time),
	}
}

func (peer *member) addInFlight(service string) {
	peer.inFlight[service]++
}

func (peer *member) removeInFlight(service string) {
	peer.inFlight[service] = max(0, peer.inFlight[service]-1)
}

func (peer *member) backOff(now time.Time, service string) {
	peer.refusedUntil[service] = now.Add(memberRefusalBackoff)
}

// markUnreachable stops forwarding to an instance for unreachableBackoff.
func (peer *member) markUnreachable(now time.Time) {
	peer.unreachableUntil = now.Add(unreachableBackoff)
}

// accepts reports whether work of a service may be forwarded to the instance.
func (peer *member) accepts(now time.Time, service string) bool {
	return !peer.leaving && peer.ready && !now.Before(peer.refusedUntil[service]) && !now.Before(peer.unreachableUntil)
}

// setPools stores the pools from a newer digest or summary.
func (peer *member) setPools(pools []model.Pool) {
	peer.pools = make(map[string]model.Pool, len(pools))
	for _, p := range pools {
		peer.pools[p.Service] = p
	}
	maps.Copy(peer.inFlightAtUpdate, peer.inFlight)
}

// freeSlots estimates the free slots of an instance from its last report and
// the requests sent and answered since.
func (peer *member) freeSlots(now time.Time, service string) int {
	p, ok := peer.pools[service]
	if !ok || !peer.accepts(now, service) {
		return 0
	}
	return p.Slots - p.Busy - p.Queued - (peer.inFlight[service] - peer.inFlightAtUpdate[service])
}

// liveIn iterates over the instances of a failure domain that were heard from
// recently.
func (m *membership) liveIn(now time.Time, domain string) iter.Seq[*member] {
	return func(yield func(*member) bool) {
		if view, ok := m.domains[domain]; ok {
			if view.fresh(now) {
				yieldAll(view.sorted, yield)
			}
			return
		}
		for _, peer := range m.sorted {
			if peer.Domain == domain && m.live(now, peer) && !yield(peer) {
				return
			}
		}
	}
}

func yieldAll(members []*member, yield func(*member) bool) {
	for _, peer := range members {
		if !yield(peer) {
			return
		}
	}
}

// suspectAfter returns the period of silence after which a sibling is
// considered dead.
func (m *membership) suspectAfter() time.Duration {
	if len(m.siblings) < largeDomainSize {
		return smallDomainSuspicion
	}
	return largeDomainSuspicion
}

// live reports whether a sibling was heard from recently.
func (m *membership) live(now time.Time, peer *member) bool {
	return now.Sub(peer.lastHeard) < m.suspectAfter()
}

// add adds a sibling.
func (m *membership) add(peer *member) {
	m.siblings[peer.Name] = peer
	m.sorted = sortedByName(m.siblings)
}

func (m *membership) remove(name string) {
	delete(m.siblings, name)
	m.sorted = sortedByName(m.siblings)
}

func sortedByName(members map[string]*member) []*member {
	return slices.SortedFunc(maps.Values(members), func(a, b *member) int {
		return cmp.Compare(a.Name, b.Name)
	})
}

// mostFree returns the instance of a failure domain with the most free slots,
// or nil if none has a free slot. It skips the instances named in tried.
func (m *membership) mostFree(now time.Time, domain, service string, tried []string) *member {
	var best *member
	most := 0
	for peer := range m.liveIn(now, domain) {
		if slices.Contains(tried, peer.Name) {
			continue
		}
		if n := peer.freeSlots(now, service); n > most {
			best, most = peer, n
		}
	}
	return best
}

// expectedWait estimates the time until an instance has a slot for work of a
// rank, from its last report, the requests sent since and the round trip. It
// returns false if the instance takes no work of the service.
func (peer *member) expectedWait(now time.Time, service string, rank int) (time.Duration, bool) {
	p, ok := peer.pools[service]
	if !ok || p.Slots == 0 || rank >= len(p.Waits) || !peer.accepts(now, service) {
		return 0, false
	}
	sentSince := max(0, peer.inFlight[service]-peer.inFlightAtUpdate[service])
	added := time.Duration(float64(sentSince) * float64(initialDuration) / float64(p.Slots))
	return p.Waits[rank] + added + peer.roundTrip.Mean(), true
}

// shortestWait returns the instance of a failure domain with the shortest
// expected wait for work of a rank, or nil if none takes such work. It skips
// the instances named in tried.
func (m *membership) shortestWait(now time.Time, domain, service string, rank int, tried []string) (*member, time.Duration) {
	var best *member
	var least time.Duration
	for peer := range m.liveIn(now, domain) {
		wait, ok := peer.expectedWait(now, service, rank)
		if !ok || slices.Contains(tried, peer.Name) {
			continue
		}
		if best == nil || wait < least {
			best, least = peer, wait
		}
	}
	return best, least
}

// serves reports whether a failure domain has usable servers of a service.
func (m *membership) serves(now time.Time, domain, service string) bool {
	for peer := range m.liveIn(now, domain) {
		if peer.pools[service].Slots > 0 {
			return true
		}
	}
	return false
}

// find returns the instance with this name and incarnation, or nil.
func (m *membership) find(name, incarnation string) *member {
	peer, ok := m.siblings[name]
	if ok && peer.Incarnation == incarnation {
		return peer
	}
	for _, view := range m.domains {
		peer, ok = view.members[name]
		if ok && peer.Incarnation == incarnation {
			return peer
		}
	}
	return nil
}

// alive reports whether an incarnation was heard from recently.
func (m *membership) alive(now time.Time, name, incarnation string) bool {
	peer := m.find(name, incarnation)
	if peer == nil {
		return false
	}
	for live := range m.liveIn(now, peer.Domain) {
		if live == peer {
			return true
		}
	}
	return false
}

// flowShares returns the number of recent requests of a flow that the rest of
// the fleet sends to each failure domain.
func (m *membership) flowShares(now time.Time, f flow) map[string]float64 {
	totals := make(map[string]float64)
	for _, peer := range m.sorted {
		if m.live(now, peer) {
			addShares(totals, peer.digest.Shares, f)
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(m.domains)) {
		if view := m.domains[domain]; view.fresh(now) {
			addShares(totals, view.Shares, f)
		}
	}
	return totals
}

func addShares(totals map[string]float64, shares []model.Share, f flow) {
	for _, s := range shares {
		if s.Service == f.service && s.Home == f.home && s.Regions == f.regions {
			totals[s.Domain] += s.Fraction * float64(s.Arrivals)
		}
	}
}

// isDelegate reports whether this instance acts for its failure domain. The
// first delegateCount instances by name do, not counting leaving siblings.
func (r *Reducer) isDelegate() bool {
	earlier := 0
	for peer := range r.members.liveIn(r.now, r.Self.Domain) {
		if peer.Name < r.Self.Name && !peer.leaving {
			earlier++
		}
	}
	return earlier < delegateCount
}

// isTableWriter reports whether this instance writes its failure domain's
// table. The first instance by name does, not counting leaving siblings.
func (r *Reducer) isTableWriter() bool {
	for peer := range r.members.liveIn(r.now, r.Self.Domain) {
		if peer.Name < r.Self.Name && !peer.leaving {
			return false
		}
	}
	return true
}

// resumeAfterPause treats every instance as just heard from, since this process
// could receive no gossip while it was paused.
func (r *Reducer) resumeAfterPause() {
	r.record("resumed", "", r.Self.Name, "the process was paused", "")
	for _, peer := range r.members.siblings {
		peer.lastHeard = r.now
	}
	for _, view := range r.members.domains {
		view.lastHeard = r.now
	}
}
