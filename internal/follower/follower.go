// Package follower keeps an instance's beliefs in step with the store: it reads
// all records, then waits for changes, and starts over when the store has
// dropped the history in between. One call waits at a time, whatever there is
// to follow, since each call has its price.
//
// Usage:
//
//	f := &follower.Follower{Store: store, Do: carrier.Do, Logger: logger, Wait: wait, Pause: pause}
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
	// callTimeout is how long a full read goes on without progress, followTimeout
	// the same for changes, beyond the time that the store may wait.
	callTimeout   = 1500 * time.Millisecond
	followTimeout = 900 * time.Millisecond
	// retryDelay is the mean pause after a call that failed or found its history
	// dropped.
	retryDelay = 250 * time.Millisecond
	// probeTimeout holds for calls while the store is away: one that hangs must
	// not hide its return.
	probeTimeout = 700 * time.Millisecond
	// probeWait is the shortest wait that a call may ask for.
	probeWait = time.Millisecond
)

// Follower follows the store. Set the fields before Run.
type Follower struct {
	Store traffic.Store
	// Do takes in events.
	Do     func(traffic.Event)
	Logger *slog.Logger
	// Wait is how long one call may wait for changes.
	Wait time.Duration
	// Pause is the time between two calls, in which changes gather; a backlog
	// is read without pauses.
	Pause time.Duration

	revision int64
	known    bool
	lost     bool
	probes   int
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for {
		news, err := f.next(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, traffic.ErrHistoryLost):
			f.Logger.Info("store history dropped", "revision", f.revision)
			f.known = false
			// All instances find it at the same moment.
			sleep(ctx, spread(retryDelay))
		case err != nil:
			f.fail(err)
			sleep(ctx, spread(retryDelay))
		default:
			f.take(news)
			if f.known && !news.More {
				sleep(ctx, f.Pause)
			}
			f.known = true
		}
	}
}

// next reads in full at first and where the history was dropped, else follows.
func (f *Follower) next(ctx context.Context) (traffic.News, error) {
	switch {
	case !f.known && f.lost:
		return f.Store.Read(ctx, f.probe())
	case !f.known:
		return f.Store.Read(ctx, callTimeout)
	case f.lost:
		return f.Store.Follow(ctx, f.revision, probeWait, probeWait+f.probe())
	}
	return f.Store.Follow(ctx, f.revision, f.Wait, f.Wait+followTimeout)
}

// probe alternates between a short timeout and the full one, which a slow store
// may need.
func (f *Follower) probe() time.Duration {
	f.probes++
	if f.probes%2 == 1 {
		return probeTimeout
	}
	return callTimeout
}

func (f *Follower) take(news traffic.News) {
	if f.lost {
		f.lost = false
		f.Do(traffic.StoreRegained{})
	}
	f.revision = news.Revision
	for _, err := range news.Rejected {
		f.Logger.Warn("record rejected", "error", err.Error())
	}
	for _, e := range news.Events {
		f.Do(e)
	}
}

func (f *Follower) fail(err error) {
	if f.lost {
		return
	}
	f.lost = true
	f.Do(traffic.StoreLost{Err: err})
}

// spread returns a random time with a mean.
func spread(mean time.Duration) time.Duration {
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
