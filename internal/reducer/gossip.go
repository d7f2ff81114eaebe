package reducer

import (
	"maps"
	"slices"
	"time"

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
	// peerFanOut and domainFanOut bound the instances asked in one round.
	peerFanOut   = 2
	domainFanOut = 1
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
	for i, x := range r.domainPeers(random) {
		g := r.question(x)
		if i == 0 {
			g.WantSummaries = true
			g.KnownSummaries = r.knownSummaries()
		}
		r.emit(message.SendGossip{Peer: x, Gossip: g})
	}
	if !r.delegate() {
		r.requestConfirmation(random)
		return
	}
	for _, x := range r.remotePeers(random) {
		r.emit(message.SendGossip{Peer: x, Gossip: r.question(x)})
	}
}

// domainPeers picks instances of the own failure domain by turns.
func (r *Reducer) domainPeers(random uint64) []model.Instance {
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
	picked := make([]model.Instance, 0, peerFanOut)
	for _, name := range pick(names, random, peerFanOut) {
		picked = append(picked, known[name])
	}
	return picked
}

// requestConfirmation asks one of the instances that read the store whether the
// table still stands, in a few bytes.
func (r *Reducer) requestConfirmation(random uint64) {
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

// remotePeers picks one instance each of some other failure domains.
func (r *Reducer) remotePeers(random uint64) []model.Instance {
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
			// Other bits than those that picked the failure domain.
			picked = append(picked, known[(random>>32)%uint64(len(known))])
		}
	}
	return picked
}

// contacts returns the instances of another failure domain to talk to.
func (r *Reducer) contacts(domain string) []model.Instance {
	var known []model.Instance
	if view, ok := r.members.domains[domain]; ok && view.fresh(r.now) {
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
	r.merge(e.Gossip, time.Time{})
	g := r.envelope()
	if !e.Gossip.Brief && e.Gossip.From.Domain == r.Self.Domain {
		g.Digests = r.newerDigests(e.Gossip.KnownDigests)
	}
	if e.Gossip.WantSummaries {
		g.Summaries = r.newerSummaries(e.Gossip.KnownSummaries)
	}
	r.emit(message.ReplyGossip{Gossip: g})
}

func (r *Reducer) gossipAnswered(e message.GossipAnswered) {
	r.merge(e.Gossip, e.Started)
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

// merge takes in what another instance told. started is when it was asked,
// zero if it told unasked.
func (r *Reducer) merge(g model.Gossip, started time.Time) {
	r.stamper.Merge(r.now, g.Stamp)
	for _, d := range g.Digests {
		r.mergeDigest(d)
	}
	for _, s := range g.Summaries {
		r.mergeSummary(s)
	}
	if g.ConfigurationVersion > r.head.Version {
		r.emit(message.FetchConfiguration{Peer: g.From})
	}
	if g.From.Domain == r.Self.Domain {
		r.mergeTable(g, started)
	}
}
