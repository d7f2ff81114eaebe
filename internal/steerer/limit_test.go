package steerer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/timekeeper"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

const (
	limitStep = 10 * time.Millisecond
	// limitedWork is how long the server takes for a response.
	limitedWork = 300 * time.Millisecond
	// limitWindow, limitFactor and limitSlack state the target: within any window, a server
	// gets no more than the factor times its limit, plus the slack.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// limitedFleet is a fleet with one server that names a limit, and more requests for it
// than it accepts. Limits reach the other instances through a store.
type limitedFleet struct {
	t         *testing.T
	times     timekeeper.Timekeeper
	epoch     time.Time
	at        time.Duration
	instances []*limitedInstance
	// limit is what the server names; it names none while limited is false.
	limited bool
	limit   float64
	stored  []traffic.Event
	writes  int
	sent    []time.Duration
}

type limitedInstance struct {
	*testBench
	nextCall time.Duration
	applied  int
	// interval is the time between two requests of the instance's callers.
	interval time.Duration
	pending  []pendingSend
}

type pendingSend struct {
	traffic.Send
	due time.Duration
}

func newLimitedFleet(t *testing.T, instances int, limit float64) *limitedFleet {
	t.Helper()
	f := &limitedFleet{t: t, epoch: time.Unix(1_800_000_000, 0), limited: true, limit: limit}
	f.times = timekeeper.Timekeeper{Bounds: restartSettings().Bounds}
	for i := range instances {
		f.instances = append(f.instances, &limitedInstance{interval: limitStep, nextCall: time.Duration(i) * limitStep})
	}
	for i := range instances {
		f.start(i)
	}
	for _, r := range f.instances {
		r.join()
	}
	f.epoch = f.epoch.Add(f.times.JoinDelay())
	return f
}

// start starts an instance, or restarts it. It knows all others and reads the store.
func (f *limitedFleet) start(index int) {
	r := f.instances[index]
	r.testBench = newTestBench(f.t, fmt.Sprintf("front-%d", index), "a1")
	r.Settings = restartSettings()
	r.now = f.epoch.Add(f.at)
	u := server("s1", "a1")
	u.Slots = 300
	r.handle(traffic.PolicySeen{Policy: policy(1)})
	r.handle(traffic.UpstreamSeen{Upstream: u})
	r.handle(traffic.UpstreamsListed{IDs: map[string]bool{"s1": true}})
	names := make(map[string]bool)
	for i := range f.instances {
		name := fmt.Sprintf("front-%d", i)
		names[name] = true
		r.handle(traffic.InstanceSeen{Instance: traffic.Instance{Name: name, Region: "a"}})
	}
	r.handle(traffic.InstancesListed{Names: names})
	r.applied, r.pending = 0, nil
	f.follow(r)
	r.handle(traffic.ServingStarted{})
}

func (f *limitedFleet) run(length time.Duration) {
	for end := f.at + length; f.at < end; f.at += limitStep {
		for _, r := range f.instances {
			f.step(r)
		}
	}
}

func (f *limitedFleet) step(r *limitedInstance) {
	r.now = f.epoch.Add(f.at)
	if f.at >= r.nextCall {
		f.follow(r)
		r.nextCall = f.at + f.times.Pause()
	}
	if f.at%(100*time.Millisecond) == 0 {
		f.publish(r.handle(traffic.Ticked{}))
	}
	for len(r.pending) > 0 && f.at >= r.pending[0].due {
		o := successOutcome()
		o.Reply.Limit = traffic.Limit{Known: true, Limited: f.limited, PerSecond: f.limit}
		f.publish(r.endAttempt(r.pending[0].Send, o))
		r.pending = r.pending[1:]
	}
	if f.at%r.interval != 0 {
		return
	}
	_, effects := r.request("/look/1", fmt.Sprint(f.at))
	send, ok := findEffect[traffic.Send](effects)
	if !ok {
		return
	}
	f.sent = append(f.sent, f.at)
	r.pending = append(r.pending, pendingSend{Send: send, due: f.at + limitedWork})
}

func (f *limitedFleet) publish(effects []traffic.Effect) {
	publish, ok := findEffect[traffic.PublishLimits](effects)
	if !ok {
		return
	}
	f.writes++
	for _, l := range publish.Limits {
		if l.Limited {
			f.stored = append(f.stored, traffic.LimitSeen{Limit: l})
		} else {
			f.stored = append(f.stored, traffic.LimitGone{Server: l.Server})
		}
	}
}

// follow passes on what was written to the store since the last call.
func (f *limitedFleet) follow(r *limitedInstance) {
	for _, e := range f.stored[r.applied:] {
		r.handle(e)
	}
	r.applied = len(f.stored)
}

// most returns the largest number of requests in a window that starts at a time or later.
func (f *limitedFleet) most(from time.Duration) int {
	most := 0
	for first, last := 0, 0; last < len(f.sent); last++ {
		for f.sent[first] < from || f.sent[last]-f.sent[first] >= limitWindow {
			if first++; first > last {
				break
			}
		}
		most = max(most, last-first+1)
	}
	return most
}

func (f *limitedFleet) expectLimit(from time.Duration, limit float64) {
	f.t.Helper()
	allowed := limitFactor*limit*limitWindow.Seconds() + limitSlack
	assert.Assert(f.t, float64(f.most(from)) <= allowed, "%d requests in %v at a limit of %v, allowed %v",
		f.most(from), limitWindow, limit, allowed)
}

// count returns the number of requests from a time on.
func (f *limitedFleet) count(from time.Duration) int {
	n := 0
	for _, at := range f.sent {
		if at >= from {
			n++
		}
	}
	return n
}

// A server in trouble names the requests per second that it accepts from all instances
// together. It gets no more, whatever the number of instances, and most of what it offers.
func TestServerGetsNoMoreThanItsLimit(t *testing.T) {
	for _, instances := range []int{1, 3, 10, 71} {
		for _, limit := range []float64{0, 0.4, 2.8, 11.2, 150} {
			t.Run(fmt.Sprintf("%d instances, limit %v", instances, limit), func(t *testing.T) {
				f := newLimitedFleet(t, instances, limit)
				f.run(20 * time.Second)
				f.expectLimit(time.Second, limit)
				requested := float64(instances) * float64(time.Second/limitStep)
				offered := min(limit, requested) * 15
				assert.Assert(t, float64(f.count(5*time.Second)) >= 0.8*offered-1, "%d of %v", f.count(5*time.Second), offered)
			})
		}
	}
}

// Instances that have never met a limited server learn its limit from the others: when
// their callers turn to it all at once, it gets no more either.
func TestLimitHoldsForInstancesThatHaveNotMetTheServer(t *testing.T) {
	f := newLimitedFleet(t, 10, 6)
	for _, r := range f.instances[3:] {
		r.interval = time.Hour
	}
	f.sent = nil
	f.at = limitStep
	f.run(8*time.Second - limitStep)
	for _, r := range f.instances {
		r.interval = limitStep
	}
	f.run(8 * time.Second)
	f.expectLimit(time.Second, 6)
}

// A limit that falls, rises and ends is followed by all instances within the time for
// changes.
func TestLimitFallsRisesAndEnds(t *testing.T) {
	f := newLimitedFleet(t, 10, 20)
	f.run(8 * time.Second)
	f.limit = 5
	f.run(10 * time.Second)
	f.expectLimit(8*time.Second+f.times.JoinDelay(), 5)
	f.limit = 40
	f.run(10 * time.Second)
	assert.Assert(t, f.count(23*time.Second) >= 0.8*40*5, "%d requests in 5 s", f.count(23*time.Second))
	f.limited = false
	f.run(10 * time.Second)
	unlimited := int(time.Second/limitStep) * 10
	assert.Assert(t, f.count(37*time.Second) >= unlimited, "%d requests in a second", f.count(37*time.Second))
	for _, r := range f.instances {
		assert.Equal(t, r.LimitedServers(), 0)
	}
	assert.Equal(t, len(f.instances[0].storedLimits), 0)
	assert.Assert(t, f.writes <= 8, "%d writes for four changes", f.writes)
}

// All instances restart, or one after the other. The limit is in the store, so that they
// don't start from nothing, and what their processes sent before counts.
func TestRestartKeepsTheLimit(t *testing.T) {
	for _, gap := range []time.Duration{0, 300 * time.Millisecond, 3 * time.Second} {
		t.Run(fmt.Sprintf("gap %v", gap), func(t *testing.T) {
			f := newLimitedFleet(t, 10, 11.2)
			f.run(6 * time.Second)
			for i := range f.instances {
				f.start(i)
				f.instances[i].handle(traffic.RecordKept{Revision: 2, Lasts: time.Hour})
				f.run(gap)
			}
			f.run(8 * time.Second)
			f.expectLimit(time.Second, 11.2)
			assert.Assert(t, f.count(f.at-4*time.Second) >= 36, "%d requests in the last 4 s", f.count(f.at-4*time.Second))
		})
	}
}

// A new process under the ID of a limited server has no limit, and the record of the
// former one is removed, as is that of a server that is gone.
func TestLimitEndsWithItsProcess(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"), server("s2", "a1"))
	for _, id := range []string{"s1", "s2"} {
		b.handle(traffic.LimitSeen{Limit: traffic.ServerLimit{Server: id, Limited: true, PerSecond: 3}})
	}
	assert.Equal(t, b.LimitedServers(), 2)
	restarted := server("s1", "a1")
	restarted.Started, restarted.Revision = 77, 9
	b.handle(traffic.UpstreamSeen{Upstream: restarted})
	b.handle(traffic.UpstreamGone{ID: "s2"})
	assert.Equal(t, b.LimitedServers(), 0)
	ended := make(map[string]bool)
	for range 100 {
		publish, _ := findEffect[traffic.PublishLimits](b.advance(100 * time.Millisecond).handle(traffic.Ticked{}))
		for _, l := range publish.Limits {
			assert.Assert(t, !l.Limited)
			ended[l.Server] = true
		}
	}
	assert.DeepEqual(t, ended, map[string]bool{"s1": true, "s2": true})
}

// What a response does not say about a limit changes nothing: a rejection without one, a
// limit that could not be read, or the response of another server at the same address.
func TestLimitIsKeptUntilTheServerEndsIt(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"))
	u := b.upstreams["s1"]
	b.observeLimit(u, traffic.Reply{Status: 200, Limit: traffic.Limit{Known: true, Limited: true, PerSecond: 3}})
	assert.Equal(t, b.LimitedServers(), 1)
	b.observeLimit(u, traffic.Reply{Status: 503, NotRun: true, Limit: traffic.Limit{Known: true}})
	b.observeLimit(u, traffic.Reply{Status: 200})
	b.observeLimit(u, traffic.Reply{Status: 421, Misdirected: true, Limit: traffic.Limit{Known: true}})
	b.observeLimit(u, traffic.Reply{Limit: traffic.Limit{Known: true}})
	assert.Equal(t, b.LimitedServers(), 1)
	b.observeLimit(u, traffic.Reply{Status: 200, Limit: traffic.Limit{Known: true}})
	assert.Equal(t, b.LimitedServers(), 0)
}

// When every server is at its limit, a caller is refused at once and told when the next
// request fits.
func TestRefusalAtTheLimitSaysWhenToComeBack(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"))
	b.handle(traffic.Ticked{})
	b.observeLimit(b.upstreams["s1"], traffic.Reply{Status: 200, Limit: traffic.Limit{Known: true, Limited: true, PerSecond: 2}})
	_, effects := b.advance(100*time.Millisecond).request("/look/1", "7")
	refusal := b.mustRefuse(effects)
	assert.Equal(t, refusal.Reason, traffic.Overloaded)
	assert.Equal(t, refusal.Fate, traffic.NotRun)
	assert.Equal(t, refusal.RetryAfter.Round(time.Millisecond), 400*time.Millisecond)
	_, effects = b.advance(refusal.RetryAfter).request("/look/1", "7")
	b.mustSend(effects)
}
