package steerer

import (
	"slices"
	"strings"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// maxAddresses is the largest number of addresses in a look-up's result.
const maxAddresses = 64

// handleLookUp returns the addresses of available instances in the caller's region, the
// strong ones if they suffice. If that region has none, it returns those in the homes of the
// host's routes, or else of all, or this instance if none is available at all.
func (s *Steerer) handleLookUp(q traffic.Query) {
	selected := s.availableInstances(func(i traffic.Instance) bool { return i.Region == q.Region })
	if len(selected) == 0 {
		homes := s.homesOf(q.Host)
		selected = s.availableInstances(func(i traffic.Instance) bool { return regionAllowed(homes, i.Region) })
	}
	if len(selected) == 0 {
		selected = s.availableInstances(func(traffic.Instance) bool { return true })
	}
	if len(selected) == 0 {
		selected = []traffic.Instance{s.Self}
	}
	selected = chooseStrong(selected)
	selected = chooseAddresses(selected, q.Domain)
	result := traffic.LookUpResult{Lifetime: s.times().LookUpLifetime()}
	for _, i := range selected {
		result.Addresses = append(result.Addresses, i.Address)
	}
	s.emit(result)
}

// homesOf returns the regions in which some route of a host has its home, or nil if none of
// its routes has one.
func (s *Steerer) homesOf(host string) []string {
	var homes []string
	if s.policy == nil {
		return nil
	}
	for _, r := range s.policy.Routes {
		if strings.EqualFold(r.Host, host) {
			homes = append(homes, r.HomeRegions...)
		}
	}
	return homes
}

// chooseAddresses returns at most maxAddresses instances, in the order of their names. If
// there are more, it takes those of the caller's failure domain first, and others by
// their hash with that domain, so that the callers of different domains use different
// ones and each instance has its callers.
func chooseAddresses(found []traffic.Instance, callerDomain string) []traffic.Instance {
	if len(found) > maxAddresses {
		sortNearFirst(found, callerDomain, callerDomain)
		found = found[:maxAddresses]
	}
	slices.SortFunc(found, func(a, b traffic.Instance) int { return strings.Compare(a.Name, b.Name) })
	return found
}

// availableInstances returns the instances that callers may use and that match.
func (s *Steerer) availableInstances(matches func(traffic.Instance) bool) []traffic.Instance {
	var found []traffic.Instance
	for name, existing := range s.instances.records {
		if name != s.Self.Name && !existing.Leaving && matches(existing.Instance) {
			found = append(found, existing.Instance)
		}
	}
	if s.Ready() && matches(s.Self) {
		found = append(found, s.Self)
	}
	return found
}
