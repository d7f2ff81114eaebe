package steerer

import (
	"context"
	"errors"
	"net/http"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

func (s *Steerer) handleEnded(e traffic.Ended) {
	c := s.calls[e.Call]
	if c == nil {
		return
	}
	a := c.removeAttempt(e.Attempt)
	if a == nil {
		return
	}
	a.server.remove(a)
	s.observeOutcome(c, a, e.Outcome)
	if e.Outcome.Fate == traffic.NotRun {
		s.returnQuota(a.token)
	}
	if c.answered {
		s.removeIfDone(c)
		return
	}
	switch e.Outcome.Fate {
	case traffic.Ran:
		if impliesNotRun(e.Outcome.Reply.Status) {
			s.handleUnknown(c, e.Outcome)
			return
		}
		s.handleRan(c, e.Outcome.Reply)
	case traffic.NotRun:
		s.handleNotRun(c, e.Outcome)
	case traffic.Unknown:
		s.handleUnknown(c, e.Outcome)
	}
}

// impliesNotRun reports whether callers take a status to mean that the request has
// not run. A server that sends it without stating so may have run the request.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// removeIfDone drops an answered call once none of its attempts is pending.
func (s *Steerer) removeIfDone(c *call) {
	if len(c.pending) == 0 {
		delete(s.calls, c.number)
	}
}

// observeOutcome updates the server's and the route's statistics with an
// attempt's outcome.
func (s *Steerer) observeOutcome(c *call, a *attempt, o traffic.Outcome) {
	u := a.server
	if o.Reply.Status > 0 {
		u.respondedAt = s.now
	}
	s.updateLoad(u, o.Reply.Load)
	s.observeLimit(u, o.Reply)
	s.observeNotice(u, o.Reply)
	s.roundTrip(u).Observe(o.Connected)
	cancelled := c.answered || c.expired
	switch {
	case o.Fate == traffic.Ran || !cancelled:
		s.observeEnd(c, a, o)
	case c.answered && u.ejector.HalfOpen(s.now) && s.now.Sub(a.sentAt) >= overdueAfter(a.expected):
		s.countFailure(u, 1, "another server answered first")
	}
}

// observeEnd updates the statistics with the outcome of an attempt that was not
// cancelled.
func (s *Steerer) observeEnd(c *call, a *attempt, o traffic.Outcome) {
	u := a.server
	switch {
	case o.Fate == traffic.Ran && o.Reply.Status < http.StatusInternalServerError:
		if !o.Reply.Partial {
			s.countSuccess(u)
		}
		s.learnWork(c, a, o)
	case o.Reply.Misdirected:
		u.misdirected = true
		s.recordStateChange("server has handed on its address", attr("server", u.ID), attr("address", u.Address))
	case errors.Is(o.Err, context.DeadlineExceeded) && s.now.Sub(a.sentAt) < a.expected:
		// The attempt was given less time than a response is expected to take. That is
		// not the server's failure.
	case errors.Is(o.Err, context.DeadlineExceeded):
		s.observeCut(a, 1)
	case o.Reply.Status == http.StatusGatewayTimeout && s.isStopped(c, a):
		s.observeStopped(a)
	case o.Unreachable:
		s.countFailure(u, ejectFailures, errorText(o.Err))
	case o.Fate == traffic.Unknown:
		s.countFailure(u, 1, errorText(o.Err))
	case o.Fate == traffic.NotRun && !o.Reply.NotRun:
		// The request was not sent, for a reason on this instance's side.
	default:
		s.updateFailureRate(u, true)
	}
}

// isStopped reports whether a server has had the whole time that a call had left.
func (s *Steerer) isStopped(c *call, a *attempt) bool {
	return !s.now.Before(c.deadline.Add(-s.roundTrip(a.server).Value() - responseMargin))
}

// handleRestEnded counts a response that was passed on while it was read, now that it is known
// whether it was whole.
func (s *Steerer) handleRestEnded(e traffic.RestEnded) {
	u := s.upstreams[e.Upstream.ID]
	switch {
	case u == nil || u.Address != e.Upstream.Address:
	case e.Err != nil:
		s.countFailure(u, 1, errorText(e.Err))
	default:
		s.countSuccess(u)
	}
}

func (s *Steerer) countSuccess(u *upstream) {
	u.ejector.Succeed()
	s.updateFailureRate(u, false)
	s.learnCuts(u)
}

// countFailure counts a server's failure. weight is the number of failures that it
// counts as.
func (s *Steerer) countFailure(u *upstream, weight int, reason string) {
	s.updateFailureRate(u, true)
	for range weight {
		if u.ejector.Fail(s.now) {
			s.recordStateChange("server ejected", attr("server", u.ID), attr("error", reason),
				attr("for", u.ejector.Returned().Sub(s.now)))
			return
		}
	}
}

// handleRan delivers a complete response. An idempotent request that failed
// with a server error is retried at another server if possible. An unsigned
// success is not delivered: without proof that the server produced it, the fate of
// the request is unknown.
func (s *Steerer) handleRan(c *call, reply traffic.Reply) {
	c.received++
	c.executions++
	if reply.Status >= http.StatusInternalServerError && s.mayRepeat(c) {
		c.fallback = &reply
		s.retry(c, true, traffic.Interrupted)
		return
	}
	s.cancelAttempts(c)
	if !reply.Signed && reply.Status < http.StatusMultipleChoices {
		s.refuse(c, traffic.Interrupted, traffic.Unknown, 0)
		return
	}
	s.deliver(c, reply)
}

// handleNotRun retries a request that its server has not run, unless the server has
// rejected the request itself.
func (s *Steerer) handleNotRun(c *call, o traffic.Outcome) {
	if o.Reply.NotRun {
		c.received++
	}
	if isRequestError(o.Reply) {
		s.cancelAttempts(c)
		s.deliver(c, o.Reply)
		return
	}
	s.retry(c, o.Reply.NotRun, traffic.Overloaded)
}

// isRequestError reports whether a server has rejected the request itself, so that
// any other server would reject it too.
func isRequestError(reply traffic.Reply) bool {
	return reply.Status >= http.StatusBadRequest && reply.Status < http.StatusInternalServerError &&
		reply.Status != http.StatusTooManyRequests && reply.Status != http.StatusMisdirectedRequest
}

// handleUnknown handles an attempt that may have run. Idempotent calls are retried,
// others given up.
func (s *Steerer) handleUnknown(c *call, o traffic.Outcome) {
	c.received++
	c.executions++
	c.mayHaveRun = true
	s.recordUnknown(c, o)
	if !s.mayRepeat(c) {
		s.giveUp(c, traffic.Interrupted, 0)
		return
	}
	s.retry(c, true, traffic.Interrupted)
}

// handleExpired cancels the attempts of a call whose deadline has passed. The call is
// refused when they have ended: only then is it known whether one of them may have run.
func (s *Steerer) handleExpired(number uint64) {
	c := s.calls[number]
	if c == nil || c.answered || c.expired || s.stopsWaiting(c) {
		return
	}
	for _, a := range c.pending {
		if s.now.Sub(a.sentAt) >= a.expected {
			s.observeCut(a, silenceWeight(a))
		}
	}
	c.expired = true
	for _, a := range c.pending {
		s.emit(traffic.Cancel{Call: c.number, Attempt: a.number})
	}
}

// silenceWeight returns the number of failures that an attempt without a response
// counts as. A server that has not responded to anything since the attempt was sent
// is ejected at once.
func silenceWeight(a *attempt) int {
	if a.server.respondedAt.Before(a.sentAt) {
		return ejectFailures
	}
	return 1
}

// handleCallerLeft handles a caller that has closed its connection. It cancels
// the call's attempts, except for requests that must not run twice: those are
// left to run to the end, so that their effects are complete.
func (s *Steerer) handleCallerLeft(number uint64) {
	c := s.calls[number]
	if c == nil || c.answered {
		return
	}
	s.recordCallerLeft(c)
	s.withdraw(c)
	if !c.idempotent && len(c.pending) > 0 {
		c.answered = true
		return
	}
	s.cancelAttempts(c)
}

// cancelAttempts marks a call as answered and cancels its pending attempts.
func (s *Steerer) cancelAttempts(c *call) {
	c.answered = true
	for _, a := range c.pending {
		s.emit(traffic.Cancel{Call: c.number, Attempt: a.number})
	}
	s.removeIfDone(c)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
