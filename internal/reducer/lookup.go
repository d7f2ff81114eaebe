package reducer

import (
	"net/netip"

	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
)

// handleLookUpRequested answers which instances a client should use, in order of
// preference. They are grouped by failure domain, in the order of domainOrder.
func (r *Reducer) handleLookUpRequested(e message.LookUpRequested) {
	if r.policy == nil {
		r.emit(message.AnswerLookUp{ID: e.ID, Code: model.CodeNotReady})
		return
	}
	k, ok := r.policy.kinds[e.Kind]
	if !ok {
		r.emit(message.AnswerLookUp{ID: e.ID, Code: model.CodeUnknownKind})
		return
	}
	home := r.policy.homeDomain(e.Client, r.Self.Domain)
	entries := make([]model.Instance, 0, r.policy.LookUp.Entries)
	for _, domain := range r.policy.domainOrder(k, home) {
		if len(entries) == cap(entries) {
			break
		}
		entries = r.appendEntries(entries, domain, e.Random)
	}
	if len(entries) == 0 && !r.stopping.active {
		entries = append(entries, r.Self)
	}
	r.emit(message.AnswerLookUp{
		ID:      e.ID,
		Entries: entries,
		Home:    home,
		TTL:     r.policy.LookUp.TTL.Duration,
		Version: r.policy.version,
		Code:    model.CodeOK,
	})
}

// appendEntries adds the instances of a failure domain, starting at a random
// one.
func (r *Reducer) appendEntries(entries []model.Instance, domain string, random uint64) []model.Instance {
	available := r.lookUpScratch[:0]
	if domain == r.Self.Domain && !r.stopping.active {
		available = append(available, &r.Self)
	}
	for peer := range r.members.liveIn(r.now, domain) {
		if peer.ready && !peer.leaving {
			available = append(available, &peer.Instance)
		}
	}
	r.lookUpScratch = available
	for i := range available {
		if len(entries) == cap(entries) {
			break
		}
		entries = append(entries, *available[(random+uint64(i))%uint64(len(available))])
	}
	return entries
}

// HomeDomain returns the failure domain nearest to a client.
func (r *Reducer) HomeDomain(client netip.Addr) string {
	if r.policy == nil {
		return r.Self.Domain
	}
	return r.policy.homeDomain(client, r.Self.Domain)
}
