// Package relayer spares the platform's store: in each region a few instances
// follow the store, and the others get its changes from them.
//
// A Relayer stands between a follower and the store. In a reader it passes the calls on
// to the store and keeps the newest changes for the others. In any other instance it
// asks the region's readers, and falls back to the store as soon as none of them
// responds with all changes since the instance's own revision. Who reads follows from
// the records of the instances; nobody is elected. Instances that disagree for a while
// make some more calls to the store, but miss no change.
//
// Usage:
//
//	r := &relayer.Relayer{Store: store, Call: gossiper.Changes, Readers: readers, Times: times}
//	f := &follower.Follower{Store: r, Pause: r.Pause, ...}
//	err := r.Serve(mux)   // for the calls of other instances
package relayer

import (
	"context"
	"encoding/gob"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/yuccathread/yuccathread/internal/clock"
	"github.com/yuccathread/yuccathread/internal/gossiper"
	"github.com/yuccathread/yuccathread/internal/timekeeper"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

const (
	// keptChanges is the number of changes that a reader keeps for the others.
	keptChanges = 4096
	// maxAsked is the number of readers that may be asked in vain before the store. Each
	// of them may take a whole timeout.
	maxAsked = 2
)

// Relayer is a traffic.Store that gets changes from other instances if it can. Set the
// exported fields before the first call.
type Relayer struct {
	traffic.Store
	// Call asks the instance at an address for changes.
	Call func(address string, query traffic.ChangesQuery) (traffic.ChangesReply, error)
	// Readers returns who reads the store.
	Readers func() traffic.Readers
	Times   timekeeper.Timekeeper
	Clock   clock.Clock
	Logger  *slog.Logger
	// Relayed and Direct count the calls of either kind.
	Relayed metrics.Counter
	Direct  metrics.Counter

	mutex sync.Mutex
	// suspectUntil maps the addresses of readers that failed to the time from which they
	// are asked again.
	suspectUntil map[string]time.Time
	// changes are the newest changes, after the revision changesFrom and up to revision.
	changes     []change
	changesFrom int64
	revision    int64
	// available is set while this instance follows the store itself.
	available bool
	// changed is closed when changes are added or this instance stops being available.
	changed chan struct{}
	pause   time.Duration
}

// change is an event with the revision of the store that made it.
type change struct {
	revision int64
	event    traffic.Event
}

// Serve answers the queries of other instances on a mux.
func (r *Relayer) Serve(mux *http.ServeMux) error {
	for _, event := range []traffic.Event{
		traffic.PolicySeen{},
		traffic.UpstreamSeen{},
		traffic.UpstreamGone{},
		traffic.EvacuationSeen{},
		traffic.EvacuationGone{},
		traffic.InstanceSeen{},
		traffic.InstanceGone{},
		traffic.LimitSeen{},
		traffic.LimitGone{},
		traffic.FleetSizeSeen{},
	} {
		gob.Register(event)
	}
	return gossiper.Serve(mux, r)
}

// Pause returns the pause that should follow the last call.
func (r *Relayer) Pause() time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.pause
}

// Read reads all records from the store.
func (r *Relayer) Read(ctx context.Context, stallTimeout time.Duration) (traffic.Changes, error) {
	r.setUnavailable()
	r.Direct.Inc(1)
	changes, err := r.Store.Read(ctx, stallTimeout)
	if err != nil {
		return changes, err
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.changes = nil
	r.changesFrom, r.revision = changes.Revision, changes.Revision
	return changes, nil
}

// Follow waits up to wait for changes after a revision: at a reader if one responds,
// and at the store otherwise.
func (r *Relayer) Follow(ctx context.Context, after int64, wait, stallTimeout time.Duration) (traffic.Changes, error) {
	readers := r.Readers()
	if readers.Own {
		return r.followAsReader(ctx, after, wait, stallTimeout)
	}
	r.setUnavailable()
	if changes, ok := r.askReaders(readers.Addresses, after); ok {
		r.Relayed.Inc(1)
		r.setPause(0)
		return changes, ctx.Err()
	}
	if ctx.Err() != nil {
		return traffic.Changes{}, ctx.Err()
	}
	r.setPause(r.Times.Pause())
	r.Direct.Inc(1)
	return r.Store.Follow(ctx, after, wait, stallTimeout)
}

// askReaders asks readers in turn for the changes after a revision. ok is false if none
// of those asked has them.
func (r *Relayer) askReaders(addresses []string, after int64) (changes traffic.Changes, ok bool) {
	asked := 0
	for _, address := range addresses {
		if asked == maxAsked {
			return traffic.Changes{}, false
		}
		if r.suspected(address) {
			continue
		}
		asked++
		reply, err := r.Call(address, traffic.ChangesQuery{After: after, Wait: r.Times.RelayWait()})
		switch {
		case err != nil:
			// The record of a reader that has ended is gone after the time of a lease.
			r.suspect(address, r.Times.Lease(), err.Error())
		case !reply.Available:
			r.suspect(address, r.Times.RelayWait(), "does not have the changes")
		default:
			return traffic.Changes{Events: reply.Events, Revision: max(after, reply.Revision), Source: address}, true
		}
	}
	return traffic.Changes{}, false
}

// followAsReader follows the store for the others too. Its calls are shorter than those
// of an instance that reads for itself only, since the others notice a failure later.
func (r *Relayer) followAsReader(ctx context.Context, after int64, wait, stallTimeout time.Duration) (traffic.Changes, error) {
	wait = min(wait, r.Times.ReaderWait())
	stallTimeout = min(stallTimeout, wait+r.Times.ReaderTimeout())
	r.setPause(r.Times.ReaderPause())
	r.Direct.Inc(1)
	changes, err := r.Store.Follow(ctx, after, wait, stallTimeout)
	if err != nil {
		r.setUnavailable()
		return changes, err
	}
	r.keep(after, changes)
	return changes, nil
}

// keep keeps the changes after a revision for the others.
func (r *Relayer) keep(after int64, changes traffic.Changes) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if after != r.revision {
		// This instance got the changes up to here from another one.
		r.changes = nil
		r.changesFrom = after
	}
	for i, e := range changes.Events {
		r.changes = append(r.changes, change{revision: changes.Revisions[i], event: e})
	}
	if excess := len(r.changes) - keptChanges; excess > 0 {
		r.changesFrom = r.changes[excess-1].revision
		r.changes = append([]change(nil), r.changes[excess:]...)
	}
	r.revision = changes.Revision
	if !r.available || len(changes.Events) > 0 {
		r.wake()
	}
	r.available = true
}

func (r *Relayer) setUnavailable() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.available {
		r.available = false
		r.wake()
	}
}

// wake ends the waits of Changes. It is called with the mutex held.
func (r *Relayer) wake() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// Changes answers a query of another instance. It has the form of a method of net/rpc.
func (r *Relayer) Changes(query traffic.ChangesQuery, reply *traffic.ChangesReply) error {
	timer := time.NewTimer(min(query.Wait, r.Times.RelayWait()))
	defer timer.Stop()
	for {
		var changed <-chan struct{}
		*reply, changed = r.reply(query.After)
		if !reply.Available || len(reply.Events) > 0 {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil
		}
	}
}

// reply returns the changes after a revision, and a channel that is closed when there
// are more.
func (r *Relayer) reply(after int64) (traffic.ChangesReply, <-chan struct{}) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	reply := traffic.ChangesReply{Available: r.available && after >= r.changesFrom, Revision: r.revision}
	if !reply.Available {
		return reply, r.changed
	}
	for _, c := range r.changes {
		if c.revision > after {
			reply.Events = append(reply.Events, c.event)
		}
	}
	return reply, r.changed
}

func (r *Relayer) suspected(address string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.Clock.Now().Before(r.suspectUntil[address])
}

// suspect leaves out a reader for a while.
func (r *Relayer) suspect(address string, period time.Duration, reason string) {
	r.Logger.Info("reader left out", "address", address, "reason", reason, "period_ms", period.Milliseconds())
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.suspectUntil == nil {
		r.suspectUntil = make(map[string]time.Time)
	}
	r.suspectUntil[address] = r.Clock.Now().Add(period)
}

func (r *Relayer) setPause(pause time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.pause = pause
}
