package reducer

import (
	"maps"
	"slices"

	"github.com/yuccathread/yuccathread/internal/model"
)

// Status describes the instance and its view of the fleet.
func (r *Reducer) Status() model.Status {
	s := model.Status{
		Instance:             r.Self,
		Ready:                r.Ready(),
		Leaving:              r.stopping.active,
		ConfigurationVersion: r.head.Version,
		TableRevision:        r.table.current.Revision,
		LeaseValid:           r.leaser.Valid(r.now),
		StoreAway:            r.leaser.StoreUnavailable(),
		InFlight:             len(r.pending),
		OnceOnlyRecords:      r.keeper.Len(),
	}
	for _, name := range slices.Sorted(maps.Keys(r.servers)) {
		s.Servers = append(s.Servers, r.serverStatus(r.servers[name]))
	}
	for _, peer := range r.members.sorted {
		s.Members = append(s.Members, model.MemberStatus{
			Name:                 peer.Name,
			Address:              peer.Address,
			PeerAddress:          peer.PeerAddress,
			Alive:                r.members.live(r.now, peer),
			Leaving:              peer.leaving,
			ConfigurationVersion: peer.configurationVersion,
		})
	}
	if r.policy != nil {
		s.Domains = r.domainStatuses()
	}
	return s
}

func (r *Reducer) serverStatus(s *server) model.ServerStatus {
	return model.ServerStatus{
		Name:     s.Name,
		Service:  s.Service,
		InFlight: s.inFlight,
		Draining: s.draining(r.now),
		Ejected:  s.Ejected(r.now),
		Owned:    s.owned,
		Allowed:  r.allowedSlots(s),
	}
}

func (r *Reducer) domainStatuses() []model.DomainStatus {
	var statuses []model.DomainStatus
	for _, domain := range slices.Sorted(maps.Keys(r.policy.regionOf)) {
		if domain == r.Self.Domain {
			statuses = append(statuses, r.ownDomainStatus())
			continue
		}
		status := model.DomainStatus{Name: domain}
		if view, ok := r.members.domains[domain]; ok {
			status.Heard = view.fresh(r.now)
			status.OldestVersion = view.OldestVersion
			status.Laggards = view.Laggards
			for _, peer := range view.sorted {
				status.Addresses = append(status.Addresses, peer.Address)
			}
		}
		statuses = append(statuses, status)
	}
	return statuses
}

func (r *Reducer) ownDomainStatus() model.DomainStatus {
	summary := r.summarize()
	status := model.DomainStatus{
		Name:          r.Self.Domain,
		Heard:         true,
		OldestVersion: summary.OldestVersion,
		Laggards:      summary.Laggards,
		Addresses:     []string{r.Self.Address},
	}
	for peer := range r.members.liveIn(r.now, r.Self.Domain) {
		status.Addresses = append(status.Addresses, peer.Address)
	}
	return status
}
