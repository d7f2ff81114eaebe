package steerer

import (
	"cmp"
	"slices"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// organisation is an organisation of the current policy with its statistics, which are kept
// across policy versions as long as the organisation exists.
type organisation struct {
	traffic.Organisation
	quotaUse
	// requests and refused count the requests that have arrived and that were refused.
	requests, refused int64
}

// OrganisationUse is what this instance has seen of an organisation.
type OrganisationUse struct {
	Name              string
	Requests, Refused int64
}

// BusiestOrganisations returns at most n organisations, those with the most requests first.
func (s *Steerer) BusiestOrganisations(n int) []OrganisationUse {
	var uses []OrganisationUse
	for _, o := range s.organisations {
		if o.requests > 0 {
			uses = append(uses, OrganisationUse{Name: o.Name, Requests: o.requests, Refused: o.refused})
		}
	}
	slices.SortFunc(uses, func(a, b OrganisationUse) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Name, b.Name))
	})
	return uses[:min(n, len(uses))]
}

// updateOrganisations takes over the organisations of a policy. A key that several of them
// have identifies none.
func (s *Steerer) updateOrganisations(listed []traffic.Organisation) {
	organisations := make(map[string]*organisation, len(listed))
	byKey := make(map[string]*organisation)
	ambiguous := make(map[string]bool)
	for _, o := range listed {
		existing := s.organisations[o.Name]
		if existing == nil {
			existing = &organisation{}
		}
		existing.Organisation = o
		organisations[o.Name] = existing
		for _, key := range o.Keys {
			if other := byKey[key]; other != nil && other != existing {
				ambiguous[key] = true
			}
			byKey[key] = existing
		}
	}
	for key := range ambiguous {
		delete(byKey, key)
	}
	delete(byKey, "")
	if len(ambiguous) > 0 {
		s.recordStateChange("keys of several organisations", attr("keys", len(ambiguous)))
	}
	s.organisations, s.organisationsByKey = organisations, byKey
}

// identify returns the organisation that a key identifies at a route, or nil where callers
// need no key and have none. ok is false if the caller must not use the route.
func (s *Steerer) identify(r *route, key string) (o *organisation, ok bool) {
	o = s.organisationsByKey[key]
	return o, o != nil || r.Public || len(s.organisations) == 0
}

// rankOf returns the rank of an organisation's requests at a route.
func rankOf(r *route, o *organisation) int {
	if o != nil && o.Ranked {
		return o.Rank
	}
	return r.Rank
}

// keysOutdated reports whether keys may have been withdrawn so long ago, without this
// instance knowing of it, that none may be accepted.
func (s *Steerer) keysOutdated() bool {
	bounds := s.Settings.Bounds
	// The loss of the store may have been noticed only after Reconnect.
	usable := bounds.Revoke.Duration - bounds.Reconnect.Duration
	return bounds.RevokeStrict && s.store.unavailable && s.now.Sub(s.store.lostAt) >= usable
}

// organisationName returns the name of the caller's organisation, or an empty string.
func (c *call) organisationName() string {
	if c.organisation == nil {
		return ""
	}
	return c.organisation.Name
}

// rank returns the rank of a call; 0 is the most urgent.
func (c *call) rank() int {
	return rankOf(c.route, c.organisation)
}

// mayRunIn reports whether the homes of a call's route and organisation both allow a region.
func (c *call) mayRunIn(region string) bool {
	return regionAllowed(c.route.HomeRegions, region) &&
		(c.organisation == nil || regionAllowed(c.organisation.HomeRegions, region))
}
