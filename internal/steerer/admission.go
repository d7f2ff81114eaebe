package steerer

import (
	"slices"
	"time"

	"github.com/yuccathread/yuccathread/internal/predictor"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

const (
	// responseMargin is subtracted from the caller's time limit, so that the
	// response still reaches the caller in time.
	responseMargin = 20 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the Retry-After delay of refused calls.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// defaultRetryAfter is the Retry-After delay where none can be estimated: before
	// the policy, the servers and the instances are known, while no server is
	// eligible, and when no further attempt is allowed.
	defaultRetryAfter = 300 * time.Millisecond
	// slowResponsePercent scales the mean work time of cached objects to one that
	// covers most responses.
	slowResponsePercent = 150
	// spareConnections is the number of spare idle connections held open to a server
	// in another region.
	spareConnections = 1
)

// call is a request that has no final response yet, or whose attempts have not
// all ended.
type call struct {
	number  uint64
	request traffic.Request
	route   *route
	// organisation is that of the caller, or nil if there is none.
	organisation *organisation
	// idempotent is set if the request may be sent to a second server after it may have run.
	idempotent bool
	service    string
	// policyNumber is that of the policy by which route and service were last checked.
	policyNumber uint64
	// quotaSeen is set once the call counts in the demand for its organisation's quota, and
	// waitsSince is when it began to wait for a token, or zero if it does not.
	quotaSeen  bool
	waitsSince time.Time
	// readAt is when the first byte of the request was read.
	readAt time.Time
	// deadline is when the final response is due.
	deadline time.Time

	// attempts counts the attempts made, received those that reached or may have
	// reached a server, and executions those that ran or may have run.
	attempts   int
	received   int
	executions int
	// pending are the attempts that have not ended.
	pending []*attempt
	tried   map[string]bool
	// triedServers lists the tried servers in order.
	triedServers []string
	// lastChoice is the result of place on which the last attempt or the refusal is
	// based.
	lastChoice choice
	claim      roomClaim
	// explained is set if nothing is to be counted or sent.
	explained bool
	// mayHaveRun is set once an attempt's fate is unknown.
	mayHaveRun bool
	// fallback is the newest complete error response. It is delivered if no other
	// attempt succeeds.
	fallback *traffic.Reply
	// answered is set once the final response is determined or the caller has
	// disconnected. Attempts may still be pending.
	answered bool
	// expired is set once the deadline has passed.
	expired bool
}

// attempt is one try of a call at one server.
type attempt struct {
	number int
	server *upstream
	// times is how long such work takes.
	times  *predictor.Predictor
	sentAt time.Time
	// token is what the attempt has taken from its organisation's quota.
	token token
	// pace is the server's pace as known when the attempt was sent.
	pace float64
	// reduction is the number of the event that sent it.
	reduction uint64
	estimate
}

// removeAttempt removes a pending attempt and returns it, or nil if there is none
// with this number.
func (c *call) removeAttempt(number int) *attempt {
	a := c.pendingAttempt(number)
	if a != nil {
		c.pending = slices.DeleteFunc(c.pending, func(other *attempt) bool { return other == a })
	}
	return a
}

// pendingAttempt returns a pending attempt, or nil if it has ended.
func (c *call) pendingAttempt(number int) *attempt {
	for _, a := range c.pending {
		if a.number == number {
			return a
		}
	}
	return nil
}

func (s *Steerer) handleArrived(e traffic.Arrived) {
	c := &call{number: e.Call, request: e.Request, readAt: e.Read}
	refusal := s.admit(c)
	if c.organisation != nil {
		c.organisation.requests++
	}
	if refusal != "" {
		s.refuse(c, refusal, traffic.NotRun, admissionRetryAfter(refusal))
		return
	}
	s.chooseService(c)
	s.calls[c.number] = c
	s.emit(traffic.Admit{Call: c.number, Until: c.deadline})
	s.dispatch(c)
}

// admit sets a call's route, organisation and deadline. It returns why the call is refused
// whatever the servers do, or an empty refusal.
func (s *Steerer) admit(c *call) traffic.Refusal {
	switch {
	case c.request.Server != "":
		return traffic.Misdirected
	case !s.Synced():
		return traffic.NoPolicy
	case c.request.Ambiguous != "":
		return traffic.BadRequest
	}
	c.route = s.match(c.request.HostName, c.request.Path)
	if c.route == nil {
		return traffic.NoRoute
	}
	o, identified := s.identify(c.route, c.request.Key)
	if !identified {
		return traffic.Unidentified
	}
	c.organisation = o
	if c.organisation != nil && s.keysOutdated() {
		return traffic.NoPolicy
	}
	c.idempotent = s.isIdempotent(c)
	c.deadline = finalDeadline(c)
	c.tried = make(map[string]bool)
	return ""
}

// admissionRetryAfter returns when a caller that was not admitted may try again, or zero if
// that would not help.
func admissionRetryAfter(refusal traffic.Refusal) time.Duration {
	if refusal == traffic.NoPolicy {
		return defaultRetryAfter
	}
	return 0
}

// isIdempotent reports whether a call may be repeated: its route must allow it, and so must
// the routes of all other paths that its server may read from the same bytes.
func (s *Steerer) isIdempotent(c *call) bool {
	if !c.route.Idempotent {
		return false
	}
	for _, path := range c.request.OtherPaths {
		if r := s.match(c.request.HostName, path); r == nil || !r.Idempotent {
			return false
		}
	}
	return true
}

// mayRepeat reports whether a call may be repeated by the policy by which it was sent and by
// that in force.
func (s *Steerer) mayRepeat(c *call) bool {
	return c.idempotent && (c.policyNumber == s.policyNumber || s.isIdempotent(c))
}

// finalDeadline returns when a call's final response is due: at the end of the
// route's timeout or responseMargin before the end of the caller's own limit,
// whichever comes first.
func finalDeadline(c *call) time.Time {
	return c.readAt.Add(answerLimit(c.route, c.request))
}

// AnswerLimit returns the time after the arrival of a request within which its final response
// is due, or zero if it has no route: what is read of it later is of no use.
func (s *Steerer) AnswerLimit(r traffic.Request) time.Duration {
	if route := s.match(r.HostName, r.Path); route != nil {
		return answerLimit(route, r)
	}
	return 0
}

func answerLimit(r *route, request traffic.Request) time.Duration {
	limit := r.Timeout
	if callerLimit := request.Limit - responseMargin; request.Limit > 0 && (limit <= 0 || callerLimit < limit) {
		limit = callerLimit
	}
	return limit
}

// dispatch sends a call to the best server, or gives it up if there is none.
func (s *Steerer) dispatch(c *call) {
	if refusal := s.followPolicy(c); refusal != "" {
		s.giveUp(c, refusal, 0)
		return
	}
	if s.lacksQuota(c) {
		return
	}
	choice := s.place(c)
	s.settleRoom(c, choice)
	if choice.server == nil {
		c.lastChoice = choice
		s.giveUp(c, choice.refusal, choice.retryAfter)
		return
	}
	s.sendAttempt(c, choice)
}

// sendAttempt starts an attempt at the chosen server.
func (s *Steerer) sendAttempt(c *call, choice choice) {
	u := choice.server
	c.attempts++
	u.inFlight++
	a := &attempt{
		number: c.attempts, server: u, times: c.route.workTimes.of(choice.cached), sentAt: s.now, pace: s.paceOf(u),
		reduction: s.reductions, token: s.takeQuota(c), estimate: choice.estimate,
	}
	c.pending = append(c.pending, a)
	u.running = append(u.running, a)
	c.lastChoice = choice
	c.tried[u.ID] = true
	c.triedServers = append(c.triedServers, u.ID)
	u.pacer.Count(s.now)
	s.takeFromLimit(u)
	if s.isCold(u) {
		s.recordColdSend(c, u)
	}
	u.objects.add(objectKey(c), s.now)
	s.emit(traffic.Send{
		Call:         c.number,
		Attempt:      c.attempts,
		Upstream:     u.Upstream,
		Connections:  s.connectionLimit(u),
		Spare:        s.spareCount(c, u),
		Deadline:     c.deadline,
		Organisation: c.organisationName(),
		Idempotent:   c.idempotent,
	})
	s.reviewLater(c, a, s.reviewAfter(c, a, choice.alternative))
}

// spareCount returns the number of spare idle connections to hold open to a server.
// It is above zero for a server in another region if opening a connection would
// make a slow response miss the route's target latency.
func (s *Steerer) spareCount(c *call, u *upstream) int {
	slowResponse := c.route.workTimes.mean(true) * slowResponsePercent / 100
	if u.region == s.Self.Region || slowResponse+2*s.roundTrip(u).Value() <= c.route.Target {
		return 0
	}
	return spareConnections
}

func objectKey(c *call) string {
	if c.request.Object == "" {
		return ""
	}
	return c.route.Name + "\x00" + c.request.Object
}

// connectionLimit returns this instance's share of the connections that a server
// accepts, or 0 if the policy sets no limit. An instance without shares divides by the
// number of instances that the store remembers; if it remembers none, it opens no more
// than the server has slots.
func (s *Steerer) connectionLimit(u *upstream) int {
	limit := s.policy.Services[u.Service].MaxConnections
	if limit <= 0 {
		return 0
	}
	size := s.divisor()
	if !s.hasShares() {
		size = s.instances.startSize()
	}
	if size == 0 {
		return min(limit, u.Slots)
	}
	return max(1, limit/size)
}

// giveUp ends a call for which no further attempt is possible: it delivers the last
// complete error response of a server if there is one, and refuses the call
// otherwise.
func (s *Steerer) giveUp(c *call, reason traffic.Refusal, retryAfter time.Duration) {
	delete(s.calls, c.number)
	switch {
	case c.expired:
		reason = traffic.TooLate
	case c.mayHaveRun:
		reason = traffic.Interrupted
	}
	switch {
	case c.fallback != nil:
		s.deliver(c, *c.fallback)
	case c.mayHaveRun:
		s.refuse(c, reason, traffic.Unknown, 0)
	default:
		if reason != traffic.Stopping && reason != traffic.NoRoute && reason != traffic.Unidentified {
			retryAfter = s.returnAfter(c, reason, retryAfter)
			retryAfter = min(max(retryAfter, minRetryAfter), maxRetryAfter, s.latestReturn(c, reason))
		}
		s.refuse(c, reason, traffic.NotRun, retryAfter)
	}
}

// latestReturn returns the longest delay before a refused call comes back: it then still has
// most of its time. A call beyond its organisation's quota is told when there is a token.
func (s *Steerer) latestReturn(c *call, reason traffic.Refusal) time.Duration {
	if reason == traffic.OverQuota {
		return maxRetryAfter
	}
	return max(c.deadline.Sub(s.now)/3, minRetryAfter)
}

func (s *Steerer) refuse(c *call, reason traffic.Refusal, fate traffic.Fate, retryAfter time.Duration) {
	if c.organisation != nil {
		c.organisation.refused++
	}
	s.emit(traffic.Refuse{Call: c.number, Reason: reason, Fate: fate, RetryAfter: retryAfter})
	s.recordRefusal(c, reason, fate, retryAfter)
}

func (s *Steerer) deliver(c *call, reply traffic.Reply) {
	s.emit(traffic.Deliver{Call: c.number, Reply: reply})
	s.recordDelivery(c, reply)
}
