package steerer

import (
	"slices"
	"time"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

const (
	// answerMargin is kept for the way of the answer to the caller.
	answerMargin = 20 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound what refused callers are told.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// startRetryAfter is told until the policy and the servers are known.
	startRetryAfter = 300 * time.Millisecond
	// slowerPercent of the mean time covers most answers.
	slowerPercent = 150
	// spareConnections to a server in another region are opened before they are needed.
	spareConnections = 1
)

// call is a request without a final answer.
type call struct {
	number  uint64
	request traffic.Request
	route   *route
	service string
	read    time.Time
	until   time.Time

	// attempts counts the attempts made, arrivals those that reached a server,
	// runs those that ran or may have run; open are those under way.
	attempts int
	arrivals int
	runs     int
	open     []*attempt
	tried    map[string]bool
	// servers are those that were tried, in order; choice is the newest.
	servers []string
	choice  choice
	// unknown is set once an attempt's fate is unknown.
	unknown bool
	// last is the newest whole answer that was not good enough to deliver.
	last *traffic.Reply
	// answered calls have their answer, or nobody waits for it; servers may
	// still work for them.
	answered bool
}

// attempt is a call at one server.
type attempt struct {
	number int
	server *upstream
	sentAt time.Time
	estimate
}

// take removes an attempt from those under way; nil where there is none.
func (c *call) take(number int) *attempt {
	for i, a := range c.open {
		if a.number == number {
			c.open = slices.Delete(c.open, i, i+1)
			return a
		}
	}
	return nil
}

func (s *Steerer) arrived(e traffic.Arrived) {
	c := &call{number: e.Call, request: e.Request, read: e.Read}
	if !s.Informed() {
		s.refuse(c, traffic.NoPolicy, traffic.NotRun, startRetryAfter)
		return
	}
	c.route = s.match(e.Request.Host, e.Request.Path)
	if c.route == nil {
		s.refuse(c, traffic.NoRoute, traffic.NotRun, 0)
		return
	}
	c.until = finalTime(c)
	c.tried = make(map[string]bool)
	c.service = c.route.Shares[max(c.route.splitter.Next(c.route.weights), 0)].Service
	s.calls[c.number] = c
	s.service(c.service).budget.Deposit()
	s.emit(traffic.Admit{Call: c.number, Until: c.until})
	s.try(c)
}

// finalTime is when a call must have its final answer: the route's timeout or
// the caller's own limit, whichever comes first.
func finalTime(c *call) time.Time {
	limit := c.route.Timeout
	if own := c.request.Limit - answerMargin; c.request.Limit > 0 && (limit <= 0 || own < limit) {
		limit = own
	}
	return c.read.Add(limit)
}

// try sends a call to the best server, or refuses it.
func (s *Steerer) try(c *call) {
	choice := s.place(c)
	if choice.server == nil {
		c.choice = choice
		s.giveUp(c, choice.refusal, choice.retryAfter)
		return
	}
	s.send(c, choice)
}

// send starts an attempt.
func (s *Steerer) send(c *call, choice choice) {
	u := choice.server
	c.attempts++
	c.open = append(c.open, &attempt{
		number: c.attempts, server: u, sentAt: s.now, estimate: choice.estimate,
	})
	c.choice = choice
	c.tried[u.ID] = true
	c.servers = append(c.servers, u.ID)
	if s.cold(u) {
		u.pacer.Take(s.now, s.coldShare(u))
	}
	u.inFlight++
	u.objects.add(objectKey(c), s.now)
	s.emit(traffic.Send{
		Call:        c.number,
		Attempt:     c.attempts,
		Upstream:    u.Upstream,
		Connections: s.connections(c.service),
		Spare:       s.spare(c, u),
		Deadline:    c.until,
		Idempotent:  c.route.Idempotent,
	})
	s.emit(traffic.Watch{Call: c.number, Attempt: c.attempts, After: patience(choice.expected)})
}

// spare is the number of idle connections to keep ready to a server of another
// region: one where the time to open it would make a slower answer late.
func (s *Steerer) spare(c *call, u *upstream) int {
	slower := c.route.times.expect(true) * slowerPercent / 100
	if u.region == s.Self.Region || slower+2*regionDelay <= c.route.Target {
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

// connections is this instance's part of a server's connections.
func (s *Steerer) connections(name string) int {
	limit := s.policy.Services[name].MaxConnections
	if limit <= 0 {
		return 0
	}
	return max(1, limit/s.instances.size())
}

// giveUp answers a call for which there is nothing more to try: with the last
// whole answer of a server if there is one, else with an answer of its own.
func (s *Steerer) giveUp(c *call, reason traffic.Refusal, retryAfter time.Duration) {
	delete(s.calls, c.number)
	switch {
	case c.last != nil:
		s.deliver(c, *c.last)
	case c.unknown:
		s.refuse(c, traffic.Interrupted, traffic.Unknown, 0)
	default:
		left := c.until.Sub(s.now)
		retryAfter = min(max(retryAfter, minRetryAfter), maxRetryAfter, max(left/3, minRetryAfter))
		s.refuse(c, reason, traffic.NotRun, retryAfter)
	}
}

func (s *Steerer) refuse(c *call, reason traffic.Refusal, fate traffic.Fate, retryAfter time.Duration) {
	s.emit(traffic.Answer{Call: c.number, Reason: reason, Fate: fate, RetryAfter: retryAfter})
	s.recordRefusal(c, reason, fate, retryAfter)
}

func (s *Steerer) deliver(c *call, reply traffic.Reply) {
	s.emit(traffic.Deliver{Call: c.number, Reply: reply})
	s.recordDelivery(c, reply)
}
