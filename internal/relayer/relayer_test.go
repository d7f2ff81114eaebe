package relayer

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/clock"
	"github.com/yuccathread/yuccathread/internal/follower"
	"github.com/yuccathread/yuccathread/internal/gossiper"
	"github.com/yuccathread/yuccathread/internal/model"
	"github.com/yuccathread/yuccathread/internal/timekeeper"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

var errCut = errors.New("no response")

// maxPage is the largest number of changes in one response of a history.
const maxPage = 500

// history is a store whose changes are versions of the policy, each with the revision
// of the same number, and records of servers.
type history struct {
	traffic.Store
	mutex    sync.Mutex
	revision int64
	// servers holds the revisions that changed the record of a server.
	servers map[int64]bool
	// madeAt maps each revision to the time of its change.
	madeAt  map[int64]time.Time
	oldest  int64
	changed chan struct{}
}

func newHistory() *history {
	return &history{revision: 1, servers: make(map[int64]bool), madeAt: make(map[int64]time.Time), changed: make(chan struct{})}
}

func (h *history) change() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.revision++
	h.madeAt[h.revision] = time.Now()
	close(h.changed)
	h.changed = make(chan struct{})
}

// drop drops the history up to now.
func (h *history) drop() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.oldest = h.revision
}

// eraSize is the number of revisions of one era.
const eraSize = 1 << 44

// restore lets the store come back from a copy that lacks the newest changes: revisions of a
// new era begin where the copy ends.
func (h *history) restore(lost int64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.revision = (h.revision/eraSize+1)*eraSize + max(h.revision%eraSize-lost, 1)
	h.oldest = h.revision
	close(h.changed)
	h.changed = make(chan struct{})
}

func policySeen(version int64) traffic.Event {
	return traffic.PolicySeen{Policy: traffic.Policy{Version: version}}
}

func (h *history) since(after int64) (traffic.Changes, <-chan struct{}, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if after < h.oldest {
		return traffic.Changes{}, nil, traffic.ErrHistoryDropped
	}
	c := traffic.Changes{Revision: min(h.revision, after+maxPage)}
	c.More = c.Revision < h.revision
	for revision := after + 1; revision <= c.Revision; revision++ {
		c.Events = append(c.Events, h.event(revision))
		c.Revisions = append(c.Revisions, revision)
	}
	return c, h.changed, nil
}

func (h *history) event(revision int64) traffic.Event {
	if h.servers[revision] {
		return serverSeen(revision)
	}
	return policySeen(revision)
}

// version returns the newest version of the policy. It is called with the mutex held.
func (h *history) version() int64 {
	for revision := h.revision; ; revision-- {
		if !h.servers[revision] {
			return revision
		}
	}
}

// newestOfServers returns the newest revision of each server's record.
func (h *history) newestOfServers() map[string]int64 {
	newest := make(map[string]int64)
	for revision := range h.servers {
		id := serverID(revision)
		newest[id] = max(newest[id], revision)
	}
	return newest
}

// client is one instance's access to the store.
type client struct {
	*history
	// cut, once closed, makes all calls hang until they time out, those in progress too.
	cut   atomic.Pointer[chan struct{}]
	calls atomic.Int64
}

func (c *client) reconnect() {
	open := make(chan struct{})
	c.cut.Store(&open)
}

func (c *client) disconnect() { close(*c.cut.Load()) }

func (c *client) Read(ctx context.Context, stallTimeout time.Duration) (traffic.Changes, error) {
	c.calls.Add(1)
	if err := c.hang(ctx, stallTimeout); err != nil {
		return traffic.Changes{}, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	changes := traffic.Changes{Revision: c.revision, Events: []traffic.Event{policySeen(c.version())}}
	for _, revision := range c.newestOfServers() {
		changes.Events = append(changes.Events, serverSeen(revision))
	}
	return changes, nil
}

func (c *client) Follow(ctx context.Context, after int64, wait, stallTimeout time.Duration) (traffic.Changes, error) {
	c.calls.Add(1)
	deadline := time.Now().Add(stallTimeout)
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		if err := c.hang(ctx, time.Until(deadline)); err != nil {
			return traffic.Changes{}, err
		}
		changes, changed, err := c.since(after)
		if err != nil || len(changes.Events) > 0 {
			return changes, err
		}
		select {
		case <-changed:
		case <-*c.cut.Load():
		case <-end.C:
			return changes, nil
		case <-ctx.Done():
			return traffic.Changes{}, ctx.Err()
		}
	}
}

func (c *client) hang(ctx context.Context, timeout time.Duration) error {
	select {
	case <-*c.cut.Load():
	default:
		return nil
	}
	select {
	case <-time.After(timeout):
		return errCut
	case <-ctx.Done():
		return ctx.Err()
	}
}

// region runs the relayers and followers of a region.
type region struct {
	history   *history
	instances []*instance
	times     timekeeper.Timekeeper
	// perEvent is the time that an event takes on a reader's link.
	perEvent time.Duration
	// lags holds how slow instances are to handle a response of the store, by number.
	lags map[int]time.Duration
}

type instance struct {
	relayer *Relayer
	client  *client
	link    link
	// dead makes calls of other instances hang.
	dead atomic.Bool
	// applied is the newest version that the instance has applied, and slowest the
	// longest time that it took to do so.
	applied int64
	// servers holds the revisions of the servers' records that it has applied.
	servers map[string]int64
	slowest time.Duration
	fault   string
}

func times() timekeeper.Timekeeper {
	d := func(n time.Duration) model.Duration { return model.Duration{Duration: n} }
	return timekeeper.Timekeeper{Bounds: traffic.Bounds{
		Drain: d(3 * time.Second), Apply: d(3 * time.Second), Evacuation: d(5 * time.Second), Reconnect: d(4 * time.Second),
		Grace: d(6 * time.Second),
	}}
}

// startTest returns a context for the instances and a function that ends it and waits
// until they have noticed, since no time passes in a test that is over.
func startTest(t *testing.T) (ctx context.Context, end func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	return ctx, func() {
		cancel()
		time.Sleep(time.Minute)
	}
}

// start starts the instances of a region, of which the first ones are readers. They end
// with ctx.
func (d *region) start(ctx context.Context, count, readers int) {
	for range count {
		x := &instance{client: &client{history: d.history}, servers: make(map[string]int64), link: link{perEvent: d.perEvent}}
		x.client.reconnect()
		d.instances = append(d.instances, x)
	}
	for i, x := range d.instances {
		x.relayer = &Relayer{
			Store: &laggingClient{client: x.client, lag: d.lags[i]}, Call: d.call, Times: d.times, Clock: clock.System(), Logger: slog.New(slog.DiscardHandler),
			Readers: func() traffic.Readers {
				found := traffic.Readers{Own: i < readers}
				for n := range readers {
					if other := (i + n) % readers; other != i {
						found.Addresses = append(found.Addresses, fmt.Sprint(other))
					}
				}
				return found
			},
			Relayed: metrics.NewCounter(), Direct: metrics.NewCounter(),
		}
		f := follower.Follower{
			Store: x.relayer, Logger: slog.New(slog.DiscardHandler), Times: d.times, Pause: x.relayer.Pause,
			Handle: func(e traffic.Event) { d.apply(x, e) },
		}
		go f.Run(ctx)
	}
}

func (d *region) call(address string, query traffic.ChangesQuery) (traffic.ChangesReply, error) {
	x := d.instances[address[0]-'0']
	var reply traffic.ChangesReply
	if x.dead.Load() {
		time.Sleep(d.times.RelayWait() + d.times.RelayTimeout())
		return reply, errCut
	}
	started := time.Now()
	if err := x.relayer.Changes(query, &reply); err != nil {
		return reply, err
	}
	return reply, d.transfer(x, len(reply.Events), started)
}

func (d *region) apply(x *instance, e traffic.Event) {
	if server, ok := e.(traffic.UpstreamSeen); ok {
		if server.Upstream.Revision < x.servers[server.Upstream.ID] {
			x.fault = fmt.Sprintf("revision %d of a server after %d", server.Upstream.Revision, x.servers[server.Upstream.ID])
		}
		x.servers[server.Upstream.ID] = server.Upstream.Revision
	}
	seen, ok := e.(traffic.PolicySeen)
	if !ok || seen.Policy.Version == x.applied {
		return
	}
	version := seen.Policy.Version
	if version < x.applied {
		x.fault = fmt.Sprintf("version %d after %d", version, x.applied)
	}
	x.applied = version
	d.history.mutex.Lock()
	defer d.history.mutex.Unlock()
	if made, ok := d.history.madeAt[version]; ok {
		x.slowest = max(x.slowest, time.Since(made))
	}
}

// Most instances of a region must get all changes without calling the store, within the
// bound for changes.
func TestFewInstancesCallTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := startTest(t)
		defer end()
		d := &region{history: newHistory(), times: times()}
		d.start(ctx, 32, 2)
		for range 60 {
			time.Sleep(time.Second)
			d.history.change()
		}
		time.Sleep(3 * time.Second)
		synctest.Wait()
		calls := 0
		for i, x := range d.instances {
			assert.Equal(t, x.applied, d.history.revision, "instance %d", i)
			assert.Equal(t, x.fault, "")
			assert.Assert(t, x.slowest < d.times.Bounds.Apply.Duration, "instance %d took %v", i, x.slowest)
			calls += int(x.client.calls.Load())
		}
		// The two readers follow the store; the others call it at their start.
		bound := 2*int(63*time.Second/d.times.ReaderPause()) + 2*len(d.instances)
		assert.Assert(t, calls < bound, "%d calls", calls)
	})
}

// A reader may be cut off from the store without a sign, die, or do both; one reader or
// both. A change made at any moment afterwards must be in force at all other instances
// within the bound.
func TestLostReaders(t *testing.T) {
	for _, lost := range []struct {
		name      string
		readers   int
		cut, dead []int
	}{
		{"one reader is cut off", 2, []int{0}, nil},
		{"both readers are cut off", 2, []int{0, 1}, nil},
		{"one reader dies", 2, nil, []int{0}},
		{"both readers die", 2, nil, []int{0, 1}},
		{"one is cut off, the other dies", 2, []int{0}, []int{1}},
		{"five of six readers die", 6, nil, []int{0, 1, 2, 3, 4}},
		{"all of six readers die", 6, nil, []int{0, 1, 2, 3, 4, 5}},
	} {
		t.Run(lost.name, func(t *testing.T) {
			for step := range 15 {
				synctest.Test(t, func(t *testing.T) {
					ctx, end := startTest(t)
					defer end()
					d := &region{history: newHistory(), times: times()}
					d.start(ctx, 6+lost.readers, lost.readers)
					time.Sleep(5 * time.Second)
					d.history.change()
					time.Sleep(time.Duration(step) * 100 * time.Millisecond)
					for _, i := range lost.cut {
						d.instances[i].client.disconnect()
					}
					for _, i := range lost.dead {
						d.instances[i].dead.Store(true)
					}
					d.history.change()
					time.Sleep(d.times.Bounds.Apply.Duration)
					synctest.Wait()
					for i, x := range d.instances[lost.readers:] {
						assert.Equal(t, x.applied, d.history.revision, "instance %d, step %d", i+lost.readers, step)
					}
				})
			}
		})
	}
}

// Whatever fails in whatever order, no instance may go back to an older version, and all
// that reach the store must have the newest version at the end.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(100) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			ctx, end := startTest(t)
			defer end()
			withServers := seed%10 == 0
			d := &region{history: newHistory(), times: times(), perEvent: time.Millisecond}
			d.start(ctx, 6, 2)
			for range 200 {
				time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
				x := d.instances[random.IntN(len(d.instances))]
				switch random.IntN(7) {
				case 0:
					x.dead.Store(!x.dead.Load())
				case 1:
					d.history.drop()
				case 2:
					x.client.disconnect()
					time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
					x.client.reconnect()
				case 3:
					if withServers {
						go d.history.changeServers(50*random.IntN(30), 3000)
						continue
					}
					d.history.change()
				default:
					d.history.change()
				}
			}
			time.Sleep(15 * time.Second)
			synctest.Wait()
			for i, x := range d.instances {
				assert.Equal(t, x.fault, "", "seed %d, instance %d", seed, i)
				assert.DeepEqual(t, x.servers, d.history.newestOfServers())
				assert.Equal(t, x.applied, d.history.version(), "seed %d, instance %d", seed, i)
			}
		})
	}
}

// All events must survive the way between two instances.
func TestEventsOverTheNetwork(t *testing.T) {
	sent := []traffic.Event{
		policySeen(7),
		traffic.UpstreamSeen{Upstream: traffic.Upstream{ID: "s1", Slots: 9, Cold: time.Second, Revision: 3}},
		traffic.UpstreamGone{ID: "s2"},
		traffic.EvacuationSeen{Domain: "a1"},
		traffic.EvacuationGone{Domain: "a2"},
		traffic.InstanceSeen{Instance: traffic.Instance{Name: "front-1", PeerAddress: "10.0.0.1:70"}},
		traffic.InstanceGone{Name: "front-2"},
		traffic.LimitSeen{Limit: traffic.ServerLimit{Server: "s1", Started: 7, Limited: true, PerSecond: 2.5}},
		traffic.LimitGone{Server: "s2"},
		traffic.FleetSizeSeen{Instances: 10},
	}
	changes := traffic.Changes{Revision: int64(len(sent)), Events: sent}
	for i := range sent {
		changes.Revisions = append(changes.Revisions, int64(i+1))
	}
	r := &Relayer{Times: times(), Clock: clock.System()}
	r.keep(0, changes, time.Now())
	mux := http.NewServeMux()
	assert.NilError(t, r.Serve(mux))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: mux}
	go server.Serve(listener)
	defer server.Close()
	g := &gossiper.Gossiper{Timeout: time.Second}
	defer g.Close()
	reply, err := g.Changes(listener.Addr().String(), traffic.ChangesQuery{After: 2, Wait: time.Second})
	assert.NilError(t, err)
	assert.Assert(t, reply.Available)
	assert.Equal(t, reply.Revision, changes.Revision)
	// The urgent ones come first.
	slices.SortStableFunc(sent, func(a, b traffic.Event) int {
		return cmp.Compare(boolToInt(!traffic.IsUrgent(a)), boolToInt(!traffic.IsUrgent(b)))
	})
	assert.DeepEqual(t, reply.Events, slices.DeleteFunc(sent, func(e traffic.Event) bool {
		return traffic.Key(e) == "policy" || traffic.Key(e) == "server/s1"
	}))
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
