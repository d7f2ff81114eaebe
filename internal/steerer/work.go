package steerer

import (
	"math"
	"time"

	"github.com/yuccathread/yuccathread/internal/predictor"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

const (
	// minSamples is the number of samples that make a route's times reliable.
	minSamples = 8
	// Until there are samples, the mean time of cached objects is the target latency
	// divided by cachedTargetDivisor.
	cachedTargetDivisor = 2
	// troubleOdds is how likely a server is taken to be slow or silent before anything speaks
	// for it.
	troubleOdds = 0.01
	// cutRetention is how long a cut attempt waits for a sign that its server was well.
	cutRetention = 10 * time.Second
	// maxUsualSlowness is how many times longer than usual a server takes at most to say
	// something of the work.
	maxUsualSlowness = 1.5
	// maxCuts bounds the cut attempts that are kept for each server.
	maxCuts = 8
)

// workTimes learns how long a route's requests take at a server with free slots, with and
// without the object in the server's cache.
type workTimes struct {
	cached   predictor.Predictor
	uncached predictor.Predictor
	samples  int
}

func (t *workTimes) initialize(target time.Duration) {
	t.cached.Initial = target / cachedTargetDivisor
	t.uncached.Initial = target
}

// of returns the times with or without the object in the server's cache.
func (t *workTimes) of(cached bool) *predictor.Predictor {
	if cached {
		return &t.cached
	}
	return &t.uncached
}

func (t *workTimes) observe(cached bool, sample time.Duration) {
	t.of(cached).Observe(sample)
	t.samples++
}

// reliable reports whether the times are based on enough samples.
func (t *workTimes) reliable() bool {
	return t.samples >= minSamples
}

// mean returns the mean time. A cached object takes no longer than another, whichever of the
// two times there are samples of.
func (t *workTimes) mean(cached bool) time.Duration {
	hit, miss := t.cached.Mean(), t.uncached.Mean()
	switch {
	case cached && t.uncached.Reliable():
		return min(hit, miss)
	case !cached && t.cached.Reliable() && !t.uncached.Reliable():
		return max(hit, miss)
	case cached:
		return hit
	}
	return miss
}

// learnWork updates the route's work times and the server's slowdown, unless the server had a
// queue or an unusual pace: the time then says little about either.
func (s *Steerer) learnWork(c *call, a *attempt, o traffic.Outcome) {
	u := a.server
	took := max(o.Took-o.Connected-s.roundTrip(u).Value(), time.Millisecond)
	if load := o.Reply.Load; load.Waiting > 0 || load.Pace > 0 && load.Pace != 1 {
		return
	}
	slowdown := s.slowdownOf(u)
	s.learnSlowdown(a, took)
	if !s.isCold(u) {
		work := time.Duration(float64(took) / slowdown)
		c.route.workTimes.observe(a.cached, work)
		s.service(u.Service).work.Observe(work)
	}
}

// learnSlowdown updates a server's slowdown with the time that an attempt's work has taken so
// far. The less usual such a time is on the route, the more it says of the server: where some
// requests take long by themselves, a long one is hardly a sign of a slow server.
func (s *Steerer) learnSlowdown(a *attempt, took time.Duration) {
	times := a.times
	usual := times.Median()
	if usual <= 0 {
		return
	}
	weight := 1.0
	if took > usual {
		weight = troubleOdds / (troubleOdds + times.Exceeding(took))
	}
	s.updateSlowdown(a.server, float64(took)/float64(usual), weight)
}

// updateSlowdown adds a sample to a server's slowdown. weight is how much it counts, up to 1.
func (s *Steerer) updateSlowdown(u *upstream, ratio, weight float64) {
	ratio = min(max(ratio, 1.0/maxSlowdown), maxSlowdown)
	gain := slowdownGain * math.Min(weight, 1)
	u.slowdown = s.slowdownOf(u)*(1-gain) + ratio*gain
	u.slowdownAt = s.now
}

// cutWork is an attempt that was cut off before its end.
type cutWork struct {
	times *predictor.Predictor
	ran   time.Duration
	at    time.Time
}

// ranFor returns for how long an attempt's work has run at a server of the usual speed, as
// far as is known.
func (s *Steerer) ranFor(a *attempt) time.Duration {
	ran := s.now.Sub(a.sentAt) - s.roundTrip(a.server).Value() - a.wait
	return max(0, time.Duration(float64(ran)/s.slownessOf(a.server)))
}

// slownessOf returns how many times longer than usual work takes at a server.
func (s *Steerer) slownessOf(u *upstream) float64 {
	return s.slowdownOf(u) * s.paceOf(u)
}

// observeCut learns from an attempt without a response before the request's deadline: either
// its work takes long, or its server is in trouble. weight is the number of failures that it
// counts as if the work is not known to take so long.
func (s *Steerer) observeCut(a *attempt, weight int) {
	u, times, ran := a.server, a.times, s.ranFor(a)
	if times.Exceeding(ran) > troubleOdds {
		weight--
	}
	if len(u.cuts) < maxCuts && a.wait == 0 && s.isUsual(u) {
		u.cuts = append(u.cuts, cutWork{times: times, ran: ran, at: s.now})
	}
	if weight > 0 {
		s.countFailure(u, weight, "no response before the request's deadline")
	}
}

// observeStopped learns from an attempt whose server says that it has worked on it up to the
// request's deadline.
func (s *Steerer) observeStopped(a *attempt) {
	times, ran := a.times, s.ranFor(a)
	if times.Exceeding(ran) <= troubleOdds {
		s.updateFailureRate(a.server, true)
	}
	times.ObserveCut(ran)
	s.learnCuts(a.server)
}

// learnCuts learns from the attempts that were cut off lately at a server which has turned out
// to be well: their work takes long, unless they may have waited.
func (s *Steerer) learnCuts(u *upstream) {
	for _, w := range u.cuts {
		if s.now.Sub(w.at) < cutRetention && u.load.Waiting == 0 && s.isUsual(u) {
			w.times.ObserveCut(w.ran)
		}
	}
	u.cuts = u.cuts[:0]
}

// isUsual reports whether a server takes about its usual time.
func (s *Steerer) isUsual(u *upstream) bool {
	return s.slownessOf(u) < maxUsualSlowness
}
