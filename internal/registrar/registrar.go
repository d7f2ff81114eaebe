// Package registrar keeps an instance's record in the store, under a lease
// that it renews.
//
// Usage:
//
//	r := &registrar.Registrar{Store: store, Instance: self, Logger: logger, Times: times}
//	go r.Run(ctx)
//	<-r.Leave()         // marks the record as leaving
//	r.Reannounce(revision)   // writes the record again
package registrar

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/yuccathread/yuccathread/internal/timekeeper"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

// Registrar keeps one instance record in the store. Set the exported fields before Run.
type Registrar struct {
	Store    traffic.Store
	Instance traffic.Instance
	Logger   *slog.Logger
	// Times gives the lease and the intervals and timeouts of the calls about it.
	Times timekeeper.Timekeeper
	// Kept is called after each write of the record and each renewal of its lease; it may
	// be nil.
	Kept func(traffic.RecordKept)

	once  sync.Once
	wake  chan struct{}
	mutex sync.Mutex
	// cancelCall ends the calls in progress.
	cancelCall context.CancelFunc
	// left is closed once the store holds the record as leaving.
	left chan struct{}
	// withdrawn is set once nothing may be written any more.
	withdrawn bool
	hasLeft   bool
	lease     int64
	// leaseUntil is how long the lease lasts at least.
	leaseUntil time.Time
	failed     bool
	// version counts the changes of Instance.
	version int
	// writtenAt is the revision of the newest write of the record under the current
	// lease, and writtenVersion the version that it wrote.
	writtenAt      int64
	writtenVersion int
	// missingAsOf is the newest revision as of which the record was missing.
	missingAsOf int64
}

func (r *Registrar) initWake() {
	r.once.Do(func() {
		r.wake = make(chan struct{}, 1)
		r.left = make(chan struct{})
	})
}

// Run keeps the record until ctx ends.
func (r *Registrar) Run(ctx context.Context) {
	r.initWake()
	for ctx.Err() == nil {
		interval := r.Times.RenewInterval()
		err := r.maintain(ctx)
		switch {
		case err == nil:
			r.callSucceeded()
		case errors.Is(err, context.Canceled):
			// Leave has ended the call and woken this loop.
		default:
			interval = r.Times.LeaseRetryInterval()
			r.callFailed(err)
		}
		timer := time.NewTimer(interval)
		select {
		case <-timer.C:
		case <-r.wake:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// Reannounce causes the record to be written again, since it was missing as of a
// revision of the store. It does nothing if the newest write of the record is later.
func (r *Registrar) Reannounce(revision int64) {
	r.mutex.Lock()
	r.missingAsOf = max(r.missingAsOf, revision)
	written := r.written()
	r.mutex.Unlock()
	if !written {
		r.wakeUp()
	}
}

// Leave marks the record as leaving. The returned channel is closed once the store holds
// it so.
func (r *Registrar) Leave() <-chan struct{} {
	r.initWake()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.Instance.Leaving = true
	r.version++
	// A renewal that hangs must not delay the news.
	if r.cancelCall != nil {
		r.cancelCall()
	}
	r.wakeUp()
	return r.left
}

// SetBusy writes in the record whether the instance is busy.
func (r *Registrar) SetBusy(busy bool) {
	r.mutex.Lock()
	changed := r.Instance.Busy != busy
	if changed {
		r.Instance.Busy = busy
		r.version++
	}
	r.mutex.Unlock()
	if changed {
		r.wakeUp()
	}
}

func (r *Registrar) wakeUp() {
	r.initWake()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// written reports whether the store holds the record in its current version. It is
// called with the mutex held.
func (r *Registrar) written() bool {
	return r.writtenAt > r.missingAsOf && r.writtenVersion == r.version
}

// Withdraw ends the lease and so removes the record.
func (r *Registrar) Withdraw(ctx context.Context) {
	r.mutex.Lock()
	r.withdrawn = true
	lease := r.lease
	r.mutex.Unlock()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.Times.LeaseCallTimeout())
	defer cancel()
	if err := r.Store.Withdraw(ctx, lease); err != nil {
		r.Logger.Warn("instance record not withdrawn", "error", err.Error())
	}
}

// maintain renews the lease; if the lease or the record is missing, it requests a
// lease and writes the record.
func (r *Registrar) maintain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.Times.LeaseCallTimeout())
	defer cancel()
	r.mutex.Lock()
	r.cancelCall = cancel
	lease, written, instance, version := r.lease, r.written(), r.Instance, r.version
	withdrawn := r.withdrawn
	r.mutex.Unlock()
	if withdrawn {
		return nil
	}
	// The store counts the time of a lease from the arrival of the call.
	until := time.Now().Add(r.Times.Lease())
	if lease != 0 && written {
		err := r.Store.Renew(ctx, lease)
		if err == nil {
			r.kept(until)
		}
		return r.endIfGone(err)
	}
	if lease == 0 {
		granted, err := r.Store.Grant(ctx, r.Times.Lease())
		if err != nil {
			return err
		}
		lease = granted
		r.leaseUntil = until
		r.mutex.Lock()
		r.lease = lease
		r.mutex.Unlock()
	}
	revision, err := r.Store.Announce(ctx, instance, lease)
	if err == nil {
		r.recordWritten(instance, revision, version)
	}
	return r.endIfGone(err)
}

// recordWritten handles a write of the record in a version.
func (r *Registrar) recordWritten(instance traffic.Instance, revision int64, version int) {
	r.mutex.Lock()
	r.writtenAt, r.writtenVersion = revision, version
	r.mutex.Unlock()
	r.kept(r.leaseUntil)
	if instance.Leaving && !r.hasLeft {
		r.hasLeft = true
		close(r.left)
	}
}

// kept reports that the store holds the record under a lease that lasts until a time.
func (r *Registrar) kept(until time.Time) {
	r.leaseUntil = until
	if r.Kept != nil {
		r.Kept(traffic.RecordKept{Revision: r.writtenAt, Lasts: time.Until(until)})
	}
}

// endIfGone forgets the lease if an error says that it has ended.
func (r *Registrar) endIfGone(err error) error {
	if errors.Is(err, traffic.ErrLeaseEnded) {
		r.mutex.Lock()
		r.lease, r.writtenAt = 0, 0
		r.mutex.Unlock()
	}
	return err
}

func (r *Registrar) callFailed(err error) {
	if !r.failed {
		r.Logger.Warn("instance record not kept", "error", err.Error())
	}
	r.failed = true
}

func (r *Registrar) callSucceeded() {
	if r.failed {
		r.Logger.Info("instance record kept again")
	}
	r.failed = false
}
