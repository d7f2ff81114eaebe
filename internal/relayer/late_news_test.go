package relayer

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// servers is the number of servers whose records make a backlog.
const servers = 1350

// link is the link of a reader: its replies leave it one after the other.
type link struct {
	// perEvent is the time that one event takes.
	perEvent time.Duration
	freeAt   time.Time
}

// reserve returns when a reply that is ready now has left the link.
func (l *link) reserve(events int) time.Time {
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(events) * l.perEvent)
	return l.freeAt
}

// transfer lets the time of a reply on a reader's link pass. It fails if the reply has not
// arrived by the end of the call; its bytes take their time all the same.
func (d *region) transfer(x *instance, events int, started time.Time) error {
	d.history.mutex.Lock()
	arrives := x.link.reserve(events)
	d.history.mutex.Unlock()
	if end := started.Add(d.times.RelayWait() + d.times.RelayTimeout()); arrives.After(end) {
		time.Sleep(time.Until(end))
		return errCut
	}
	time.Sleep(time.Until(arrives))
	return nil
}

// changeServers changes the records of servers, at a rate per second.
func (h *history) changeServers(count, perSecond int) {
	const batch = 50
	for n := 0; n < count; n += batch {
		h.mutex.Lock()
		for range batch {
			h.revision++
			h.servers[h.revision] = true
		}
		close(h.changed)
		h.changed = make(chan struct{})
		h.mutex.Unlock()
		time.Sleep(batch * time.Second / time.Duration(perSecond))
	}
}

// serverSeen returns the record of a server that a revision has written. One in seven says
// that its server drains, which is urgent.
func serverSeen(revision int64) traffic.Event {
	return traffic.UpstreamSeen{Upstream: traffic.Upstream{ID: serverID(revision), Draining: revision%7 == 0, Revision: revision}}
}

func serverID(revision int64) string { return fmt.Sprint("s", revision%servers) }

// Guards against CONFIG and DRAIN on a large fleet, the news behind a backlog: thousands of
// records change at once while readers are cut off from the store, and the rest serve the
// whole region over slow links. A new version must be in force in time all the same, at any
// moment of the backlog and after it.
func TestNewsBehindABacklog(t *testing.T) {
	for _, cut := range []int{0, 2, 4} {
		for step := range 8 {
			t.Run(fmt.Sprintf("%d of 6 readers cut, step %d", cut, step), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, end := startTest(t)
					defer end()
					d := &region{history: newHistory(), times: times(), perEvent: 60 * time.Microsecond}
					d.start(ctx, 98, 6)
					time.Sleep(5 * time.Second)
					for i := range cut {
						d.instances[i].client.disconnect()
					}
					time.Sleep(2 * time.Second)
					go d.history.changeServers(3000, 3000)
					time.Sleep(time.Duration(step) * 400 * time.Millisecond)
					d.history.change()
					time.Sleep(d.times.Bounds.Apply.Duration)
					synctest.Wait()
					d.assertInTime(t, d.instances[cut:])
				})
			})
		}
	}
}

// assertInTime asserts that instances have applied every version within the bound.
func (d *region) assertInTime(t *testing.T, instances []*instance) {
	t.Helper()
	late := 0
	for _, x := range instances {
		d.history.mutex.Lock()
		if x.applied != d.history.version() || x.slowest > d.times.Bounds.Apply.Duration {
			late++
		}
		d.history.mutex.Unlock()
	}
	assert.Equal(t, late, 0, "of %d instances are late", len(instances))
}

// Guards against news that is late while readers hang: an instance that has just called
// the store waits for a pause, and must not then lose the rest of the bound at readers.
func TestNewsWhileReadersHang(t *testing.T) {
	for _, readers := range []int{2, 6} {
		for step := range 20 {
			t.Run(fmt.Sprintf("%d readers, step %d", readers, step), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, end := startTest(t)
					defer end()
					d := &region{history: newHistory(), times: times()}
					d.start(ctx, 8+readers, readers)
					time.Sleep(5 * time.Second)
					for _, x := range d.instances[:readers] {
						x.dead.Store(true)
					}
					for range 40 {
						time.Sleep(150*time.Millisecond + time.Duration(step)*50*time.Millisecond)
						d.history.change()
					}
					time.Sleep(d.times.Bounds.Apply.Duration)
					synctest.Wait()
					d.assertInTime(t, d.instances[readers:])
				})
			})
		}
	}
}

// laggingClient is the access to the store of an instance that is so slow that it has each
// response only after a lag; it does not notice.
type laggingClient struct {
	*client
	lag time.Duration
}

func (c *laggingClient) Follow(ctx context.Context, after int64, wait, stallTimeout time.Duration) (traffic.Changes, error) {
	changes, err := c.client.Follow(ctx, after, wait, stallTimeout)
	time.Sleep(c.lag)
	return changes, err
}

// Guards against news that is late behind a reader which lags: it is alive and answers, and
// what it says is old.
func TestNewsBehindALaggingReader(t *testing.T) {
	for _, lag := range []time.Duration{2 * time.Second, 3 * time.Second, 10 * time.Second} {
		t.Run(lag.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, end := startTest(t)
				defer end()
				d := &region{history: newHistory(), times: times(), lags: map[int]time.Duration{0: lag, 1: lag}}
				d.start(ctx, 12, 2)
				for range 20 {
					time.Sleep(1100 * time.Millisecond)
					d.history.change()
				}
				time.Sleep(d.times.Bounds.Apply.Duration)
				synctest.Wait()
				d.assertInTime(t, d.instances[2:])
			})
		})
	}
}

// Guards against a reader that is worse off than the others: one that the store turns away
// must get the news from the other readers, and read again when the store is back.
func TestReaderThatTheStoreTurnsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := startTest(t)
		defer end()
		d := &region{history: newHistory(), times: times()}
		d.start(ctx, 12, 3)
		time.Sleep(5 * time.Second)
		cut := d.instances[0]
		cut.client.disconnect()
		time.Sleep(d.times.Bounds.Reconnect.Duration)
		for range 20 {
			d.history.change()
			time.Sleep(time.Second)
		}
		time.Sleep(d.times.Bounds.Apply.Duration)
		synctest.Wait()
		d.assertInTime(t, d.instances)
		cut.client.reconnect()
		time.Sleep(2 * d.times.Lease())
		d.history.change()
		synctest.Wait()
		assert.Assert(t, cut.relayer.available)
	})
}

// Guards against a region that stays at the state of an era before: after the store has come
// back from a copy, at any moment and twice in a row, whether the new era passes the former
// one's revisions or not, all instances must get the news in time.
func TestNewsAfterARestoration(t *testing.T) {
	for _, passed := range []int{1, 40} {
		for step := range 12 {
			t.Run(fmt.Sprintf("%d changes, step %d", passed, step), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, end := startTest(t)
					defer end()
					d := &region{history: newHistory(), times: times()}
					d.start(ctx, 12, 2)
					for range 20 {
						d.history.change()
						time.Sleep(200 * time.Millisecond)
					}
					time.Sleep(time.Duration(step) * 100 * time.Millisecond)
					for range 2 {
						d.history.restore(10)
						for range passed {
							d.history.change()
						}
						time.Sleep(time.Duration(step) * 200 * time.Millisecond)
					}
					d.history.change()
					time.Sleep(d.times.Bounds.Apply.Duration)
					synctest.Wait()
					d.assertInTime(t, d.instances)
				})
			})
		}
	}
}

// Guards against CONFIG, the news after a silent call: the readers of a region are lost, and
// a call of an instance to the store gets no response, since its path was cut for a moment.
// The store drops its history meanwhile. The instance must follow the store again within the
// bound from the moment at which its path is back.
func TestSilentCallBesideLostReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := startTest(t)
		defer end()
		d := &region{history: newHistory(), times: times(), perEvent: 200 * time.Microsecond}
		d.start(ctx, 8, 2)
		time.Sleep(10 * time.Second)
		for step := range 30 {
			x := d.instances[7]
			x.client.disconnect()
			d.history.change()
			d.history.drop()
			d.history.change()
			time.Sleep(time.Duration(1+step) * 4 * time.Millisecond)
			x.client.reconnect()
			for _, reader := range d.instances[:2] {
				reader.dead.Store(true)
			}
			time.Sleep(d.times.Bounds.Reconnect.Duration)
			synctest.Wait()
			assert.Equal(t, x.applied, d.history.version(), "step %d", step)
			for _, reader := range d.instances[:2] {
				reader.dead.Store(false)
			}
			time.Sleep(20 * time.Second)
		}
	})
}
