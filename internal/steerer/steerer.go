// Package steerer makes all decisions of an entry instance on a managed platform.
// It is a reducer: a function from an event and the current state to effects.
//
// It admits requests, chooses their servers and decides on retries. It derives the
// state of servers and instances from the store's records, the servers' responses
// and the outcomes of its own attempts. It has no clock, socket or goroutine: the
// time is passed with each event, and effects are data (see package traffic).
//
// Usage:
//
//	s := &steerer.Steerer{Self: self, Settings: settings}
//	effects := s.Reduce(now, traffic.Arrived{Call: 1, Request: request, Read: now})
//
// There is one file per topic: admission, eligibility, placement, cached objects, what work is
// learned to take (work.go), what servers have to do still (backlog.go), the first byte of an
// attempt (starting.go), outcomes, retries, second attempts (hedge.go), upstreams, regions, limits
// of servers, organisations, their room (room.go) and their quotas (quota.go; quota_ask.go asks
// lenders, lenders.go says who lends, lending.go lends), instances, log records, the effects of
// store outages and evacuations (belief.go), and what a store that was restored from a copy brings
// back (restoration.go). A Steerer is not safe for concurrent use, and the slice that Reduce
// returns is valid until the next call.
package steerer

import (
	"reflect"
	"time"

	"github.com/yuccathread/yuccathread/internal/detector"
	"github.com/yuccathread/yuccathread/internal/matcher"
	"github.com/yuccathread/yuccathread/internal/measurer"
	"github.com/yuccathread/yuccathread/internal/pacer"
	"github.com/yuccathread/yuccathread/internal/sharer"
	"github.com/yuccathread/yuccathread/internal/splitter"
	"github.com/yuccathread/yuccathread/internal/timekeeper"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

// Steerer holds the state of one entry instance. Set the exported fields before
// the first event.
type Steerer struct {
	Self     traffic.Instance
	Settings traffic.Settings

	now     time.Time
	effects []traffic.Effect
	// reductions counts the events.
	reductions uint64

	policy *traffic.Policy
	// policyRevision is the store revision of the policy's record.
	policyRevision int64
	// policyNumber counts the policies that have been in force here. Versions do not tell
	// them apart: a store that has come back from a copy may give one out again.
	policyNumber uint64
	routes       map[string]*route
	// matcher finds the route of a request.
	matcher  matcher.Matcher[*route]
	services map[string]*service
	// organisations holds those of the policy by name, and organisationsByKey by their keys.
	organisations      map[string]*organisation
	organisationsByKey map[string]*organisation
	// borrowing holds the organisations of whose quotas this instance may need tokens,
	// lenderLinks the instances that it asks for them, and lenders those that lend.
	borrowing   []*organisation
	lenderLinks map[string]*lenderLink
	lenders     lenders
	// lastQuery numbers the queries to lenders, and quotaRefusals counts the calls refused for
	// want of a token.
	lastQuery     uint64
	quotaRefusals int64
	// rooms holds the division of the servers' room among organisations.
	rooms map[roomKey]*sharer.Sharer
	// refusedBeyondShare counts the calls refused by it.
	refusedBeyondShare int
	upstreams          map[string]*upstream
	// formerPacers holds the pacers of removed servers, whose records may return.
	formerPacers map[process]*pacer.Pacer
	// notices holds what servers' processes have said of themselves, of those that have
	// said something.
	notices   map[process]*notice
	evacuated map[string]bool
	store     storeState
	former    formerRecords
	// upstreamsListed and instancesListed are set by the first full read of the store.
	upstreamsListed bool
	instancesListed bool
	// coldDomains maps each failure domain whose evacuation has ended to the time
	// until which its servers are treated as cold, even if no report says so.
	coldDomains map[string]time.Time
	calls       map[uint64]*call
	// storedLimits holds the limits of servers that the store holds, and
	// unpublishedLimits those that it should hold and does not.
	storedLimits      map[string]traffic.ServerLimit
	unpublishedLimits map[string]*limitNews
	// roundTrips maps each failure domain to the round-trip time to its servers.
	roundTrips map[string]*measurer.Measurer
	instances  membership
	overload   detector.Detector
	serving    bool
	// stoppingSince is when the stop was requested, or zero if it was not.
	stoppingSince time.Time
	// regionNames caches the names of the regions in the settings.
	regionNames map[string]bool
}

// route is a route of the current policy with its statistics, which are kept across
// policy versions as long as the route exists.
type route struct {
	traffic.Route
	weights   []float64
	splitter  splitter.Splitter
	workTimes workTimes
}

// Reduce applies an event to the state and returns the effects to carry out.
func (s *Steerer) Reduce(now time.Time, e traffic.Event) []traffic.Effect {
	if s.upstreams == nil {
		s.initialize()
	}
	s.now = now
	s.reductions++
	s.effects = s.effects[:0]
	s.reduce(e)
	return s.effects
}

func (s *Steerer) initialize() {
	s.routes = make(map[string]*route)
	s.services = make(map[string]*service)
	s.upstreams = make(map[string]*upstream)
	s.formerPacers = make(map[process]*pacer.Pacer)
	s.notices = make(map[process]*notice)
	s.evacuated = make(map[string]bool)
	s.coldDomains = make(map[string]time.Time)
	s.calls = make(map[uint64]*call)
	s.storedLimits = make(map[string]traffic.ServerLimit)
	s.unpublishedLimits = make(map[string]*limitNews)
	s.roundTrips = make(map[string]*measurer.Measurer)
	s.instances.initialize()
	s.former.initialize()
	s.lenderLinks = make(map[string]*lenderLink)
}

func (s *Steerer) reduce(e traffic.Event) {
	switch e := e.(type) {
	case traffic.Arrived:
		s.handleArrived(e)
	case traffic.Starting:
		s.handleStarting(e)
	case traffic.Ended:
		s.handleEnded(e)
	case traffic.RestEnded:
		s.handleRestEnded(e)
	case traffic.Overdue:
		s.handleOverdue(e)
	case traffic.Expired:
		s.handleExpired(e.Call)
	case traffic.CallerLeft:
		s.handleCallerLeft(e.Call)
	case traffic.LookUpRequested:
		s.handleLookUp(e.Query)
	case traffic.ExplanationRequested:
		s.handleExplanation(e.Request)
	case traffic.Ticked:
		s.tick(e.Late)
	case traffic.SettingsReloaded:
		s.Settings = e.Settings
		s.regionNames = nil
		s.lenders.stale = true
	case traffic.ServingStarted:
		s.serving = true
	case traffic.StopRequested:
		s.handleStopRequested()
	case traffic.Suspended:
		s.handleSuspended(e.For)
	default:
		s.reduceStoreEvent(e)
	}
}

func (s *Steerer) reduceStoreEvent(e traffic.Event) {
	switch e := e.(type) {
	case traffic.PolicySeen:
		s.handlePolicySeen(e)
	case traffic.UpstreamSeen:
		s.handleUpstreamSeen(e.Upstream)
	case traffic.UpstreamGone:
		s.handleUpstreamGone(e.ID)
	case traffic.UpstreamsListed:
		s.handleUpstreamsListed(e.IDs)
	case traffic.EvacuationSeen:
		s.handleEvacuationSeen(e.Domain)
	case traffic.EvacuationGone:
		s.handleEvacuationGone(e.Domain)
	case traffic.EvacuationsListed:
		s.handleEvacuationsListed(e.Domains)
	case traffic.InstanceSeen:
		s.handleInstanceSeen(e.Instance)
	case traffic.InstanceGone:
		s.handleInstanceGone(e.Name, e.Revision)
	case traffic.InstancesListed:
		s.handleInstancesListed(e)
	case traffic.FleetSizeSeen:
		s.instances.storedSize = e.Instances
	case traffic.RecordKept:
		s.handleRecordKept(e)
	case traffic.StoreLost:
		s.handleStoreLost(e)
	case traffic.StoreRegained:
		s.handleStoreRegained(e)
	case traffic.StoreRestored:
		s.handleStoreRestored(e)
	default:
		s.reduceLimitEvent(e)
	}
}

func (s *Steerer) reduceLimitEvent(e traffic.Event) {
	switch e := e.(type) {
	case traffic.LimitSeen:
		s.handleLimitSeen(e.Limit)
	case traffic.LimitGone:
		s.handleLimitGone(e.Server)
	case traffic.LimitsListed:
		s.handleLimitsListed(e.Servers)
	default:
		s.reduceQuotaEvent(e)
	}
}

func (s *Steerer) reduceQuotaEvent(e traffic.Event) {
	switch e := e.(type) {
	case traffic.StoreEraSeen:
		s.lenders.restored = e.Era > traffic.FirstEra
	case traffic.QuotaWanted:
		s.handleQuotaWanted(e.Query)
	case traffic.QuotaLent:
		s.handleQuotaLent(e)
	case traffic.LenderFailed:
		s.handleLenderFailed(e)
	}
}

// tick applies changes that depend only on the time, and on how late timers fire.
func (s *Steerer) tick(late time.Duration) {
	s.observeLateness(late)
	s.removeMissingUpstreams()
	s.removeIdlePacers()
	s.removeIdleRooms()
	s.expireNotices()
	s.removeMissingInstances()
	s.instances.expireDeparted(s.now)
	s.former.expire(s.now)
	s.believeReturned()
	s.recordDivision()
	s.publishLimits()
	s.publishSize()
	s.keepQuotas()
}

// times returns the intervals that follow from the bounds in the settings.
func (s *Steerer) times() *timekeeper.Timekeeper {
	return &timekeeper.Timekeeper{Bounds: s.Settings.Bounds}
}

func (s *Steerer) emit(x traffic.Effect) {
	s.effects = append(s.effects, x)
}

// handlePolicySeen applies a policy if its version is newer than the current one.
func (s *Steerer) handlePolicySeen(e traffic.PolicySeen) {
	if !s.isNewPolicy(e) {
		return
	}
	s.policyRevision = e.Revision
	s.policyNumber++
	routes := make(map[string]*route, len(e.Policy.Routes))
	for _, r := range e.Policy.Routes {
		existing := s.routes[r.Name]
		if existing == nil {
			existing = &route{}
			existing.workTimes.initialize(r.Target)
		}
		existing.Route = r
		existing.weights = existing.weights[:0]
		for _, share := range r.Shares {
			existing.weights = append(existing.weights, share.Weight)
		}
		routes[r.Name] = existing
	}
	s.routes = routes
	s.matcher = matcher.Matcher[*route]{}
	for _, r := range e.Policy.Routes {
		s.matcher.Add(r.Host, r.Prefix, routes[r.Name])
	}
	s.updateOrganisations(e.Policy.Organisations)
	policy := e.Policy
	s.policy = &policy
	for _, u := range s.upstreams {
		s.checkPlausible(u)
	}
	s.recordStateChange("configuration in force", attr("version", policy.Version), attr("revision", e.Revision),
		attr("routes", len(routes)), attr("organisations", len(s.organisations)))
}

// isNewPolicy reports whether a policy is newer than the one in force. A store that has come
// back from a copy may hold an older one, which must not come back, and later another one
// with the same version.
func (s *Steerer) isNewPolicy(e traffic.PolicySeen) bool {
	if s.policy == nil || e.Policy.Version != s.policy.Version {
		return s.policy == nil || e.Policy.Version > s.policy.Version
	}
	return e.Revision > s.policyRevision && !reflect.DeepEqual(e.Policy, *s.policy)
}

// match returns the route of the host with the longest prefix that matches the
// path, or nil.
func (s *Steerer) match(host, path string) *route {
	r, _ := s.matcher.Match(host, path)
	return r
}

func (s *Steerer) service(name string) *service {
	svc := s.services[name]
	if svc == nil {
		svc = &service{}
		svc.placer.Seed = name
		s.services[name] = svc
	}
	return svc
}

// Version returns the version of the current policy, or 0 if there is none.
func (s *Steerer) Version() int64 {
	if s.policy == nil {
		return 0
	}
	return s.policy.Version
}
