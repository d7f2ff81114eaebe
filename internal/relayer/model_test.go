package relayer

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/yuccathread/yuccathread/internal/clock"
	"github.com/yuccathread/yuccathread/internal/follower"
	"github.com/yuccathread/yuccathread/internal/model"
	"github.com/yuccathread/yuccathread/internal/timekeeper"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

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
	// seed makes the random delays of instances the same each time; zero leaves them random.
	seed uint64
}

// random returns the source of an instance's random delays.
func (d *region) random(number int) func(time.Duration) time.Duration {
	if d.seed == 0 {
		return nil
	}
	source := rand.New(rand.NewPCG(d.seed, uint64(number)))
	return func(n time.Duration) time.Duration { return time.Duration(source.Int64N(int64(n))) }
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
			Handle: func(e traffic.Event) { d.apply(x, e) }, Random: d.random(i),
		}
		go f.Run(ctx)
	}
}

func (d *region) call(address string, query traffic.ChangesQuery) (traffic.ChangesReply, error) {
	number, err := strconv.Atoi(address)
	if err != nil {
		return traffic.ChangesReply{}, err
	}
	x := d.instances[number]
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

// state returns an instance's version and what is wrong with the order of its changes.
func (d *region) state(x *instance) (applied int64, fault string) {
	d.history.mutex.Lock()
	defer d.history.mutex.Unlock()
	return x.applied, x.fault
}

func (d *region) apply(x *instance, e traffic.Event) {
	d.history.mutex.Lock()
	defer d.history.mutex.Unlock()
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
	if made, ok := d.history.madeAt[version]; ok {
		x.slowest = max(x.slowest, time.Since(made))
	}
}
