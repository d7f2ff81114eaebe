package steerer

import (
	"time"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

const (
	// An attempt is overdue after overdueFactor times its expected time, but no sooner
	// than minOverdueMargin after its expected time.
	overdueFactor    = 3
	minOverdueMargin = 250 * time.Millisecond
	// workOfTwo is what a second attempt costs the servers, in runs of the request: its own
	// and as much of the first, which goes on beside it until it is cancelled.
	workOfTwo = 2
	// An attempt that is not worth a second one yet is looked at again after the time that it
	// has taken divided by reviewDivisor.
	reviewDivisor = 4
	// minReviewInterval is the shortest time after which an overdue attempt is looked at
	// again, and how long after the deadline a timer may still fire.
	minReviewInterval = 50 * time.Millisecond
)

func overdueAfter(expected time.Duration) time.Duration {
	return max(overdueFactor*expected, expected+minOverdueMargin)
}

// prospect is what can be expected of an attempt that still runs, and of a second one beside
// it.
type prospect struct {
	// remaining is the time to the response of the first attempt, and fresh that of a
	// second one.
	remaining, fresh time.Duration
	// target and deadline are the times left to the route's target latency and to the
	// call's deadline.
	target, deadline time.Duration
	// free is set if the second attempt takes a slot that nobody waits for.
	free bool
}

// pays reports whether a second attempt is worth its work. It is if it saves the servers as
// much as it takes, or if only the second attempt will meet the deadline, or the target where
// a slot is free.
func (p prospect) pays() bool {
	switch {
	case p.fresh > p.deadline:
		return false
	case p.remaining > workOfTwo*p.fresh, p.remaining > p.deadline:
		return true
	}
	return p.free && p.fresh <= p.target && p.remaining > p.target
}

// reviewAfter returns when to look at a new attempt again: when it is overdue, or when a
// second one is expected to pay, given how long the next best server would take.
func (s *Steerer) reviewAfter(c *call, a *attempt, fresh time.Duration) time.Duration {
	overdue := overdueAfter(a.expected)
	if !c.idempotent {
		return overdue
	}
	if fresh <= 0 || a.expected < fresh {
		fresh = a.expected
	}
	slowness := s.slownessOf(a.server)
	roundTrip := s.roundTrip(a.server).Value()
	sinceRead := s.now.Sub(c.readAt)
	limit := c.deadline.Sub(c.readAt)
	offset := a.wait + roundTrip
	scaled := func(d time.Duration) time.Duration { return time.Duration(float64(d) * slowness) }
	ran, ok := a.times.FirstTime(func(ran, remaining time.Duration) bool {
		at := sinceRead + offset + scaled(ran)
		p := prospect{remaining: scaled(remaining), fresh: fresh, target: c.route.Target - at, deadline: limit - at, free: true}
		return p.pays()
	})
	if !ok {
		return overdue
	}
	return min(overdue, offset+scaled(ran))
}

// handleOverdue looks at an attempt whose response has not come in the usual time. It raises
// the slowdown of the server if the attempt is overdue. An idempotent request is hedged if
// that pays: it is also sent to a second server if allowRetry permits, and the first success
// is delivered.
func (s *Steerer) handleOverdue(e traffic.Overdue) {
	c := s.calls[e.Call]
	if c == nil || c.answered || c.expired {
		return
	}
	a := c.pendingAttempt(e.Attempt)
	if a == nil {
		return
	}
	waited := s.now.Sub(a.sentAt)
	overdue := waited >= overdueAfter(a.expected)
	ratio := float64(waited) / float64(max(a.expected, time.Millisecond)) * min(1, a.pace/s.paceOf(a.server))
	if overdue && ratio > s.slowdownOf(a.server) {
		s.learnSlowdown(a, time.Duration(ratio*float64(c.route.workTimes.mean(a.cached))))
	}
	// The longer an attempt is overdue, the more it says of its server.
	next := max(a.expected, minReviewInterval)
	if !overdue {
		next = overdueAfter(a.expected) - waited
	}
	if s.mayRepeat(c) && len(c.pending) == 1 && !s.hedge(c, a, overdue) {
		next = min(next, max(waited/reviewDivisor, time.Millisecond))
	}
	s.reviewLater(c, a, next)
}

// reviewLater sets the timer of an attempt. Nothing is decided after the deadline, so that no
// timer needs to last longer.
func (s *Steerer) reviewLater(c *call, a *attempt, after time.Duration) {
	after = min(after, max(0, c.deadline.Sub(s.now))+minReviewInterval)
	s.emit(traffic.StartOverdueTimer{Call: c.number, Attempt: a.number, After: after})
}

// hedge starts a second attempt if that pays or if the first one is overdue. It returns false
// if there is none.
func (s *Steerer) hedge(c *call, a *attempt, overdue bool) bool {
	if !s.policyAllows(c) {
		return false
	}
	second := s.secondChoice(c, a)
	if second.server == nil || !overdue && !s.prospectOf(c, a, second).pays() || !s.hasQuota(c) || !s.allowRetry(c, true) {
		return false
	}
	s.recordHedge(c, a, second)
	s.sendAttempt(c, second)
	return true
}

// secondChoice returns where a second attempt beside another would go: to another server, or
// once more to the same one, which may be the only one with the object at hand. The same one
// is the less likely to help the more the long time speaks against the server.
func (s *Steerer) secondChoice(c *call, a *attempt) choice {
	best := s.place(c)
	u := a.server
	if !s.maySend(c) || !s.mayRepeatAt(c, u) {
		return best
	}
	again := s.estimate(c, u, a.cached)
	if again.load >= float64(u.Slots) {
		return best
	}
	likely := a.times.Exceeding(s.ranFor(a))
	doubt := troubleOdds / (troubleOdds + likely)
	inVain := time.Duration(doubt * float64(c.deadline.Sub(s.now)))
	if best.server != nil && best.expected <= again.expected+inVain {
		return best
	}
	return choice{server: u, estimate: again, eligible: best.eligible}
}

// mayRepeatAt reports whether a server that works on a call may get it once more at the same
// time.
func (s *Steerer) mayRepeatAt(c *call, u *upstream) bool {
	return s.upstreams[u.ID] == u && s.obstacleTo(c, u) == "" && !u.ejector.HalfOpen(s.now) && !s.isCold(u) && s.hasRoom(u)
}

// prospectOf compares an attempt that still runs with a second one.
func (s *Steerer) prospectOf(c *call, a *attempt, second choice) prospect {
	remaining := a.times.Remaining(s.ranFor(a))
	return prospect{
		remaining: time.Duration(float64(remaining) * s.slownessOf(a.server)),
		fresh:     second.expected,
		target:    c.route.Target - s.now.Sub(c.readAt),
		deadline:  c.deadline.Sub(s.now),
		free:      second.load < float64(second.server.Slots),
	}
}
