// Package follower keeps an instance's view of the store up to date: it reads
// all records, then waits for changes, and reads all records again when the
// store has dropped the history in between. It makes one call at a time for all
// kinds of records, since every call to the store has a cost.
//
// Usage:
//
//	f := &follower.Follower{Store: store, Handle: carrier.Handle, Logger: logger, Wait: wait, Pause: pause}
//	f.Run(ctx)
package follower

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

const (
	// readTimeout is how long a full read may go without receiving data. A call that
	// waits for changes may go without data for its wait plus followTimeout.
	readTimeout   = 1500 * time.Millisecond
	followTimeout = 900 * time.Millisecond
	// retryDelay is the mean pause after a call that failed or found that the
	// history was dropped.
	retryDelay = 250 * time.Millisecond
	// probeTimeout is the shorter timeout of calls while the store is unavailable:
	// a call that hangs must not delay noticing that the store is back.
	probeTimeout = 700 * time.Millisecond
	// probeWait is the shortest wait for changes that a call may request.
	probeWait = time.Millisecond
)

// Follower reads the store and its changes. Set the fields before Run.
type Follower struct {
	Store traffic.Store
	// Handle is called with each event.
	Handle func(traffic.Event)
	Logger *slog.Logger
	// Wait is how long one call may wait for changes.
	Wait time.Duration
	// Pause is the time between two calls, so that one call returns several
	// changes; a backlog is read without pauses.
	Pause time.Duration

	revision int64
	// synced is set while changes can be followed from revision.
	synced      bool
	unavailable bool
	probeCount  int
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for {
		changes, err := f.next(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, traffic.ErrHistoryDropped):
			f.Logger.Info("store history dropped", "revision", f.revision)
			f.synced = false
			// All instances notice this at the same time; the random delay spreads their reads.
			sleep(ctx, jitter(retryDelay))
		case err != nil:
			f.storeFailed(err)
			sleep(ctx, jitter(retryDelay))
		default:
			f.apply(changes)
			if f.synced && !changes.More {
				sleep(ctx, f.Pause)
			}
			f.synced = true
		}
	}
}

// next reads all records at first and after the history was dropped; otherwise
// it waits for changes.
func (f *Follower) next(ctx context.Context) (traffic.Changes, error) {
	switch {
	case !f.synced && f.unavailable:
		return f.Store.Read(ctx, f.nextProbeTimeout())
	case !f.synced:
		return f.Store.Read(ctx, readTimeout)
	case f.unavailable:
		return f.Store.Follow(ctx, f.revision, probeWait, probeWait+f.nextProbeTimeout())
	}
	return f.Store.Follow(ctx, f.revision, f.Wait, f.Wait+followTimeout)
}

// nextProbeTimeout alternates between the short timeout and the full one, which a
// slow store may need.
func (f *Follower) nextProbeTimeout() time.Duration {
	f.probeCount++
	if f.probeCount%2 == 1 {
		return probeTimeout
	}
	return readTimeout
}

func (f *Follower) apply(changes traffic.Changes) {
	if f.unavailable {
		f.unavailable = false
		f.Handle(traffic.StoreRegained{})
	}
	f.revision = changes.Revision
	for _, err := range changes.Rejected {
		f.Logger.Warn("record rejected", "error", err.Error())
	}
	for _, e := range changes.Events {
		f.Handle(e)
	}
}

func (f *Follower) storeFailed(err error) {
	if f.unavailable {
		return
	}
	f.unavailable = true
	f.Handle(traffic.StoreLost{Err: err})
}

// jitter returns a random duration between 0.5 and 1.5 times the mean.
func jitter(mean time.Duration) time.Duration {
	return mean/2 + rand.N(mean)
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
