package steerer

import (
	"math"
	"time"

	"github.com/yuccathread/yuccathread/internal/budgeter"
	"github.com/yuccathread/yuccathread/internal/ejector"
	"github.com/yuccathread/yuccathread/internal/pacer"
	"github.com/yuccathread/yuccathread/internal/placer"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

const (
	// ejectFailures in a row take a server out of use.
	ejectFailures = 2
	// ejectPeriod is the length of the first ejection.
	ejectPeriod = time.Second
	// loadAge is the time in which a report of load loses most of its weight.
	loadAge = time.Second
	// faultHalfLife is the time in which a server's failures are half forgotten.
	faultHalfLife = 3 * time.Second
	// faultGain is the weight of one outcome in a server's failure rate.
	faultGain = 0.2
	// slowGain is the weight of one sample in a server's slowness.
	slowGain = 0.25
	// maxSlowness bounds what one bad sample says about a server.
	maxSlowness = 12
)

// service is the set of servers of one service.
type service struct {
	placer  placer.Placer
	servers []*upstream
	// budget bounds the repeats towards the service.
	budget budgeter.Budgeter
	// shares is the part of the own callers' objects that each region takes.
	shares   map[string]float64
	sharesAt time.Time
}

// upstream is what is believed about one server.
type upstream struct {
	traffic.Upstream
	region string

	inFlight int
	load     traffic.Load
	loadAt   time.Time
	// loadOwn is the own part of the reported load.
	loadOwn int

	coldUntil time.Time
	pacer     pacer.Pacer
	ejector   ejector.Ejector
	objects   objectMemory
	fault     float64
	faultAt   time.Time
	slowness  float64
	slowAt    time.Time

	// gone servers have no record; until the time, the loss of the record may
	// be the store's.
	gone      bool
	goneUntil time.Time
	// misdirected servers have handed their address on.
	misdirected bool
}

func (s *Steerer) upstreamSeen(r traffic.Upstream) {
	u := s.upstreams[r.ID]
	if u != nil && r.Revision < u.Revision {
		return
	}
	if u != nil && (u.Started != r.Started || u.Address != r.Address || u.Service != r.Service) {
		s.removeUpstream(u, "restarted")
		u = nil
	}
	if u == nil {
		u = s.addUpstream(r)
	}
	if r.Draining && !u.Draining {
		s.recordBelief("server is draining", attr("server", r.ID), attr("revision", r.Revision))
	}
	u.Upstream = r
	u.gone = false
	u.misdirected = false
	s.setCold(u, r.Cold)
}

// setCold takes in how much longer a server is cold, counted from now, since
// the age of its report is not known.
func (s *Steerer) setCold(u *upstream, left time.Duration) {
	if left <= 0 {
		return
	}
	until := s.now.Add(left)
	if !s.cold(u) {
		s.recordBelief("server is cold", attr("server", u.ID), attr("left", left))
	}
	if until.After(u.coldUntil) {
		u.coldUntil = until
	}
}

func (s *Steerer) addUpstream(r traffic.Upstream) *upstream {
	u := &upstream{Upstream: r, region: s.Settings.Domains[r.Domain], slowness: 1}
	u.pacer.Window = time.Second
	u.ejector = ejector.Ejector{Failures: ejectFailures, Period: ejectPeriod}
	s.upstreams[r.ID] = u
	v := s.service(r.Service)
	v.servers = append(v.servers, u)
	s.recordBelief("server joined", attr("server", r.ID), attr("service", r.Service), attr("failure_domain", r.Domain),
		attr("slots", r.Slots), attr("revision", r.Revision))
	return u
}

func (s *Steerer) removeUpstream(u *upstream, reason string) {
	delete(s.upstreams, u.ID)
	v := s.service(u.Service)
	kept := v.servers[:0]
	for _, other := range v.servers {
		if other != u {
			kept = append(kept, other)
		}
	}
	v.servers = kept
	s.recordBelief("server left", attr("server", u.ID), attr("reason", reason), attr("revision", u.Revision))
}

// upstreamGone takes in that a record has gone. While the store recovers the
// loss may be the store's: such servers are kept until their records must be
// back.
func (s *Steerer) upstreamGone(id string) {
	u := s.upstreams[id]
	if u == nil || u.gone {
		return
	}
	u.gone = true
	u.goneUntil = s.now
	if !u.Draining {
		u.goneUntil = s.doubtUntil()
	}
	if u.goneUntil.After(s.now) {
		s.recordBelief("server record lapsed", attr("server", id), attr("kept_for", u.goneUntil.Sub(s.now)))
		return
	}
	s.removeUpstream(u, "record removed")
}

func (s *Steerer) listUpstreams(ids map[string]bool) {
	s.upstreamsListed = true
	for id := range s.upstreams {
		if !ids[id] {
			s.upstreamGone(id)
		}
	}
}

// dropDoubtful removes servers whose records have not come back in time.
func (s *Steerer) dropDoubtful() {
	for _, u := range s.upstreams {
		if u.gone && !s.now.Before(u.goneUntil) && !s.store.away {
			s.removeUpstream(u, "record did not return")
		}
	}
}

func (s *Steerer) cold(u *upstream) bool {
	return s.now.Before(u.coldUntil) || s.now.Before(s.cooling[u.Domain])
}

// loadOf estimates the requests at a server: the own ones, and those of other
// instances by the newest report.
func (s *Steerer) loadOf(u *upstream) float64 {
	if !u.load.Known {
		return float64(u.inFlight)
	}
	others := float64(max(0, u.load.Running+u.load.Waiting-u.loadOwn))
	age := s.now.Sub(u.loadAt)
	return float64(u.inFlight) + others*math.Exp(-float64(age)/float64(loadAge))
}

// faultOf is the share of a server's outcomes that failed, with the older ones
// forgotten.
func (s *Steerer) faultOf(u *upstream) float64 {
	return u.fault * halved(s.now.Sub(u.faultAt), faultHalfLife)
}

// slownessOf is how many times longer a server takes than others, with old
// samples forgotten.
func (s *Steerer) slownessOf(u *upstream) float64 {
	return 1 + (u.slowness-1)*halved(s.now.Sub(u.slowAt), faultHalfLife)
}

func halved(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

func (s *Steerer) observeFault(u *upstream, failed bool) {
	rate := s.faultOf(u) * (1 - faultGain)
	if failed {
		rate += faultGain
	}
	u.fault = rate
	u.faultAt = s.now
}

func (s *Steerer) observeSlowness(u *upstream, ratio float64) {
	ratio = min(max(ratio, 1.0/maxSlowness), maxSlowness)
	u.slowness = s.slownessOf(u)*(1-slowGain) + ratio*slowGain
	u.slowAt = s.now
}

func (s *Steerer) observeLoad(u *upstream, load traffic.Load) {
	if !load.Known {
		return
	}
	u.load = load
	u.loadAt = s.now
	u.loadOwn = u.inFlight
}
