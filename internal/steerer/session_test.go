package steerer

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

var sessionSeeds = flag.Int("session-seeds", 300, "number of random sessions")

// sessionCall is what a random session knows of a call.
type sessionCall struct {
	idempotent bool
	// open holds the attempts that have not ended; started those whose first byte was sent.
	open, started map[int]traffic.Send
	// reached counts the attempts that ran or may have run.
	reached int
	// final is set once the call has its final effect or its caller has left.
	final, left bool
}

// session plays random events, in any order and from any state: an instance without a
// configuration, without servers or instances, with a configuration that takes away what is
// in use. It checks what must hold whatever comes.
type session struct {
	*testBench
	seed     uint64
	random   *rand.Rand
	version  int64
	revision int64
	calls    map[uint64]*sessionCall
	// sent, delivered and refused count effects.
	sent, delivered, refused int
}

func newSession(t *testing.T, seed uint64) *session {
	return &session{
		testBench: newTestBench(t, "front-1", "a1"), seed: seed, random: rand.New(rand.NewPCG(seed, 17)),
		calls: make(map[uint64]*sessionCall),
	}
}

// prepare lets the instance serve before the random events come.
func (s *session) prepare() {
	s.version, s.revision = 1, 1
	s.feed(traffic.PolicySeen{Policy: policy(1), Revision: 1})
	ids := make(map[string]bool)
	for n := range 5 {
		u := server(fmt.Sprintf("s%d", n), []string{"a1", "a2", "b1"}[n%3])
		ids[u.ID] = true
		s.feed(traffic.UpstreamSeen{Upstream: u})
	}
	s.feed(traffic.UpstreamsListed{IDs: ids})
	s.feed(traffic.InstanceSeen{Instance: s.Self})
	s.feed(traffic.InstancesListed{Names: map[string]bool{s.Self.Name: true}})
	s.feed(traffic.ServingStarted{})
	s.join()
}

// feed passes an event to the reducer and checks its effects.
func (s *session) feed(e traffic.Event) {
	s.t.Helper()
	defer func() {
		if failure := recover(); failure != nil {
			s.t.Fatalf("seed %d: %T: %v", s.seed, e, failure)
		}
	}()
	for _, x := range s.handle(e) {
		s.check(x)
	}
}

func (s *session) check(x traffic.Effect) {
	s.t.Helper()
	switch x := x.(type) {
	case traffic.Send:
		c := s.calls[x.Call]
		assert.Assert(s.t, c != nil && !c.final, "seed %d: a call that has ended is sent", s.seed)
		assert.Assert(s.t, c.idempotent || c.reached == 0 && len(c.open) == 0, "seed %d: a request that must not run twice is sent again", s.seed)
		assert.Assert(s.t, !x.Upstream.Draining && !s.evacuated[x.Upstream.Domain], "seed %d: sent to a server that may get nothing", s.seed)
		c.open[x.Attempt] = x
		s.sent++
	case traffic.Deliver:
		s.delivered++
		s.end(x.Call)
	case traffic.Refuse:
		s.refused++
		assert.Assert(s.t, x.Reason != traffic.NoRoute || s.Synced(), "seed %d: an instance that knows no configuration denies a route", s.seed)
		c := s.end(x.Call)
		assert.Assert(s.t, x.Fate != traffic.NotRun || c.reached == 0 && len(c.started) == 0,
			"seed %d: a request that may have run is refused as not run", s.seed)
	}
}

func (s *session) end(number uint64) *sessionCall {
	s.t.Helper()
	c := s.calls[number]
	assert.Assert(s.t, c != nil, "seed %d: no call %d", s.seed, number)
	assert.Assert(s.t, !c.final, "seed %d: call %d ends twice", s.seed, number)
	c.final = true
	return c
}

func pick[T any](s *session, options ...T) T { return options[s.random.IntN(len(options))] }

func (s *session) serverID() string { return fmt.Sprintf("s%d", s.random.IntN(5)) }

func (s *session) domain() string { return pick(s, "a1", "a2", "b1", "c2", "unknown") }

func (s *session) storeEvent() traffic.Event {
	s.revision++
	switch s.random.IntN(16) {
	case 0:
		s.version += int64(s.random.IntN(3)) - 1
		p := policy(s.version)
		p.Routes = p.Routes[:s.random.IntN(len(p.Routes)+1)]
		for n := range p.Routes {
			p.Routes[n].Shares = []traffic.Share{{Service: pick(s, "stock", "stock", "none"), Weight: pick(s, 1.0, 0, 0.5)}}
			p.Routes[n].HomeRegions = pick(s, nil, nil, []string{"b"}, []string{"unknown"})
			p.Routes[n].Timeout = pick(s, 2*time.Second, 0, time.Millisecond)
			p.Routes[n].Target = pick(s, 500*time.Millisecond, 0)
			p.Routes[n].MaxAttempts = s.random.IntN(4)
		}
		if s.random.IntN(4) == 0 {
			p.Services = nil
		}
		return traffic.PolicySeen{Policy: p, Revision: s.revision}
	case 1, 2, 3, 4, 5:
		u := server(s.serverID(), s.domain())
		u.Started, u.Revision = int64(s.random.IntN(2)), s.revision
		u.Draining = s.random.IntN(6) == 0
		u.Slots = pick(s, 4, 4, 1, 0)
		u.Cold = pick(s, 0, 0, time.Second)
		u.Service = pick(s, "stock", "stock", "stock", "other")
		return traffic.UpstreamSeen{Upstream: u}
	case 6:
		return traffic.UpstreamGone{ID: s.serverID()}
	case 7:
		return traffic.UpstreamsListed{IDs: map[string]bool{s.serverID(): true, s.serverID(): true}}
	case 8:
		return traffic.EvacuationSeen{Domain: s.domain()}
	case 9:
		return traffic.EvacuationGone{Domain: s.domain()}
	case 10:
		return traffic.InstanceSeen{Instance: traffic.Instance{
			Name: pick(s, "front-1", "front-2", "front-3"), Domain: s.domain(), Region: pick(s, "a", "b", ""), Incarnation: pick(s, "1", "2", ""),
		}}
	case 11:
		return traffic.InstanceGone{Name: pick(s, "front-1", "front-2"), Revision: s.revision}
	case 12:
		return traffic.InstancesListed{Names: map[string]bool{"front-1": s.random.IntN(2) == 0}, Revision: s.revision}
	case 13:
		return traffic.LimitSeen{Limit: traffic.ServerLimit{Server: s.serverID(), Started: int64(s.random.IntN(2)), Limited: true, PerSecond: pick(s, 5.0, 0, 1e9)}}
	case 14:
		return traffic.LimitGone{Server: s.serverID()}
	}
	return traffic.FleetSizeSeen{Instances: s.random.IntN(5) - 1}
}

func (s *session) ownEvent() traffic.Event {
	switch s.random.IntN(10) {
	case 0:
		return traffic.StoreLost{Err: errReset}
	case 1:
		return traffic.StoreRegained{SinceFailure: time.Duration(s.random.IntN(5)) * time.Second}
	case 2:
		return traffic.StoreRestored{Era: 2, Revision: s.revision}
	case 3:
		return traffic.RecordKept{Revision: s.revision, Lasts: pick(s, time.Hour, time.Second, 0)}
	case 4:
		return traffic.SettingsReloaded{Settings: settings()}
	case 5:
		return traffic.ServingStarted{}
	case 6:
		return traffic.LookUpRequested{Query: traffic.Query{Host: "shop.example", Region: pick(s, "a", "b", ""), Domain: s.domain()}}
	case 7:
		if s.random.IntN(20) == 0 {
			return traffic.StopRequested{}
		}
		return traffic.Suspended{For: time.Duration(s.random.IntN(3)) * time.Second}
	}
	return traffic.Ticked{}
}

func (s *session) arrive() {
	s.lastCall++
	path := pick(s, "/look/1", "/order/1", "/none/", "/", "")
	r := traffic.Request{
		ID: fmt.Sprint(s.lastCall), HostName: pick(s, "shop.example", "shop.example", "SHOP.example", "other"), Path: path,
		Object: pick(s, "", "7", "8", "9"), Limit: pick(s, 3*time.Second, 0, time.Millisecond, time.Hour),
		OtherPaths: pick(s, nil, nil, []string{"/order/1"}),
	}
	c := &sessionCall{open: make(map[int]traffic.Send), started: make(map[int]traffic.Send)}
	if route := s.match(r.HostName, path); route != nil {
		c.idempotent = route.Idempotent && r.OtherPaths == nil
	}
	s.calls[s.lastCall] = c
	s.feed(traffic.Arrived{Call: s.lastCall, Request: r, Read: s.now})
}

func (s *session) outcome() traffic.Outcome {
	o := pick(s, successOutcome(), successOutcome(), rejectedOutcome(), traffic.Outcome{Fate: traffic.Unknown, Err: errReset},
		traffic.Outcome{Fate: traffic.Ran, Reply: traffic.Reply{Status: 500, Signed: true}}, traffic.Outcome{Fate: traffic.Ran, Reply: traffic.Reply{Status: 503}},
		traffic.Outcome{Fate: traffic.NotRun, Reply: traffic.Reply{Status: 421, NotRun: true, Misdirected: true}})
	o.Took = time.Duration(s.random.IntN(900)) * time.Millisecond
	o.Reply.Leaving = s.random.IntN(30) == 0
	o.Reply.Pause = pick(s, 0, 0, 0, time.Second)
	o.Reply.Limit = pick(s, traffic.Limit{}, traffic.Limit{Known: true}, traffic.Limit{Known: true, Limited: true, PerSecond: 3})
	return o
}

// firstOpen returns the first attempt that has not ended.
func (c *sessionCall) firstOpen() (traffic.Send, bool) {
	if len(c.open) == 0 {
		return traffic.Send{}, false
	}
	return c.open[slices.Min(slices.Collect(maps.Keys(c.open)))], true
}

// callEvent plays an event of a call, also of one that does not exist.
func (s *session) callEvent() {
	number := uint64(1 + s.random.IntN(int(s.lastCall)+1))
	c := s.calls[number]
	if c == nil {
		s.feed(pick[traffic.Event](s, traffic.Expired{Call: number}, traffic.CallerLeft{Call: number}, traffic.Starting{Call: number, Attempt: 1}))
		return
	}
	if send, ok := c.firstOpen(); ok {
		switch s.random.IntN(4) {
		case 0:
			s.start(c, send)
		case 1:
			s.feed(traffic.Overdue{Call: number, Attempt: send.Attempt})
		default:
			s.endAttempt(c, send)
		}
		return
	}
	if c.left {
		return
	}
	if s.random.IntN(2) == 0 {
		s.feed(traffic.Expired{Call: number})
		return
	}
	c.left = true
	if !c.final {
		c.final = true
		s.feed(traffic.CallerLeft{Call: number})
	}
}

func (s *session) start(c *sessionCall, send traffic.Send) {
	if _, started := c.started[send.Attempt]; started {
		return
	}
	if s.mayStart(send) {
		c.started[send.Attempt] = send
	}
}

func (s *session) endAttempt(c *sessionCall, send traffic.Send) {
	o := s.outcome()
	_, started := c.started[send.Attempt]
	if !started {
		s.start(c, send)
		_, started = c.started[send.Attempt]
	}
	if !started {
		o = notSent()
	}
	delete(c.open, send.Attempt)
	delete(c.started, send.Attempt)
	if o.Fate != traffic.NotRun {
		c.reached++
	}
	s.feed(traffic.Ended{Call: send.Call, Attempt: send.Attempt, Outcome: o})
}

// finish lets all attempts end and all deadlines pass: every call must have its final effect.
func (s *session) finish() {
	for range 200 {
		for _, number := range s.openCalls() {
			if send, ok := s.calls[number].firstOpen(); ok {
				s.endAttempt(s.calls[number], send)
			}
		}
	}
	s.advance(2 * time.Hour)
	for _, number := range s.openCalls() {
		s.feed(traffic.Expired{Call: number})
	}
	for number, c := range s.calls {
		assert.Assert(s.t, c.final, "seed %d: call %d has no final effect", s.seed, number)
	}
	assert.Equal(s.t, s.InFlight(), 0, "seed %d", s.seed)
}

// openCalls returns the calls without a final effect or with attempts, in order.
func (s *session) openCalls() (numbers []uint64) {
	for number := uint64(1); number <= s.lastCall; number++ {
		if c := s.calls[number]; !c.final || len(c.open) > 0 {
			numbers = append(numbers, number)
		}
	}
	return numbers
}

// Guards against instances that end or lose requests in a state that no test starts from:
// without a configuration, a store, servers or instances, or when what is in use is taken
// away. Whatever comes in whatever order, nothing panics, each call ends once, what must not
// run twice is sent once, and "not run" is true.
func TestRandomSessions(t *testing.T) {
	sent, delivered, refused := 0, 0, 0
	for seed := range uint64(*sessionSeeds) {
		s := newSession(t, seed)
		if seed%3 > 0 {
			s.prepare()
		}
		for range 400 {
			s.advance(time.Duration(s.random.IntN(60)) * time.Millisecond)
			switch s.random.IntN(20) {
			case 0:
				s.feed(s.storeEvent())
			case 1:
				s.feed(s.ownEvent())
			case 2, 3, 4, 5, 6, 7:
				s.arrive()
			default:
				s.callEvent()
			}
		}
		s.finish()
		sent, delivered, refused = sent+s.sent, delivered+s.delivered, refused+s.refused
	}
	t.Logf("%d sessions: %d attempts, %d responses, %d refusals", *sessionSeeds, sent, delivered, refused)
	assert.Assert(t, delivered > *sessionSeeds && refused > *sessionSeeds, "the sessions serve or refuse too little")
}
