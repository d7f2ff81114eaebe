package steerer

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

func (s *Steerer) ended(e traffic.Ended) {
	c := s.calls[e.Call]
	if c == nil {
		return
	}
	a := c.take(e.Attempt)
	if a == nil {
		return
	}
	a.server.inFlight--
	s.observe(c, a, e.Outcome)
	if c.answered {
		s.forget(c)
		return
	}
	switch e.Outcome.Fate {
	case traffic.Ran:
		if promisesNotRun(e.Outcome.Reply.Status) {
			s.unknown(c, e.Outcome)
			return
		}
		s.ran(c, e.Outcome.Reply)
	case traffic.NotRun:
		s.notRun(c, e.Outcome)
	case traffic.Unknown:
		s.unknown(c, e.Outcome)
	}
}

// promisesNotRun reports whether callers take a status for a promise that the
// request has not run. A server that has not declared it may have run it.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// forget drops a call that has its answer and nothing under way.
func (s *Steerer) forget(c *call) {
	if len(c.open) == 0 {
		delete(s.calls, c.number)
	}
}

// observe learns from an outcome.
func (s *Steerer) observe(c *call, a *attempt, o traffic.Outcome) {
	u := a.server
	s.observeLoad(u, o.Reply.Load)
	if c.answered && o.Fate != traffic.Ran {
		if u.ejector.OnTrial(s.now) && s.now.Sub(a.sentAt) >= patience(a.expected) {
			s.failed(u, 1, "no answer before that of another server")
		}
		return
	}
	switch {
	case o.Fate == traffic.Ran && o.Reply.Status < http.StatusInternalServerError:
		u.ejector.Succeed()
		s.observeFault(u, false)
		s.observeTime(c, a, o)
	case o.Reply.Misdirected:
		u.misdirected = true
		s.recordBelief("server has handed on its address", attr("server", u.ID), attr("address", u.Address))
	case errors.Is(o.Err, context.DeadlineExceeded) && s.now.Sub(a.sentAt) < a.expected:
		// The time was too short for any server.
	case o.Unreachable:
		s.failed(u, ejectFailures, errorText(o.Err))
	case o.Fate == traffic.Unknown:
		s.failed(u, 1, errorText(o.Err))
	case o.Fate == traffic.NotRun && !o.Reply.NotRun:
		// Nothing was sent for a reason of this side.
	default:
		s.observeFault(u, true)
	}
}

// failed counts a failure of a server, a graver one several times.
func (s *Steerer) failed(u *upstream, weight int, reason string) {
	s.observeFault(u, true)
	for range weight {
		if u.ejector.Fail(s.now) {
			s.recordBelief("server ejected", attr("server", u.ID), attr("error", reason),
				attr("for", u.ejector.Returned().Sub(s.now)))
			return
		}
	}
}

func (s *Steerer) observeTime(c *call, a *attempt, o traffic.Outcome) {
	u := a.server
	took := o.Took
	if u.region != s.Self.Region {
		took -= regionDelay
	}
	took = max(took, time.Millisecond)
	if o.Reply.Load.Waiting == 0 && !s.cold(u) {
		c.route.times.observe(a.known, time.Duration(float64(took)/s.slownessOf(u)))
	}
	if expected := c.route.times.expect(a.known); expected > 0 && o.Reply.Load.Waiting == 0 {
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
		s.tryAgain(c, true, traffic.Interrupted)
		return
	}
	s.abandon(c)
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
	if faultOfRequest(o.Reply) {
		s.abandon(c)
		s.deliver(c, o.Reply)
		return
	}
	s.tryAgain(c, o.Reply.NotRun, traffic.Overloaded)
}

// faultOfRequest reports whether a server has refused a request for what it
// is: no other server would take it.
func faultOfRequest(reply traffic.Reply) bool {
	return reply.Status >= http.StatusBadRequest && reply.Status < http.StatusInternalServerError &&
		reply.Status != http.StatusTooManyRequests && reply.Status != http.StatusMisdirectedRequest
}

// unknown ends a call that may have run, unless it may run again.
func (s *Steerer) unknown(c *call, o traffic.Outcome) {
	c.arrivals++
	c.runs++
	c.unknown = true
	s.recordUnknown(c, o)
	if !c.route.Idempotent {
		s.giveUp(c, traffic.Interrupted, 0)
		return
	}
	s.tryAgain(c, true, traffic.Interrupted)
}

// expired gives the final answer at the end of a call's time.
func (s *Steerer) expired(number uint64) {
	c := s.calls[number]
	if c == nil || c.answered {
		return
	}
	for _, a := range c.open {
		if s.now.Sub(a.sentAt) >= a.expected {
			s.failed(a.server, 1, "no answer within the request's time")
		}
	}
	s.abandon(c)
	c.unknown = true
	s.refuse(c, traffic.TooLate, traffic.Unknown, 0)
}

// left ends the work for a caller that has gone. Work that must not run twice
// goes on, since its effects are wanted whole.
func (s *Steerer) left(number uint64) {
	c := s.calls[number]
	if c == nil || c.answered {
		return
	}
	s.recordLeft(c)
	if !c.route.Idempotent && len(c.open) > 0 {
		c.answered = true
		return
	}
	s.abandon(c)
}

// abandon cuts off what a call has under way.
func (s *Steerer) abandon(c *call) {
	c.answered = true
	for _, a := range c.open {
		s.emit(traffic.Cancel{Call: c.number, Attempt: a.number})
	}
	s.forget(c)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
