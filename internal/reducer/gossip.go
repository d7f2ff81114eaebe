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
	// failure domain, largeGossipInterval in a large one.
	gossipInterval      = 500 * time.Millisecond
	largeGossipInterval = time.Second
	// largeDomainSize is the number of known siblings from which a failure
	// domain counts as large.
	largeDomainSize = 5
	// peerFanOut and domainFanOut limit how many siblings and how many other
	// failure domains are asked in one round.
	peerFanOut   = 2
	domainFanOut = 1
	// summaryIntervalPerDomain is multiplied by the number of failure domains
	// to get the time between two summaries of a failure domain, since each
	// summary has to reach all of them.
	summaryIntervalPerDomain = 60 * time.Millisecond
	// seedInterval is the time between two reads of the platform's list of a
	// failure domain without a recent summary.
	seedInterval = 4 * time.Second
	// summaryEntries is the largest number of instances named in a summary.
	summaryEntries = 4
	// minMovedShare is the fraction of a flow that must run outside its home
	// failure domain before the flow's shares are reported.
	minMovedShare = 0.01
)

// gossipPeriod returns the time between two rounds of gossip.
func (r *Reducer) gossipPeriod() time.Duration {
	if len(r.members.siblings) < largeDomainSize {
		return gossipInterval
	}
	return largeGossipInterval
}

// gossip starts a round: it sends requests to some instances.
func (r *Reducer) gossip(random uint64) {
	r.refreshDigest()
	r.refreshSummary()
	for i, peer := range r.ownDomainPeers(random) {
		g := r.gossipRequest(peer)
		if i == 0 {
			g.WantSummaries = true
			g.KnownSummaries = r.knownSummaries()
		}
		r.emit(message.SendGossip{Peer: peer, Gossip: g})
	}
	if !r.isDelegate() {
		r.requestConfirmation(random)
		return
	}
	for _, peer := range r.remotePeers(random) {
		r.emit(message.SendGossip{Peer: peer, Gossip: r.gossipRequest(peer)})
	}
}

// ownDomainPeers picks the siblings to ask in a round.
func (r *Reducer) ownDomainPeers(random uint64) []model.Instance {
	known := make(map[string]model.Instance)
	for _, peer := range r.members.seeds[r.Self.Domain] {
		known[peer.Name] = peer
	}
	for _, peer := range r.table.current.Members {
		known[peer.Name] = peer
	}
	for _, peer := range r.members.siblings {
		known[peer.Name] = peer.Instance
	}
	delete(known, r.Self.Name)
	names := slices.Sorted(maps.Keys(known))
	picked := make([]model.Instance, 0, peerFanOut)
	for _, name := range pick(names, random, peerFanOut) {
		picked = append(picked, known[name])
	}
	return picked
}

// requestConfirmation sends a brief gossip request to a delegate. The reply
// renews the lease if this instance's table is still the current one.
func (r *Reducer) requestConfirmation(random uint64) {
	var delegates []model.Instance
	for peer := range r.members.liveIn(r.now, r.Self.Domain) {
		if !peer.leaving && len(delegates) < delegateCount {
			delegates = append(delegates, peer.Instance)
		}
	}
	if len(delegates) == 0 {
		return
	}
	g := r.newGossip()
	g.Brief = true
	r.emit(message.SendGossip{Peer: delegates[random%uint64(len(delegates))], Gossip: g})
}

// remotePeers picks some other failure domains and one instance of each.
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
		if known := r.gossipTargets(domain); len(known) > 0 {
			// Uses other bits of random than the choice of the failure domain.
			picked = append(picked, known[(random>>32)%uint64(len(known))])
		}
	}
	return picked
}

// gossipTargets returns the known instances of another failure domain: those in
// its summary or, without a recent one, those in the platform's list.
func (r *Reducer) gossipTargets(domain string) []model.Instance {
	var known []model.Instance
	if view, ok := r.members.domains[domain]; ok && view.fresh(r.now) {
		for _, peer := range view.sorted {
			known = append(known, peer.Instance)
		}
	}
	if len(known) == 0 {
		known = r.members.seeds[domain]
	}
	return known
}

// pick returns count consecutive names, starting at a random one.
func pick(names []string, random uint64, count int) []string {
	count = min(count, len(names))
	picked := make([]string, 0, count)
	for i := range count {
		picked = append(picked, names[(random+uint64(i))%uint64(len(names))])
	}
	return picked
}

func (r *Reducer) gossipRequest(to model.Instance) model.Gossip {
	g := r.newGossip()
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

func (r *Reducer) newGossip() model.Gossip {
	return model.Gossip{
		From:                 r.Self,
		Stamp:                r.stamper.Next(r.now),
		ConfigurationVersion: r.head.Version,
		TableRevision:        r.table.current.Revision,
		StoreAge:             r.leaser.Age(r.now),
	}
}

func (r *Reducer) handleGossipReceived(e message.GossipReceived) {
	r.merge(e.Gossip, time.Time{})
	g := r.newGossip()
	if !e.Gossip.Brief && e.Gossip.From.Domain == r.Self.Domain {
		g.Digests = r.newerDigests(e.Gossip.KnownDigests)
	}
	if e.Gossip.WantSummaries {
		g.Summaries = r.newerSummaries(e.Gossip.KnownSummaries)
	}
	r.emit(message.ReplyGossip{Gossip: g})
}

func (r *Reducer) handleGossipReplied(e message.GossipReplied) {
	r.merge(e.Gossip, e.StartedAt)
	if peer := r.members.find(e.Gossip.From.Name, e.Gossip.From.Incarnation); peer != nil {
		peer.roundTrip.Observe(r.now.Sub(e.StartedAt))
	}
}

// handleGossipFailed stops forwarding to an instance for a short time, long before
// it is considered dead.
func (r *Reducer) handleGossipFailed(e message.GossipFailed) {
	if peer := r.members.find(e.Peer.Name, e.Peer.Incarnation); peer != nil {
		peer.markUnreachable(r.now)
	}
}

// merge applies what another instance sent. started is the time of the request
// that g answers, or zero if g is a request itself.
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
