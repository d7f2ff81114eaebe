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
// A backlog must not delay news that has a bound. A reader passes on what has changed since
// without what was changed again, in small replies, and the urgent changes first. It serves
// only so many others, and nobody if what it knows may be too old. An instance that may be
// behind asks the store in time for the bound.
//
// There is one file for each side: asker.go for an instance that asks, reader.go for one
// that is asked.
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
	"github.com/yuccathread/yuccathread/internal/compactor"
	"github.com/yuccathread/yuccathread/internal/gossiper"
	"github.com/yuccathread/yuccathread/internal/timekeeper"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

const (
	// keptChanges is the number of changes that a reader keeps for the others.
	keptChanges = 4096
	// pageSize is the number of changes in one reply. It is small, so that what a reader
	// sends to all others at once passes its link within the timeout of a call.
	pageSize = 256
	// maxAskers is the number of instances that a reader serves at a time: twice its share,
	// so that half of the readers are enough.
	maxAskers = 32
	// maxHung is the number of readers that may leave a call without a response before the
	// store is called.
	maxHung = 1
	// minWait is the shortest wait of a call to the store.
	minWait = time.Millisecond
)

// Reasons for which a reader has nothing for another instance.
const (
	reasonNoReader = "does not follow the store"
	reasonOld      = "is not up to date"
	reasonHistory  = "does not have the changes"
	reasonBusy     = "serves too many"
	reasonOdd      = "sends what can't be true"
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
	// are asked again, and storeSuspectUntil is the time from which a reader that the store
	// has failed prefers it again.
	suspectUntil      map[string]time.Time
	storeSuspectUntil time.Time
	// storeFailed is set if the last call to the store failed.
	storeFailed bool
	// knownAt is a time up to which this instance knows all changes.
	knownAt time.Time
	// urgent is the revision up to which it knows the urgent ones, and early holds the
	// revisions of those that it has got before others, by their keys.
	urgent int64
	early  map[string]int64

	// kept are the newest changes for the others, up to revision.
	kept     compactor.Compactor[string, traffic.Event]
	revision int64
	// available is set while this instance follows the store itself, and freshAt is a time
	// up to which it then knows all changes.
	available bool
	freshAt   time.Time
	askers    int
	// changed is closed when changes are added or this instance stops being available.
	changed chan struct{}
	pause   time.Duration
}

// Serve answers the queries of other instances on a mux.
func (r *Relayer) Serve(mux *http.ServeMux) error {
	// Short names, since each event carries its own.
	for name, event := range map[string]traffic.Event{
		"policy":          traffic.PolicySeen{},
		"server":          traffic.UpstreamSeen{},
		"server gone":     traffic.UpstreamGone{},
		"evacuation":      traffic.EvacuationSeen{},
		"evacuation gone": traffic.EvacuationGone{},
		"instance":        traffic.InstanceSeen{},
		"instance gone":   traffic.InstanceGone{},
		"limit":           traffic.LimitSeen{},
		"limit gone":      traffic.LimitGone{},
		"fleet":           traffic.FleetSizeSeen{},
	} {
		gob.RegisterName(name, event)
	}
	return gossiper.ServeBounded(mux, r)
}

// Age returns how old what this instance knows of the store may be, or zero before its first
// read. It includes the wait of a call that is in progress, within which nothing may have
// changed.
func (r *Relayer) Age() time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.knownAt.IsZero() {
		return 0
	}
	return r.Clock.Now().Sub(r.knownAt)
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
	started := r.Clock.Now()
	changes, err := r.Store.Read(ctx, stallTimeout)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.storeFailed = err != nil
	if err != nil {
		return changes, err
	}
	r.kept.Reset(changes.Revision)
	r.revision, r.urgent = changes.Revision, changes.Revision
	r.knownAt = started
	clear(r.early)
	return changes, nil
}

// Follow waits up to wait for changes after a revision: at a reader if one responds,
// and at the store otherwise.
func (r *Relayer) Follow(ctx context.Context, after int64, wait, stallTimeout time.Duration) (traffic.Changes, error) {
	readers := r.Readers()
	if readers.Own && !r.storeSuspected() {
		return r.followAsReader(ctx, after, wait, stallTimeout)
	}
	r.setUnavailable()
	if changes, ok := r.askReaders(readers.Addresses, after); ok {
		r.Relayed.Inc(1)
		return changes, ctx.Err()
	}
	if ctx.Err() != nil {
		return traffic.Changes{}, ctx.Err()
	}
	if readers.Own {
		return r.followAsReader(ctx, after, wait, stallTimeout)
	}
	pause := r.Times.Pause()
	if len(readers.Addresses) > 0 {
		pause = r.Times.FallbackPause()
		// If this call gets no response, the readers are asked again before the next one.
		wait = min(wait, r.Times.FallbackWait())
		stallTimeout = min(stallTimeout, wait+r.Times.FallbackTimeout())
	}
	changes, err := r.followStore(ctx, after, wait, stallTimeout, pause)
	return r.withoutEarly(changes), err
}

// followStore waits for changes at the store.
func (r *Relayer) followStore(ctx context.Context, after int64, wait, stallTimeout, pause time.Duration) (traffic.Changes, error) {
	r.Direct.Inc(1)
	started := r.Clock.Now()
	changes, err := r.Store.Follow(ctx, after, wait, stallTimeout)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.storeFailed = err != nil
	if err != nil {
		return changes, err
	}
	r.pause = pause
	if !changes.More {
		// The response is from its arrival less the time of a call.
		r.known(r.Clock.Now().Add(-r.Times.CallTime()))
		r.known(started)
	}
	r.urgent = max(r.urgent, changes.Revision)
	return changes, nil
}

// known records that this instance knows all changes up to a time. It is called with the
// mutex held.
func (r *Relayer) known(at time.Time) {
	if at.After(r.knownAt) {
		r.knownAt = at
	}
}
