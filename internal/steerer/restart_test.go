package steerer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/timekeeper"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

// restartedFleet is a fleet whose instances learn of each other from a store. It has one
// cold server, and every instance has more requests for it than it may send.
type restartedFleet struct {
	t      *testing.T
	random *rand.Rand
	epoch  time.Time
	times  timekeeper.Timekeeper
	// records are the instances' records, in the order in which they were written.
	records   []storedInstance
	instances []*restartedInstance
	// sent holds the times of all requests to the cold server.
	sent []time.Duration
}

type storedInstance struct {
	traffic.Instance
	writtenAt time.Duration
	revision  int64
}

type restartedInstance struct {
	*testBench
	readAt    time.Duration
	writtenAt time.Duration
	// nextCall is when the instance follows the store next, and revision up to which it
	// knows the store.
	nextCall time.Duration
	revision int64
	read     bool
}

func newRestartedFleet(t *testing.T, seed uint64) *restartedFleet {
	t.Helper()
	f := &restartedFleet{t: t, random: rand.New(rand.NewPCG(seed, 1)), epoch: time.Unix(1_800_000_000, 0)}
	bounds := restartSettings().Bounds
	f.times = timekeeper.Timekeeper{Bounds: bounds}
	return f
}

func restartSettings() traffic.Settings {
	s := settings()
	s.Bounds.Drain.Duration = 2500 * time.Millisecond
	s.Bounds.Apply.Duration = 2500 * time.Millisecond
	s.Bounds.Evacuation.Duration = 5 * time.Second
	return s
}

// upTo returns a random time below a limit.
func (f *restartedFleet) upTo(limit time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(limit)))
}

// start adds an instance that starts at a time. It reads the store soon after, and its
// own record is written later: before the read or after it.
func (f *restartedFleet) start(name string, at time.Duration) {
	b := newTestBench(f.t, name, "a1")
	b.Settings = restartSettings()
	r := &restartedInstance{
		testBench: b,
		readAt:    at + 10*time.Millisecond + f.upTo(350*time.Millisecond),
		writtenAt: at + 10*time.Millisecond + f.upTo(350*time.Millisecond),
	}
	f.instances = append(f.instances, r)
	f.records = append(f.records, storedInstance{Instance: b.Self, writtenAt: r.writtenAt})
}

// run plays the fleet's first seconds in steps of a millisecond.
func (f *restartedFleet) run(length time.Duration) {
	slices.SortFunc(f.records, func(a, b storedInstance) int { return int(a.writtenAt - b.writtenAt) })
	for i := range f.records {
		f.records[i].revision = int64(i + 1)
	}
	for at := time.Duration(0); at < length; at += time.Millisecond {
		for _, r := range f.instances {
			f.step(r, at)
		}
	}
}

func (f *restartedFleet) step(r *restartedInstance, at time.Duration) {
	r.now = f.epoch.Add(at)
	if at == r.writtenAt.Truncate(time.Millisecond) {
		i := slices.IndexFunc(f.records, func(s storedInstance) bool { return s.Instance == r.Self })
		r.handle(traffic.RecordKept{Revision: f.records[i].revision, Lasts: time.Hour})
	}
	switch {
	case at < r.readAt:
		return
	case !r.read:
		f.read(r, at)
	case at >= r.nextCall:
		if f.deliverRecords(r, at) {
			r.nextCall = at + f.times.Pause() + 5*time.Millisecond
		}
	}
	if at%(10*time.Millisecond) != 0 {
		return
	}
	_, effects := r.request("/look/1", fmt.Sprint(at))
	if send, ok := findEffect[traffic.Send](effects); ok {
		f.sent = append(f.sent, at)
		r.endAttempt(send, successOutcome())
	}
}

// read makes the first full read of the store.
func (f *restartedFleet) read(r *restartedInstance, at time.Duration) {
	r.read = true
	cold := server("s1", "a1")
	cold.Cold = time.Hour
	p := policy(1)
	p.Services["stock"] = traffic.Service{Name: "stock", MaxConnections: 300, ColdPeriod: time.Hour, ColdRate: 19}
	r.handle(traffic.PolicySeen{Policy: p})
	r.handle(traffic.UpstreamSeen{Upstream: cold})
	r.handle(traffic.UpstreamsListed{IDs: map[string]bool{"s1": true}})
	f.deliverRecords(r, at)
	names := make(map[string]bool)
	for _, record := range f.records {
		if record.writtenAt <= at {
			names[record.Name] = true
		}
	}
	r.handle(traffic.InstancesListed{Names: names, Revision: r.revision})
	r.handle(traffic.ServingStarted{})
}

// deliverRecords passes on the records that were written since the last call.
func (f *restartedFleet) deliverRecords(r *restartedInstance, at time.Duration) (found bool) {
	for _, record := range f.records {
		if record.writtenAt <= at && record.revision > r.revision {
			r.handle(traffic.InstanceSeen{Instance: record.Instance})
			r.revision = record.revision
			found = true
		}
	}
	return found
}

// mostInASecond returns the largest number of times within any second.
func mostInASecond(times []time.Duration) int {
	sorted := slices.Sorted(slices.Values(times))
	most := 0
	for first, last := 0, 0; last < len(sorted); last++ {
		for sorted[last]-sorted[first] >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// All instances restart while a server is cold, and each knows only the instances whose
// records were written before its own read. Until all know all, their shares must not add
// up to more than the server's bound.
func TestRestartOfAllInstancesDoesNotFloodAColdServer(t *testing.T) {
	for _, instances := range []int{1, 2, 4, 10, 30, 71} {
		for seed := range uint64(5) {
			f := newRestartedFleet(t, seed)
			for i := range instances {
				f.start(fmt.Sprintf("front-%d", i), f.upTo(300*time.Millisecond))
			}
			f.run(6 * time.Second)
			const bound = 33 // ColdRate * ColdFactor + ColdSlack
			most := mostInASecond(f.sent)
			assert.Assert(t, most <= bound, "%d instances, seed %d: %d requests in a second", instances, seed, most)
			assert.Assert(t, most >= bound/2, "%d instances, seed %d: only %d requests in a second", instances, seed, most)
		}
	}
}

// The instances of a fleet restart one after the other, each with a view that lacks the
// others, while all servers reject requests. The retries before and after must add up to
// no more than the budget that all instances share.
func TestRestartOfAllInstancesKeepsTheRetryBudget(t *testing.T) {
	const instances, requestsEach = 10, 40
	requests, retries := 0, 0
	overload := func(b *testBench) {
		for i := range requestsEach {
			requests++
			_, effects := b.advance(25*time.Millisecond).request("/look/1", fmt.Sprint(i))
			for send, ok := findEffect[traffic.Send](effects); ok; send, ok = findEffect[traffic.Send](effects) {
				if send.Attempt > 1 {
					retries++
				}
				effects = b.endAttempt(send, rejectedOutcome())
			}
		}
	}
	var servers []traffic.Upstream
	for i := range 20 {
		servers = append(servers, server(fmt.Sprintf("s%d", i), "a1"))
	}
	for range instances {
		running := newReadyBench(t, servers...)
		for i := range instances - 1 {
			running.handle(traffic.InstanceSeen{Instance: traffic.Instance{Name: fmt.Sprintf("other-%d", i), Region: "a"}})
		}
		overload(running)
		overload(newStartedBench(t, servers...))
	}
	bounds := settings().Bounds
	budget := int(bounds.RetryRatio*float64(requests) + bounds.RetrySlack)
	assert.Assert(t, retries <= budget, "%d retries of %d requests, at most %d allowed", retries, requests, budget)
	assert.Assert(t, retries > requests/10, "only %d retries", retries)
}

// All instances of a fleet restart, and each knows only itself. Together they must not
// open more connections to a server than it accepts.
func TestRestartOfAllInstancesKeepsTheConnectionLimit(t *testing.T) {
	const instances, limit = 71, 300
	b := newStartedBench(t, server("s1", "a1"))
	_, effects := b.request("/look/1", "7")
	send := b.mustSend(effects)
	assert.Assert(t, send.Connections*instances <= limit, "%d connections", send.Connections)
	assert.Assert(t, send.Connections >= send.Upstream.Slots, "only %d connections", send.Connections)
	b.endAttempt(send, successOutcome())
	b.join()
	_, effects = b.request("/look/1", "7")
	assert.Equal(t, b.mustSend(effects).Connections, limit)
}

// The store remembers the number of instances when none is left, so that those that start
// divide by it before they know each other. One instance writes it, when it changes.
func TestFleetSizeIsRemembered(t *testing.T) {
	const instances, limit = 10, 300
	var fleet []*testBench
	for i := range instances {
		b := newTestBench(t, fmt.Sprintf("front-%d", i), "a1")
		for j := range instances {
			b.handle(traffic.InstanceSeen{Instance: traffic.Instance{Name: fmt.Sprintf("front-%d", j)}})
		}
		b.join()
		fleet = append(fleet, b)
	}
	var written []int
	tick := func(after time.Duration) {
		for _, b := range fleet {
			publish, ok := findEffect[traffic.PublishFleetSize](b.advance(after).handle(traffic.Ticked{}))
			if ok {
				written = append(written, publish.Instances)
			}
		}
		for _, b := range fleet {
			for _, size := range written {
				b.handle(traffic.FleetSizeSeen{Instances: size})
			}
		}
	}
	tick(0)
	tick(time.Minute)
	assert.DeepEqual(t, written, []int{instances})

	started := newStartedBench(t, server("s1", "a1"))
	started.handle(traffic.FleetSizeSeen{Instances: instances})
	_, effects := started.request("/look/1", "7")
	assert.Equal(t, started.mustSend(effects).Connections, limit/instances)

	for _, b := range fleet {
		b.handle(traffic.InstanceGone{Name: "front-0"})
	}
	fleet = fleet[1:]
	tick(departedRetention)
	tick(departedRetention)
	assert.DeepEqual(t, written, []int{instances, instances - 1})
}

// An instance that is paused or cut off for longer than its record's lease has no shares
// when it goes on, even before it hears from the store: others may have started that do
// not know of it. It has them again once the record has been kept.
func TestPausedInstanceHasNoSharesWhenItsLeaseHasEnded(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"))
	cold := server("s1", "a1")
	cold.Cold, cold.Revision = time.Hour, 2
	b.handle(traffic.UpstreamSeen{Upstream: cold})
	b.handle(traffic.RecordKept{Revision: 1, Lasts: 5 * time.Second})
	_, effects := b.advance(4*time.Second).request("/look/1", "7")
	b.endAttempt(b.mustSend(effects), successOutcome())
	_, effects = b.advance(2*time.Second).request("/look/1", "7")
	assert.Equal(t, b.mustRefuse(effects).Reason, traffic.NoServer)
	b.handle(traffic.RecordKept{Revision: 1, Lasts: 5 * time.Second})
	_, effects = b.request("/look/1", "7")
	b.endAttempt(b.mustSend(effects), successOutcome())

	// The record is gone and written again: others need the time to learn of it.
	b.handle(traffic.InstanceGone{Name: b.Self.Name, Revision: 3})
	b.handle(traffic.RecordKept{Revision: 4, Lasts: 5 * time.Second})
	b.handle(traffic.InstanceSeen{Instance: b.Self})
	_, effects = b.request("/look/1", "7")
	assert.Equal(t, b.mustRefuse(effects).Reason, traffic.NoServer)
	times := timekeeper.Timekeeper{Bounds: b.Settings.Bounds}
	_, effects = b.advance(times.JoinDelay()).request("/look/1", "7")
	b.endAttempt(b.mustSend(effects), successOutcome())
}

// The lease of a record that is gone may be renewed once more before the record is written
// again. The wait for the others begins with the write, and this instance must have read
// its own new record.
func TestJoiningBeginsWithTheWriteOfTheRecord(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"))
	b.handle(traffic.Ticked{})
	assert.Assert(t, b.hasShares())
	b.handle(traffic.InstanceGone{Name: b.Self.Name, Revision: 5})
	b.handle(traffic.RecordKept{Revision: 1, Lasts: time.Hour})
	times := timekeeper.Timekeeper{Bounds: b.Settings.Bounds}
	b.advance(times.JoinDelay()).handle(traffic.Ticked{})
	assert.Assert(t, !b.hasShares(), "joined by the renewal of a record that is gone")
	b.handle(traffic.RecordKept{Revision: 6, Lasts: time.Hour})
	b.advance(times.JoinDelay()).handle(traffic.Ticked{})
	assert.Assert(t, !b.hasShares(), "joined without having read the own record")
	b.handle(traffic.InstanceSeen{Instance: b.Self})
	assert.Assert(t, b.hasShares())
}

// The log says how bounds are divided, and when an instance gets its shares and loses them.
func TestDivisionIsLogged(t *testing.T) {
	b := newStartedBench(t, server("s1", "a1"))
	line := func() map[string]string {
		values := make(map[string]string)
		for key, value := range attributes(t, b.handle(traffic.Ticked{}), "bounds divided") {
			values[key] = value.String()
		}
		return values
	}
	assert.DeepEqual(t, line(), map[string]string{"instances": "1", "divided_by": "1", "has_shares": "false"})
	b.handle(traffic.RecordKept{Revision: 1, Lasts: time.Minute})
	times := timekeeper.Timekeeper{Bounds: b.Settings.Bounds}
	b.advance(times.JoinDelay())
	assert.DeepEqual(t, line(), map[string]string{"instances": "1", "divided_by": "1", "has_shares": "true"})
	b.handle(traffic.InstanceSeen{Instance: traffic.Instance{Name: "front-2"}})
	assert.DeepEqual(t, line(), map[string]string{"instances": "2", "divided_by": "2", "has_shares": "true"})
	b.handle(traffic.InstanceGone{Name: "front-2"})
	assert.DeepEqual(t, line(), map[string]string{"instances": "1", "divided_by": "2", "has_shares": "true"})
	b.advance(time.Minute)
	assert.DeepEqual(t, line(), map[string]string{"instances": "1", "divided_by": "1", "has_shares": "false"})
}
