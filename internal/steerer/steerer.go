// Package steerer takes every decision of an entry instance on a managed
// platform: one function from an event and the state before it to effects.
//
// It admits a request, chooses the server, says what may be tried again, and
// believes what the store, the servers' answers and its own outcomes say of
// servers and instances. It has no clock, socket or goroutine: time comes with
// each event and effects are data (see package traffic).
//
// Usage:
//
//	s := &steerer.Steerer{Self: self, Settings: settings}
//	effects := s.Reduce(now, traffic.Arrived{Call: 1, Request: request, Read: now})
//
// Files follow the topics: admission, eligibility, placement, outcome, retries,
// upstreams, evacuations, instances, look-ups and logs. A Steerer is not safe
// for concurrent use; the returned slice is valid until the next call.
package steerer

import (
	"strings"
	"time"

	"github.com/yuccathread/yuccathread/internal/splitter"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

// Steerer is the state of one entry instance. Set the exported fields before
// the first event.
type Steerer struct {
	Self     traffic.Instance
	Settings traffic.Settings

	now     time.Time
	started time.Time
	effects []traffic.Effect

	policy    *traffic.Policy
	routes    map[string]*route
	services  map[string]*service
	upstreams map[string]*upstream
	evacuated map[string]bool
	store     storeState
	// upstreamsListed and instancesListed are set after the first full read.
	upstreamsListed bool
	instancesListed bool
	// cooling are the domains whose evacuation has ended lately, with the time
	// until which their servers may be cold unseen.
	cooling   map[string]time.Time
	calls     map[uint64]*call
	instances membership
	serving   bool
	stopping  time.Time
	// regionNames is worked out from the settings once.
	regionNames map[string]bool
}

// route is a route in force with what was learned about it. It outlives
// versions of the policy.
type route struct {
	traffic.Route
	weights  []float64
	splitter splitter.Splitter
	times    times
}

// Reduce takes in one event and returns what is to be done.
func (s *Steerer) Reduce(now time.Time, e traffic.Event) []traffic.Effect {
	if s.upstreams == nil {
		s.start(now)
	}
	s.now = now
	s.effects = s.effects[:0]
	s.reduce(e)
	return s.effects
}

func (s *Steerer) start(now time.Time) {
	s.started = now
	s.routes = make(map[string]*route)
	s.services = make(map[string]*service)
	s.upstreams = make(map[string]*upstream)
	s.evacuated = make(map[string]bool)
	s.cooling = make(map[string]time.Time)
	s.calls = make(map[uint64]*call)
	s.instances.start()
}

func (s *Steerer) reduce(e traffic.Event) {
	switch e := e.(type) {
	case traffic.Arrived:
		s.arrived(e)
	case traffic.Ended:
		s.ended(e)
	case traffic.Overdue:
		s.overdue(e)
	case traffic.Expired:
		s.expired(e.Call)
	case traffic.Left:
		s.left(e.Call)
	case traffic.LookedUp:
		s.lookedUp(e.Query)
	case traffic.Ticked:
		s.tick()
	case traffic.SettingsReloaded:
		s.Settings = e.Settings
		s.regionNames = nil
	case traffic.ServingStarted:
		s.serving = true
	case traffic.StopRequested:
		s.stopRequested()
	default:
		s.reduceBelief(e)
	}
}

func (s *Steerer) reduceBelief(e traffic.Event) {
	switch e := e.(type) {
	case traffic.PolicySeen:
		s.policySeen(e)
	case traffic.UpstreamSeen:
		s.upstreamSeen(e.Upstream)
	case traffic.UpstreamGone:
		s.upstreamGone(e.ID)
	case traffic.UpstreamsListed:
		s.listUpstreams(e.IDs)
	case traffic.EvacuationSeen:
		s.evacuationSeen(e.Domain)
	case traffic.EvacuationGone:
		s.evacuationGone(e.Domain)
	case traffic.EvacuationsListed:
		s.listEvacuations(e.Domains)
	case traffic.InstanceSeen:
		s.instanceSeen(e.Instance)
	case traffic.InstanceGone:
		s.instanceGone(e.Name)
	case traffic.InstancesListed:
		s.listInstances(e.Names)
	case traffic.StoreLost:
		s.storeLost(e)
	case traffic.StoreRegained:
		s.storeRegained()
	}
}

// tick applies what only the passing of time changes.
func (s *Steerer) tick() {
	s.dropDoubtful()
	s.dropInstances()
	s.instances.forget(s.now)
}

// Ready reports whether callers may come: the policy and the servers are
// known, the callers' address is open and no stop was requested.
func (s *Steerer) Ready() bool {
	return s.Informed() && s.serving && s.stopping.IsZero()
}

// Informed reports whether the policy, the servers and the instances are
// known. Without the instances this one would take the shares of all.
func (s *Steerer) Informed() bool {
	return s.policy != nil && s.upstreamsListed && s.instancesListed
}

// Limits returns what callers may send, as the policy in force says.
func (s *Steerer) Limits() traffic.Limits {
	if s.policy == nil {
		return traffic.Limits{}
	}
	return s.policy.Limits
}

// InFlight returns the number of requests without a final answer.
func (s *Steerer) InFlight() int {
	return len(s.calls)
}

func (s *Steerer) stopRequested() {
	if !s.stopping.IsZero() {
		return
	}
	s.stopping = s.now
	s.Self.Leaving = true
	s.recordBelief("stop requested", attr("in_flight", len(s.calls)))
}

func (s *Steerer) emit(x traffic.Effect) {
	s.effects = append(s.effects, x)
}

// policySeen puts a newer version in force; an older one is never taken back.
func (s *Steerer) policySeen(e traffic.PolicySeen) {
	if s.policy != nil && e.Policy.Version <= s.policy.Version {
		return
	}
	routes := make(map[string]*route, len(e.Policy.Routes))
	for _, r := range e.Policy.Routes {
		known := s.routes[r.Name]
		if known == nil {
			known = &route{}
			known.times.start(r.Target)
		}
		known.Route = r
		known.weights = known.weights[:0]
		for _, share := range r.Shares {
			known.weights = append(known.weights, share.Weight)
		}
		routes[r.Name] = known
	}
	s.routes = routes
	policy := e.Policy
	s.policy = &policy
	s.recordBelief("configuration in force", attr("version", policy.Version), attr("revision", e.Revision),
		attr("routes", len(routes)))
}

// match returns the route with the longest prefix of a path.
func (s *Steerer) match(host, path string) *route {
	var best *route
	for _, r := range s.routes {
		if !strings.EqualFold(r.Host, host) || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if best == nil || len(r.Prefix) > len(best.Prefix) {
			best = r
		}
	}
	return best
}

func (s *Steerer) service(name string) *service {
	v := s.services[name]
	if v == nil {
		v = &service{}
		v.placer.Seed = name
		s.services[name] = v
	}
	return v
}

// Version returns the version of the policy in force; 0 without one.
func (s *Steerer) Version() int64 {
	if s.policy == nil {
		return 0
	}
	return s.policy.Version
}
