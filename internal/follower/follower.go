// Package follower keeps an instance's view of the store up to date: it reads
// all records, then waits for changes, and reads all records again when the
// store has dropped the history in between. It makes one call at a time for all
// kinds of records, since every call to the store has a cost.
//
// Usage:
//
//	f := &follower.Follower{Store: store, Handle: carrier.Handle, Logger: logger, Times: times}
//	f.Run(ctx)
package follower

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/yuccathread/yuccathread/internal/timekeeper"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

// probeWait is the shortest wait for changes that a call may request.
const probeWait = time.Millisecond

// Follower reads the store and its changes. Set the fields before Run.
type Follower struct {
	Store traffic.Store
	// Handle is called with each event.
	Handle func(traffic.Event)
	Logger *slog.Logger
	// Times gives the waits, pauses and timeouts. There is no pause in a backlog, nor
	// after a wait without changes.
	Times timekeeper.Timekeeper
	// Pause returns the pause after a call that returned changes; if it is nil, Times
	// gives the pause.
	Pause func() time.Duration
	// Random returns a number from 0 up to but not including n, for delays that spread the
	// calls of instances; if it is nil, the numbers differ in each process.
	Random func(n time.Duration) time.Duration

	revision int64
	// era is the store's era as of revision, and rereadAt the time at which all records are
	// read again since the store has come back from a copy.
	era      int64
	rereadAt time.Time
	// synced is set while changes can be followed from revision.
	synced      bool
	unavailable bool
	// failedCallAt is when the last call that failed was started.
	failedCallAt time.Time
	probeCount   int
	// upToDateAt is when the last call that succeeded was started: what has changed since
	// may not be known.
	upToDateAt time.Time
	// source is where the last changes came from.
	source string
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for {
		started := time.Now()
		f.rereadIfDue()
		changes, err := f.next(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, traffic.ErrHistoryDropped):
			f.Logger.Info("store history dropped", "revision", f.revision)
			f.synced = false
			// All instances notice this at the same time; the random delay spreads their reads.
			sleep(ctx, f.jitter(f.Times.RetryDelay()))
		case err != nil:
			f.failedCallAt = started
			f.storeFailed(err)
			sleep(ctx, f.jitter(f.Times.RetryDelay()))
		default:
			f.applyAndReport(changes, started)
			if f.synced && !changes.More && len(changes.Events) > 0 {
				sleep(ctx, f.pause())
			}
			f.synced = true
		}
	}
}

func (f *Follower) pause() time.Duration {
	if f.Pause == nil {
		return f.Times.Pause()
	}
	return f.Pause()
}

// next reads all records at first and after the history was dropped; otherwise
// it waits for changes.
func (f *Follower) next(ctx context.Context) (traffic.Changes, error) {
	switch {
	case !f.synced && f.unavailable:
		return f.Store.Read(ctx, f.nextProbeTimeout())
	case !f.synced:
		return f.Store.Read(ctx, f.Times.ReadTimeout())
	case f.unavailable:
		return f.Store.Follow(ctx, f.revision, probeWait, probeWait+f.nextProbeTimeout())
	}
	return f.Store.Follow(ctx, f.revision, f.Times.FollowWait(), f.Times.FollowWait()+f.Times.FollowTimeout())
}

// nextProbeTimeout alternates between the short timeout and the full one, which a
// slow store may need.
func (f *Follower) nextProbeTimeout() time.Duration {
	f.probeCount++
	if f.probeCount%2 == 1 {
		return f.Times.ProbeTimeout()
	}
	return f.Times.ReadTimeout()
}

func (f *Follower) apply(changes traffic.Changes) {
	if f.unavailable {
		f.unavailable = false
		f.Handle(traffic.StoreRegained{SinceFailure: time.Since(f.failedCallAt)})
	}
	f.noticeRestoration(changes)
	f.revision = changes.Revision
	for _, err := range changes.Rejected {
		f.Logger.Warn("record rejected", "error", err.Error())
	}
	for _, e := range changes.Events {
		f.Handle(e)
	}
}

// noticeRestoration handles a full read of a store that has come back from a copy. All
// records are read once more when their owners have had the time to write them again.
func (f *Follower) noticeRestoration(changes traffic.Changes) {
	if changes.Era <= f.era {
		return
	}
	if f.revision > 0 {
		f.Handle(traffic.StoreRestored{Era: changes.Era, Revision: changes.Revision})
		f.rereadAt = time.Now().Add(f.Times.RestorationWait() + f.Times.CallTime())
	} else {
		f.Handle(traffic.StoreEraSeen{Era: changes.Era})
	}
	f.era = changes.Era
}

func (f *Follower) rereadIfDue() {
	if f.rereadAt.IsZero() || time.Now().Before(f.rereadAt) {
		return
	}
	f.rereadAt = time.Time{}
	f.synced = false
}

func (f *Follower) storeFailed(err error) {
	if f.unavailable {
		return
	}
	f.unavailable = true
	f.Handle(traffic.StoreLost{Err: err})
}

// jitter returns a random duration between 0.5 and 1.5 times the mean.
func (f *Follower) jitter(mean time.Duration) time.Duration {
	if f.Random == nil {
		return mean/2 + rand.N(mean)
	}
	return mean/2 + f.Random(mean)
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
