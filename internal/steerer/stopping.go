package steerer

import (
	"time"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// stoppingRetryAfter is the Retry-After delay of a call that this instance can't finish
// before it ends. It is short: another instance may serve the call at once.
const stoppingRetryAfter = 10 * time.Millisecond

// handleStopRequested starts a graceful stop: look-ups no longer name this instance, and it
// sends only requests to servers that will end in time.
func (s *Steerer) handleStopRequested() {
	if !s.stoppingSince.IsZero() {
		return
	}
	s.stoppingSince = s.now
	s.Self.Leaving = true
	s.recordStateChange("stop requested", attr("in_flight", len(s.calls)),
		attr("work_window", s.times().WorkWindow()), attr("answer_limit", s.times().AnswerLimit()))
}

// handleSuspended counts the time for which the machine was suspended as part of a stop:
// the grace time has gone on.
func (s *Steerer) handleSuspended(period time.Duration) {
	s.forgetQuotas()
	if s.stoppingSince.IsZero() {
		return
	}
	s.stoppingSince = s.stoppingSince.Add(-period)
	s.recordStateChange("machine was suspended within the stop", attr("for", period))
}

// maySend reports whether a call may be sent to a server as far as a stop is concerned:
// early in it any call may, later only one that ends by its own deadline before the
// process does. Another instance can still serve what is refused here; what is cut off at
// the end of the process may have run.
func (s *Steerer) maySend(c *call) bool {
	if s.stoppingSince.IsZero() {
		return true
	}
	k := s.times()
	endsInTime := !c.deadline.After(s.stoppingSince.Add(k.AnswerLimit()))
	return endsInTime || s.now.Before(s.stoppingSince.Add(k.WorkWindow()))
}

// expectedInTime reports whether a response that is expected after a time would reach the
// caller: before the call's deadline, and before this instance ends if it stops.
func (s *Steerer) expectedInTime(c *call, expected time.Duration) bool {
	limit := c.deadline
	if !s.stoppingSince.IsZero() {
		if end := s.stoppingSince.Add(s.times().AnswerLimit()); end.Before(limit) {
			limit = end
		}
	}
	return expected <= limit.Sub(s.now)
}

// noServerInTime is the choice for a call whose response would come too late from every
// server: from here, or at all.
func (s *Steerer) noServerInTime(c *call, best choice) choice {
	best.server = nil
	best.retryAfter = best.expected / 2
	if best.expected <= c.deadline.Sub(s.now) {
		best.refusal, best.retryAfter = traffic.Stopping, stoppingRetryAfter
	}
	return best
}
