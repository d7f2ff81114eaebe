package steerer

import (
	"math"
	"slices"
	"time"

	"github.com/yuccathread/yuccathread/internal/apportioner"
	"github.com/yuccathread/yuccathread/internal/budgeter"
	"github.com/yuccathread/yuccathread/internal/ejector"
	"github.com/yuccathread/yuccathread/internal/pacer"
	"github.com/yuccathread/yuccathread/internal/placer"
	"github.com/yuccathread/yuccathread/internal/predictor"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

const (
	// ejectFailures is the number of consecutive failures that eject a server.
	ejectFailures = 2
	// ejectPeriod is the length of the first ejection.
	ejectPeriod = time.Second
	// loadDecay is the time constant with which the weight of a load report decays.
	loadDecay = time.Second
	// paceDecay is the time constant with which a reported pace returns to the usual
	// one. A machine's pace changes several times a second.
	paceDecay = 400 * time.Millisecond
	// statsHalfLife is the half-life of a server's failure rate and slowdown.
	statsHalfLife = 3 * time.Second
	// failureGain is the weight of one outcome in a server's failure rate.
	failureGain = 0.2
	// slowdownGain is the weight of one sample in a server's slowdown.
	slowdownGain = 0.25
	// maxSlowdown bounds a sample of the slowdown, so that a single outlier has a
	// limited effect.
	maxSlowdown = 12
	// maxPortConnections is the number of connections that one address can have to a
	// server.
	maxPortConnections = 1<<16 - 1
)

// service holds the servers and the statistics of one service.
type service struct {
	placer  placer.Placer
	servers []*upstream
	// work is how long the service's requests take at a server with free slots.
	work predictor.Predictor
	// budget bounds the retries of the service's calls.
	budget budgeter.Budgeter
	// shares is the share of this region's callers' objects that each region serves,
	// as of sharesAt.
	shares   map[string]float64
	sharesAt time.Time
	// apportioners divide the limits of the servers of each region, as of apportionedAt.
	apportioners  map[string]*apportioner.Apportioner
	apportionedAt time.Time
}

// upstream holds a server's record and the statistics about it.
type upstream struct {
	traffic.Upstream
	region string

	inFlight int
	// running are this instance's attempts at the server.
	running []*attempt
	load    traffic.Load
	loadAt  time.Time
	// ownLoad is this instance's part of the reported load.
	ownLoad int

	coldUntil time.Time
	pacer     *pacer.Pacer
	notice    *notice
	ejector   ejector.Ejector
	limit     rateLimit
	objects   recentObjects
	// rank is this instance's rank for the server in the membership rankOf.
	rank   int
	rankOf uint64
	// failureRate is the share of outcomes that failed, as of failureRateAt.
	failureRate   float64
	failureRateAt time.Time
	// slowdown is how many times longer the server takes than expected, as of
	// slowdownAt.
	slowdown   float64
	slowdownAt time.Time

	// cuts are the attempts that were cut off since the last success.
	cuts []cutWork

	// respondedAt is when this instance last got a response from the server.
	respondedAt time.Time

	// implausible is set while the record claims more slots than the configuration makes
	// possible: another writer may have left it.
	implausible bool
	// missing is set while the store holds no record of the server. The server is
	// removed at keepUntil unless the record returns.
	missing   bool
	keepUntil time.Time
	// misdirected is set if another server has responded at this server's address.
	misdirected bool
}

// remove uncounts one of this instance's attempts at a server.
func (u *upstream) remove(a *attempt) {
	u.inFlight--
	u.running = slices.DeleteFunc(u.running, func(other *attempt) bool { return other == a })
}

func (s *Steerer) handleUpstreamSeen(r traffic.Upstream) {
	u := s.upstreams[r.ID]
	if u != nil && r.Revision < u.Revision || s.isFormer(r) {
		return
	}
	r = s.withKnownDraining(r)
	if u != nil && (u.Started != r.Started || u.Address != r.Address || u.Service != r.Service) {
		s.removeUpstream(u, "restarted")
		u = nil
	}
	if u == nil {
		u = s.addUpstream(r)
	}
	if r.Draining && !u.Draining {
		s.recordStateChange("server is draining", attr("server", r.ID), attr("revision", r.Revision))
	}
	u.Upstream = r
	u.missing = false
	u.misdirected = false
	s.checkPlausible(u)
	s.setCold(u, r.Cold)
}

// checkPlausible marks a server whose record can't be true. A server works at one request
// of a connection at a time, so that it can't use more slots than connections.
func (s *Steerer) checkPlausible(u *upstream) {
	limit := maxPortConnections
	if s.policy != nil && s.policy.Services[u.Service].MaxConnections > 0 {
		limit = s.policy.Services[u.Service].MaxConnections
	}
	implausible := u.Slots > limit
	if implausible != u.implausible {
		s.recordStateChange("server record plausible", attr("server", u.ID), attr("plausible", !implausible),
			attr("slots", u.Slots), attr("connections", limit), attr("revision", u.Revision))
	}
	u.implausible = implausible
}

// setCold marks a server as cold for the remaining time that its newest report states: an
// earlier one may have been another writer's. The time is counted from now, since the age
// of the report is unknown.
func (s *Steerer) setCold(u *upstream, remaining time.Duration) {
	if remaining > 0 && !s.isCold(u) {
		s.recordStateChange("server is cold", attr("server", u.ID), attr("left", remaining))
	}
	u.coldUntil = s.now.Add(remaining)
}

func (s *Steerer) addUpstream(r traffic.Upstream) *upstream {
	u := &upstream{Upstream: r, region: s.Settings.Domains[r.Domain], slowdown: 1}
	u.pacer = s.takePacer(r)
	u.notice = s.noticeOf(r)
	u.ejector = ejector.Ejector{Failures: ejectFailures, Period: ejectPeriod}
	s.upstreams[r.ID] = u
	svc := s.service(r.Service)
	svc.servers = append(svc.servers, u)
	s.recordStateChange("server joined", attr("server", r.ID), attr("service", r.Service), attr("server_domain", r.Domain),
		attr("slots", r.Slots), attr("revision", r.Revision))
	s.applyStoredLimit(u)
	return u
}

// process identifies a server's process: the server may start again under its ID.
type process struct {
	server  string
	started int64
}

// takePacer returns the pacer of a server's process: the former one if its record has
// only been away.
func (s *Steerer) takePacer(r traffic.Upstream) *pacer.Pacer {
	key := process{server: r.ID, started: r.Started}
	former := s.formerPacers[key]
	if former == nil {
		return &pacer.Pacer{Window: time.Second}
	}
	delete(s.formerPacers, key)
	return former
}

// removeIdlePacers removes the pacers of former servers that have got nothing within the
// window.
func (s *Steerer) removeIdlePacers() {
	for key, p := range s.formerPacers {
		if p.Taken(s.now) == 0 {
			delete(s.formerPacers, key)
		}
	}
}

func (s *Steerer) removeUpstream(u *upstream, reason string) {
	delete(s.upstreams, u.ID)
	s.former.servers[process{server: u.ID, started: u.Started}] = s.now.Add(formerRetention)
	s.formerPacers[process{server: u.ID, started: u.Started}] = u.pacer
	u.notice.goneAt = s.now
	svc := s.service(u.Service)
	kept := svc.servers[:0]
	for _, other := range svc.servers {
		if other != u {
			kept = append(kept, other)
		}
	}
	svc.servers = kept
	s.compareLimits(u.ID)
	s.recordStateChange("server left", attr("server", u.ID), attr("reason", reason), attr("revision", u.Revision))
}

// handleUpstreamGone handles the removal of a server's record. During and
// shortly after a store outage the outage may be the cause, so a server that was
// not draining is kept until the time by which it must have written its record
// again.
func (s *Steerer) handleUpstreamGone(id string) {
	u := s.upstreams[id]
	if u == nil || u.missing {
		return
	}
	u.missing = true
	u.keepUntil = s.now
	if !u.Draining {
		u.keepUntil = s.missingRecordDeadline()
	}
	if u.keepUntil.After(s.now) {
		s.recordStateChange("server record lapsed", attr("server", id), attr("kept_for", u.keepUntil.Sub(s.now)))
		return
	}
	s.removeUpstream(u, "record removed")
}

func (s *Steerer) handleUpstreamsListed(ids map[string]bool) {
	s.upstreamsListed = true
	for id := range s.upstreams {
		if !ids[id] {
			s.handleUpstreamGone(id)
		}
	}
}

// removeMissingUpstreams removes the servers whose records have not returned in
// time.
func (s *Steerer) removeMissingUpstreams() {
	for _, u := range s.upstreams {
		if u.missing && !s.now.Before(u.keepUntil) && !s.store.unavailable {
			s.removeUpstream(u, "record did not return")
		}
	}
}

func (s *Steerer) isCold(u *upstream) bool {
	return s.now.Before(u.coldUntil) || s.now.Before(s.coldDomains[u.Domain])
}

// failureRateOf returns the share of a server's outcomes that failed. It decays
// with time.
func (s *Steerer) failureRateOf(u *upstream) float64 {
	return u.failureRate * halfLifeDecay(s.now.Sub(u.failureRateAt), statsHalfLife)
}

// slowdownOf returns how many times longer a server takes than expected. It decays
// towards 1 with time.
func (s *Steerer) slowdownOf(u *upstream) float64 {
	return 1 + (u.slowdown-1)*halfLifeDecay(s.now.Sub(u.slowdownAt), statsHalfLife)
}

// paceOf returns how many times longer than usual work takes at a server at the
// moment, as last reported. It decays towards 1 with the report's age.
func (s *Steerer) paceOf(u *upstream) float64 {
	if u.load.Pace <= 0 {
		return 1
	}
	age := s.now.Sub(u.loadAt)
	return 1 + (u.load.Pace-1)*math.Exp(-float64(age)/float64(paceDecay))
}

func halfLifeDecay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

func (s *Steerer) updateFailureRate(u *upstream, failed bool) {
	rate := s.failureRateOf(u) * (1 - failureGain)
	if failed {
		rate += failureGain
	}
	u.failureRate = rate
	u.failureRateAt = s.now
}

func (s *Steerer) updateLoad(u *upstream, load traffic.Load) {
	if !load.Known {
		return
	}
	u.load = load
	u.loadAt = s.now
	u.ownLoad = u.inFlight
}
