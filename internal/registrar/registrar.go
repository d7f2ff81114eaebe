// Package registrar keeps an instance's record in the store, under a lease
// that it renews.
//
// Usage:
//
//	r := &registrar.Registrar{Store: store, Instance: self, Logger: logger, Times: times}
//	go r.Run(ctx)
//	r.Leave()           // marks the record as leaving
//	r.Reannounce()      // writes the record again
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

	once   sync.Once
	wake   chan struct{}
	mutex  sync.Mutex
	lease  int64
	failed bool
	// written is set once the record is stored under the current lease.
	written bool
	// rewriteRequests counts the requests to write the record again, so that one
	// made during a call is not lost.
	rewriteRequests int
}

func (r *Registrar) initWake() {
	r.once.Do(func() { r.wake = make(chan struct{}, 1) })
}

// Run keeps the record until ctx ends.
func (r *Registrar) Run(ctx context.Context) {
	r.initWake()
	for ctx.Err() == nil {
		interval := r.Times.RenewInterval()
		if err := r.maintain(ctx); err != nil {
			interval = r.Times.LeaseRetryInterval()
			r.callFailed(err)
		} else {
			r.callSucceeded()
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

// Reannounce causes the record to be written again.
func (r *Registrar) Reannounce() {
	r.initWake()
	r.mutex.Lock()
	r.written = false
	r.rewriteRequests++
	r.mutex.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Leave marks the record as leaving.
func (r *Registrar) Leave() {
	r.mutex.Lock()
	r.Instance.Leaving = true
	r.mutex.Unlock()
	r.Reannounce()
}

// Withdraw ends the lease and so removes the record.
func (r *Registrar) Withdraw(ctx context.Context) {
	r.mutex.Lock()
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
	lease, written, instance, rewriteRequests := r.lease, r.written, r.Instance, r.rewriteRequests
	r.mutex.Unlock()
	var err error
	switch {
	case lease == 0:
		lease, err = r.Store.Grant(ctx, r.Times.Lease())
		written = false
	case written:
		err = r.Store.Renew(ctx, lease)
	}
	if err == nil && !written {
		err = r.Store.Announce(ctx, instance, lease)
		written = err == nil
	}
	if errors.Is(err, traffic.ErrLeaseEnded) {
		lease = 0
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lease = lease
	r.written = written && rewriteRequests == r.rewriteRequests
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
