// Package follower keeps an instance's beliefs in step with one subject of the
// store: it reads the subject in full, then waits for changes, and starts over
// when the store has dropped the history in between.
//
// Usage:
//
//	f := &follower.Follower{Store: store, Subject: traffic.Upstreams, Do: carrier.Do, Logger: logger}
//	f.Run(ctx)
package follower

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

const (
	// callTimeout is how long a full read goes on without progress, followTimeout
	// the same for changes, beyond the time that the store may wait.
	callTimeout   = 1500 * time.Millisecond
	followTimeout = 900 * time.Millisecond
	// retryDelay is the mean pause after a failed call.
	retryDelay = 250 * time.Millisecond
	// probeTimeout holds for calls while the store is away: one that hangs must
	// not hide its return.
	probeTimeout = 700 * time.Millisecond
	// probeWait is the shortest wait that a call may ask for.
	probeWait = time.Millisecond
)

// Follower follows one subject. Set the fields before Run.
type Follower struct {
	Store   traffic.Store
	Subject traffic.Subject
	// Do takes in events.
	Do     func(traffic.Event)
	Logger *slog.Logger
	// Wait is how long one call may wait for changes.
	Wait time.Duration
	// Pause is the time between two calls, in which changes gather; a backlog
	// is read without pauses.
	Pause time.Duration
	// Suspect, if set, is called when a call has failed or found its history
	// dropped, so that the calls of other followers that wait on the same store
	// are made anew.
	Suspect func()

	revision int64
	lost     bool
	probes   int
	// checks is set while a call finds out whether the store still answers.
	checks bool

	mutex sync.Mutex
	// cancel ends the call that waits for changes.
	cancel context.CancelFunc
	// renewed is set where the next call is to find out whether the store answers.
	renewed bool
}

// Renew ends a call that waits for changes; the next one is made at once.
func (f *Follower) Renew() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.cancel != nil {
		f.renewed = true
		f.cancel()
	}
}

// takeRenewed reports whether Renew was called since the last time.
func (f *Follower) takeRenewed() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	renewed := f.renewed
	f.renewed = false
	return renewed
}

// Run follows the subject until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	known := false
	for ctx.Err() == nil {
		news, err := f.next(ctx, known)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, context.Canceled):
			f.checks = f.takeRenewed()
			continue
		case errors.Is(err, traffic.ErrHistoryLost):
			f.Logger.Info("store history dropped", "subject", string(f.Subject), "revision", f.revision)
			known = false
			f.suspect()
			continue
		case err != nil:
			f.fail(err)
			sleep(ctx, retryDelay/2+rand.N(retryDelay))
			continue
		}
		known = true
		f.take(news)
		if !news.More {
			sleep(ctx, f.Pause)
		}
	}
}

func (f *Follower) next(ctx context.Context, known bool) (traffic.News, error) {
	timeout, wait := callTimeout, f.Wait
	if f.lost {
		timeout, wait = f.probe(), probeWait
	}
	if !known {
		return f.Store.Read(ctx, f.Subject, timeout)
	}
	switch {
	case f.lost:
	case f.checks:
		timeout, wait = probeTimeout, probeWait
	default:
		timeout = followTimeout
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mutex.Lock()
	f.cancel = cancel
	f.mutex.Unlock()
	return f.Store.Follow(ctx, f.Subject, f.revision, wait, wait+timeout)
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
	f.checks = false
	if f.lost {
		f.lost = false
		f.Do(traffic.StoreRegained{Subject: f.Subject})
	}
	f.revision = news.Revision
	for _, err := range news.Rejected {
		f.Logger.Warn("record rejected", "subject", string(f.Subject), "error", err.Error())
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
	f.checks = false
	f.Do(traffic.StoreLost{Subject: f.Subject, Err: err})
	f.suspect()
}

func (f *Follower) suspect() {
	if f.Suspect != nil {
		f.Suspect()
	}
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
