package reducer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
)

const (
	// gossipInterval is the time between two rounds of gossip in a small
	// failure domain, largeInterval in a large one.
	gossipInterval = 500 * time.Millisecond
	largeInterval  = time.Second
	// largeDomain is the number of instances from which a domain is large.
	largeDomain = 5
	// siblingFanOut and domainFanOut bound the instances asked in one round.
	siblingFanOut = 2
	domainFanOut  = 1
	// summaryPace is the time between two summaries of a failure domain for
	// each failure domain that has to take them in.
	summaryPace = 60 * time.Millisecond
	// seedInterval is the time between two readings of the platform's list for
	// a failure domain that nothing is heard of.
	seedInterval = 4 * time.Second
	// summaryEntries bounds the instances that a summary names.
	summaryEntries = 4
	// shareFloor leaves out flows that stay at home but for this fraction.
	shareFloor = 0.01
)

// interval is the time between two rounds of gossip.
func (r *Reducer) interval() time.Duration {
	if len(r.members.own) < largeDomain {
		return gossipInterval
	}
	return largeInterval
}

// gossip asks some instances for what they know.
func (r *Reducer) gossip(random uint64) {
	r.refreshDigest()
	r.refreshSummary()
	for i, x := range r.siblings(random) {
		g := r.question(x)
		if i == 0 {
			g.WantSummaries = true
			g.KnownSummaries = r.knownSummaries()
		}
		r.emit(message.SendGossip{Peer: x, Gossip: g})
	}
	if !r.delegate() {
		r.askReader(random)
		return
	}
	for _, x := range r.strangers(random) {
		r.emit(message.SendGossip{Peer: x, Gossip: r.question(x)})
	}
}

// siblings picks instances of the own failure domain by turns.
func (r *Reducer) siblings(random uint64) []model.Instance {
	known := make(map[string]model.Instance)
	for _, x := range r.members.seeds[r.Self.Domain] {
		known[x.Name] = x
	}
	for _, x := range r.table.table.Members {
		known[x.Name] = x
	}
	for _, x := range r.members.own {
		known[x.Name] = x.Instance
	}
	delete(known, r.Self.Name)
	names := slices.Sorted(maps.Keys(known))
	picked := make([]model.Instance, 0, siblingFanOut)
	for _, name := range pick(names, random, siblingFanOut) {
		picked = append(picked, known[name])
	}
	return picked
}

// askReader asks one of the instances that read the store whether the table
// still stands, in a few bytes.
func (r *Reducer) askReader(random uint64) {
	var readers []model.Instance
	for x := range r.members.in(r.now, r.Self.Domain) {
		if !x.leaving && len(readers) < delegates {
			readers = append(readers, x.Instance)
		}
	}
	if len(readers) == 0 {
		return
	}
	g := r.envelope()
	g.Brief = true
	r.emit(message.SendGossip{Peer: readers[random%uint64(len(readers))], Gossip: g})
}

// strangers picks one instance each of some other failure domains.
func (r *Reducer) strangers(random uint64) []model.Instance {
	if r.policy == nil {
		return nil
	}
	var domains []string
	for domain := range r.policy.regionOf {
		if domain != r.Self.Domain {
			domains = append(domains, domain)
		}
	}
	slices.Sort(domains)
	var picked []model.Instance
	for _, domain := range pick(domains, random, domainFanOut) {
		if known := r.contacts(domain); len(known) > 0 {
			picked = append(picked, known[random%uint64(len(known))])
		}
	}
	return picked
}

// contacts returns the instances of another failure domain to talk to.
func (r *Reducer) contacts(domain string) []model.Instance {
	var known []model.Instance
	if view, ok := r.members.domains[domain]; ok && r.now.Sub(view.heard) <= remoteFresh {
		for _, x := range view.sorted {
			known = append(known, x.Instance)
		}
	}
	if len(known) == 0 {
		known = r.members.seeds[domain]
	}
	return known
}

func pick(names []string, random uint64, count int) []string {
	count = min(count, len(names))
	picked := make([]string, 0, count)
	for i := range count {
		picked = append(picked, names[(random+uint64(i))%uint64(len(names))])
	}
	return picked
}

func (r *Reducer) question(to model.Instance) model.Gossip {
	g := r.envelope()
	if to.Domain == r.Self.Domain {
		g.Digests = []model.Digest{r.ownDigest}
		g.KnownDigests = r.knownDigests()
		return g
	}
	g.WantSummaries = true
	g.KnownSummaries = r.knownSummaries()
	if r.ownSummary.Sequence > 0 {
		g.Summaries = []model.Summary{r.ownSummary}
	}
	return g
}

func (r *Reducer) envelope() model.Gossip {
	return model.Gossip{
		From:                 r.Self,
		Stamp:                r.stamper.Next(r.now),
		ConfigurationVersion: r.head.Version,
		TableRevision:        r.table.table.Revision,
		StoreAge:             r.leaser.Age(r.now),
	}
}

func (r *Reducer) gossiped(e message.Gossiped) {
	r.learn(e.Gossip, time.Time{})
	g := r.envelope()
	if !e.Gossip.Brief && e.Gossip.From.Domain == r.Self.Domain {
		g.Digests = r.newerDigests(e.Gossip.KnownDigests)
	}
	if e.Gossip.WantSummaries {
		g.Summaries = r.newerSummaries(e.Gossip.KnownSummaries)
	}
	r.emit(message.ReplyGossip{Call: e.Call, Gossip: g})
}

func (r *Reducer) gossipAnswered(e message.GossipAnswered) {
	r.learn(e.Gossip, e.Started)
	if x := r.members.find(e.Gossip.From.Name, e.Gossip.From.Incarnation); x != nil {
		x.roundTrip.Observe(r.now.Sub(e.Started))
	}
}

// gossipFailed takes silence for a sign, long before it is taken for death.
func (r *Reducer) gossipFailed(e message.GossipFailed) {
	if x := r.members.find(e.Peer.Name, e.Peer.Incarnation); x != nil {
		x.fail(r.now)
	}
}

// learn takes in what another instance told. started is when it was asked,
// zero if it told unasked.
func (r *Reducer) learn(g model.Gossip, started time.Time) {
	r.stamper.Merge(r.now, g.Stamp)
	for _, d := range g.Digests {
		r.learnDigest(d)
	}
	for _, s := range g.Summaries {
		r.learnSummary(s)
	}
	if g.ConfigurationVersion > r.head.Version {
		r.emit(message.FetchConfiguration{Peer: g.From})
	}
	if g.From.Domain == r.Self.Domain {
		r.learnTable(g, started)
	}
}

func (r *Reducer) learnDigest(d model.Digest) {
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

func (r *Reducer) learnSummary(s model.Summary) {
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
		if r.now.Sub(view.heard) <= remoteFresh {
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
	if r.policy == nil || !r.scribe() {
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
