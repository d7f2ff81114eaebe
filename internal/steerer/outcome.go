package steerer

import (
	"net/http"
	"time"

	"github.com/yuccathread/yuccathread/internal/budgeter"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

const (
	// budgetPart keeps some of the shared slack of repeats for instances that
	// restart with a full one.
	budgetPart = 0.8
	// maxArrivals bounds the servers that one call may bother.
	maxArrivals = 4
	// maxAttempts bounds the tries of one call, unreachable servers included.
	maxAttempts = 6
	// minTimeLeft is the least time in which a repeat is worth its cost, as a
	// divisor of the expected time.
	minTimeLeft = 2
)

// retryBudget bounds the repeats towards a service.
type retryBudget struct {
	budgeter.Budgeter
}

func (s *Steerer) ended(e traffic.Ended) {
	c := s.calls[e.Call]
	if c == nil || c.attempt != e.Attempt || c.current == nil {
		return
	}
	u := c.current
	c.current = nil
	u.inFlight--
	s.observe(c, u, e.Outcome)
	if c.abandoned {
		delete(s.calls, c.number)
		return
	}
	switch e.Outcome.Fate {
	case traffic.Ran:
		s.ran(c, e.Outcome.Reply)
	case traffic.NotRun:
		s.notRun(c, e.Outcome)
	case traffic.Unknown:
		s.unknown(c, e.Outcome)
	}
}

// observe learns from an outcome.
func (s *Steerer) observe(c *call, u *upstream, o traffic.Outcome) {
	s.observeLoad(u, o.Reply.Load)
	if c.abandoned && o.Fate != traffic.Ran {
		return
	}
	switch {
	case o.Fate == traffic.Ran && o.Reply.Status < http.StatusInternalServerError:
		u.ejector.Succeed()
		s.observeFault(u, false)
		s.observeTime(c, u, o)
	case o.Reply.Misdirected:
		u.misdirected = true
		s.recordBelief("server has handed on its address", attr("server", u.ID), attr("address", u.Address))
	case o.Unreachable || o.Fate == traffic.Unknown:
		s.observeFault(u, true)
		if u.ejector.Fail(s.now) || (o.Unreachable && u.ejector.Fail(s.now)) {
			s.recordBelief("server ejected", attr("server", u.ID), attr("error", errorText(o.Err)))
		}
	case o.Fate == traffic.NotRun && !o.Reply.NotRun:
		// Nothing was sent for a reason of this side.
	default:
		s.observeFault(u, true)
	}
}

func (s *Steerer) observeTime(c *call, u *upstream, o traffic.Outcome) {
	took := o.Took
	if u.region != s.Self.Region {
		took -= regionDelay
	}
	took = max(took, time.Millisecond)
	if o.Reply.Load.Waiting == 0 && !s.cold(u) {
		c.route.times.observe(c.known, time.Duration(float64(took)/s.slownessOf(u)))
	}
	if expected := c.route.times.expect(c.known); expected > 0 && o.Reply.Load.Waiting == 0 {
		s.observeSlowness(u, float64(took)/float64(expected))
	}
}

// ran delivers a whole answer; the failure of an idempotent request is tried
// again elsewhere where that may still help.
func (s *Steerer) ran(c *call, reply traffic.Reply) {
	c.arrivals++
	c.runs++
	if reply.Status >= http.StatusInternalServerError && c.route.Idempotent {
		c.last = &reply
		if s.mayRepeat(c, true) {
			s.try(c)
			return
		}
	}
	delete(s.calls, c.number)
	if !reply.Signed && reply.Status < http.StatusMultipleChoices {
		s.refuse(c, traffic.Interrupted, traffic.Unknown, 0)
		return
	}
	s.deliver(c, reply)
}

// notRun tries another server, since the one that was asked has not begun.
func (s *Steerer) notRun(c *call, o traffic.Outcome) {
	if o.Reply.NotRun {
		c.arrivals++
	}
	if s.mayRepeat(c, o.Reply.NotRun) {
		s.try(c)
		return
	}
	s.giveUp(c, traffic.Overloaded, startRetryAfter)
}

// unknown ends a call that may have run, unless it may run again.
func (s *Steerer) unknown(c *call, o traffic.Outcome) {
	c.arrivals++
	c.runs++
	c.unknown = true
	s.recordBelief("attempt of unknown fate", attr("request", c.request.ID), attr("call", c.number),
		attr("error", errorText(o.Err)), attr("took", o.Took))
	if c.route.Idempotent && s.mayRepeat(c, true) {
		s.try(c)
		return
	}
	s.giveUp(c, traffic.Interrupted, 0)
}

// mayRepeat reports whether a call may go to another server, and takes that
// from the budget if the first server counts as an arrival.
func (s *Steerer) mayRepeat(c *call, arrived bool) bool {
	if c.runs >= c.route.MaxAttempts || c.arrivals >= maxArrivals || c.attempt >= maxAttempts {
		return false
	}
	if c.until.Sub(s.now) < c.route.times.expect(true)/minTimeLeft {
		return false
	}
	if !arrived {
		return true
	}
	b := &s.service(c.service).budget
	b.Fraction = s.Settings.Bounds.RetryRatio
	b.Burst = int(s.Settings.Bounds.RetrySlack * budgetPart / float64(s.instances.size()))
	return b.Withdraw()
}

// expired gives the final answer at the end of a call's time.
func (s *Steerer) expired(number uint64) {
	c := s.calls[number]
	if c == nil || c.abandoned {
		return
	}
	s.abandon(c)
	c.unknown = true
	s.refuse(c, traffic.TooLate, traffic.Unknown, 0)
}

// left ends the work for a caller that has gone. Work that must not run twice
// goes on, since its effects are wanted whole.
func (s *Steerer) left(number uint64) {
	c := s.calls[number]
	if c == nil || c.abandoned {
		return
	}
	s.recordLeft(c)
	if !c.route.Idempotent && c.current != nil {
		c.abandoned = true
		return
	}
	s.abandon(c)
}

// abandon cuts off what a call has under way.
func (s *Steerer) abandon(c *call) {
	c.abandoned = true
	if c.current == nil {
		delete(s.calls, c.number)
		return
	}
	s.emit(traffic.Cancel{Call: c.number, Attempt: c.attempt})
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
