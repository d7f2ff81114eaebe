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
	// smallSuspicion and largeSuspicion are the silence after which an instance
	// of the own failure domain is taken for dead, by the domain's size: word of
	// it takes more rounds in a large one.
	smallSuspicion = 3 * time.Second
	largeSuspicion = 6 * time.Second
	// remoteFresh is the age up to which another failure domain's summary is used.
	remoteFresh = 10 * time.Second
	// memberHold leaves an instance alone for a service after it refused work.
	memberHold = 150 * time.Millisecond
	// failureHold leaves an instance alone that could not be reached.
	failureHold = time.Second
	// delegates is the number of instances that speak for their failure
	// domain: they read the store and the list, and gossip with other domains.
	delegates = 2
	// nearRoundTrip and farRoundTrip stand in until round trips are measured.
	nearRoundTrip = 2 * time.Millisecond
	farRoundTrip  = 100 * time.Millisecond
)

// member is another instance as this one sees it.
type member struct {
	model.Instance

	leaving  bool
	ready    bool
	sequence uint64
	heard    time.Time
	version  int64
	revision int64
	pools    map[string]model.Pool
	digest   model.Digest

	roundTrip estimator.Estimator
	sent      map[string]int
	// sentBefore is sent as it was when pools was heard.
	sentBefore map[string]int
	held       map[string]time.Time
	// failing is the time until which the instance is left alone.
	failing time.Time
}

// domainView is another failure domain as its summary describes it.
type domainView struct {
	model.Summary

	heard   time.Time
	members map[string]*member
	sorted  []*member
}

// fresh reports whether the summary is new enough to be used.
func (v *domainView) fresh(now time.Time) bool {
	return now.Sub(v.heard) <= remoteFresh
}

// membership is what an instance knows of the others.
type membership struct {
	own     map[string]*member
	sorted  []*member // own by name.
	domains map[string]*domainView
	seeds   map[string][]model.Instance
}

func (m *membership) start() {
	m.own = make(map[string]*member)
	m.domains = make(map[string]*domainView)
	m.seeds = make(map[string][]model.Instance)
}

func newMember(i model.Instance, roundTrip time.Duration) *member {
	return &member{
		Instance:   i,
		roundTrip:  estimator.Estimator{Initial: roundTrip},
		sent:       make(map[string]int),
		sentBefore: make(map[string]int),
		held:       make(map[string]time.Time),
	}
}

func (x *member) send(service string) {
	x.sent[service]++
}

func (x *member) receive(service string) {
	x.sent[service] = max(0, x.sent[service]-1)
}

func (x *member) refuse(now time.Time, service string) {
	x.held[service] = now.Add(memberHold)
}

// fail leaves an instance alone that could not be reached.
func (x *member) fail(now time.Time) {
	x.failing = now.Add(failureHold)
}

// takes reports whether work of a service may be handed to an instance.
func (x *member) takes(now time.Time, service string) bool {
	return !x.leaving && x.ready && !now.Before(x.held[service]) && !now.Before(x.failing)
}

// update takes over the pools of a newer digest or summary.
func (x *member) update(pools []model.Pool) {
	x.pools = make(map[string]model.Pool, len(pools))
	for _, p := range pools {
		x.pools[p.Service] = p
	}
	maps.Copy(x.sentBefore, x.sent)
}

// free estimates the free slots at an instance: what it reported, corrected
// by what was sent there and answered since.
func (x *member) free(now time.Time, service string) int {
	p, ok := x.pools[service]
	if !ok || !x.takes(now, service) {
		return 0
	}
	return p.Slots - p.Busy - p.Queued - (x.sent[service] - x.sentBefore[service])
}

// in goes through the instances of a failure domain that were heard of lately.
func (m *membership) in(now time.Time, domain string) iter.Seq[*member] {
	return func(yield func(*member) bool) {
		if view, ok := m.domains[domain]; ok {
			if view.fresh(now) {
				each(view.sorted, yield)
			}
			return
		}
		for _, x := range m.sorted {
			if x.Domain == domain && m.live(now, x) && !yield(x) {
				return
			}
		}
	}
}

func each(members []*member, yield func(*member) bool) {
	for _, x := range members {
		if !yield(x) {
			return
		}
	}
}

// suspectAfter is the silence after which an instance is taken for dead.
func (m *membership) suspectAfter() time.Duration {
	if len(m.own) < largeDomain {
		return smallSuspicion
	}
	return largeSuspicion
}

// live reports whether an instance of the own failure domain was heard lately.
func (m *membership) live(now time.Time, x *member) bool {
	return now.Sub(x.heard) < m.suspectAfter()
}

// add takes in a new instance of the own failure domain.
func (m *membership) add(x *member) {
	m.own[x.Name] = x
	m.sorted = sorted(m.own)
}

func (m *membership) remove(name string) {
	delete(m.own, name)
	m.sorted = sorted(m.own)
}

func sorted(members map[string]*member) []*member {
	return slices.SortedFunc(maps.Values(members), func(a, b *member) int {
		return cmp.Compare(a.Name, b.Name)
	})
}

// free returns the instance of a failure domain with most free slots, or nil.
func (m *membership) free(now time.Time, domain, service string, tried []string) *member {
	var best *member
	most := 0
	for x := range m.in(now, domain) {
		if slices.Contains(tried, x.Name) {
			continue
		}
		if n := x.free(now, service); n > most {
			best, most = x, n
		}
	}
	return best
}

// wait estimates the time until an instance has a slot for work of a rank:
// what it reported, and what was sent there since. It returns false where the
// instance takes no work of the service.
func (x *member) wait(now time.Time, service string, rank int) (time.Duration, bool) {
	p, ok := x.pools[service]
	if !ok || p.Slots == 0 || rank >= len(p.Waits) || !x.takes(now, service) {
		return 0, false
	}
	since := max(0, x.sent[service]-x.sentBefore[service])
	added := time.Duration(float64(since) * float64(initialDuration) / float64(p.Slots))
	return p.Waits[rank] + added + x.roundTrip.Mean(), true
}

// shortest returns the instance of a failure domain where work of a rank waits
// least, or nil.
func (m *membership) shortest(now time.Time, domain, service string, rank int, tried []string) (*member, time.Duration) {
	var best *member
	var least time.Duration
	for x := range m.in(now, domain) {
		wait, ok := x.wait(now, service, rank)
		if !ok || slices.Contains(tried, x.Name) {
			continue
		}
		if best == nil || wait < least {
			best, least = x, wait
		}
	}
	return best, least
}

// serves reports whether a failure domain has any server of a service in use.
func (m *membership) serves(now time.Time, domain, service string) bool {
	for x := range m.in(now, domain) {
		if x.pools[service].Slots > 0 {
			return true
		}
	}
	return false
}

// find returns the instance with this name and incarnation, or nil.
func (m *membership) find(name, incarnation string) *member {
	x, ok := m.own[name]
	if ok && x.Incarnation == incarnation {
		return x
	}
	for _, view := range m.domains {
		x, ok = view.members[name]
		if ok && x.Incarnation == incarnation {
			return x
		}
	}
	return nil
}

// alive reports whether an incarnation was heard of lately.
func (m *membership) alive(now time.Time, name, incarnation string) bool {
	x := m.find(name, incarnation)
	if x == nil {
		return false
	}
	for y := range m.in(now, x.Domain) {
		if y == x {
			return true
		}
	}
	return false
}

// shares returns where the fleet sends a flow, by failure domain.
func (m *membership) shares(now time.Time, f flow) map[string]float64 {
	totals := make(map[string]float64)
	for _, x := range m.sorted {
		if m.live(now, x) {
			addShares(totals, x.digest.Shares, f)
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

// delegate reports whether this instance speaks for its failure domain.
func (r *Reducer) delegate() bool {
	ahead := 0
	for x := range r.members.in(r.now, r.Self.Domain) {
		if x.Name < r.Self.Name && !x.leaving {
			ahead++
		}
	}
	return ahead < delegates
}

// writesTable reports whether this instance writes its failure domain's table.
func (r *Reducer) writesTable() bool {
	for x := range r.members.in(r.now, r.Self.Domain) {
		if x.Name < r.Self.Name && !x.leaving {
			return false
		}
	}
	return true
}

// resume starts the clocks of silence anew after a pause of this process.
func (r *Reducer) resume() {
	r.note("resumed", "", r.Self.Name, "the process was paused", "")
	for _, x := range r.members.own {
		x.heard = r.now
	}
	for _, view := range r.members.domains {
		view.heard = r.now
	}
}
