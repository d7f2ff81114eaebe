// Package registrar keeps an instance's record in the store, under a lease
// that it renews.
//
// Usage:
//
//	r := &registrar.Registrar{Store: store, Instance: self, Logger: logger}
//	go r.Run(ctx)
//	r.Leave(ctx)        // marks the record as leaving
//	r.Reannounce()      // writes the record anew
package registrar

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

const (
	// leaseLength outlasts two lost renewals and the restart of a process.
	leaseLength = 6 * time.Second
	// renewInterval leaves two tries within a lease.
	renewInterval = 2 * time.Second
	// retryInterval is the pause after a failed call.
	retryInterval = 500 * time.Millisecond
	callTimeout   = 1500 * time.Millisecond
)

// Registrar keeps one record. Set the exported fields before Run.
type Registrar struct {
	Store    traffic.Store
	Instance traffic.Instance
	Logger   *slog.Logger

	once   sync.Once
	wake   chan struct{}
	mutex  sync.Mutex
	lease  int64
	failed bool
	// written is set once the record lies in the store under the lease.
	written bool
	// asked counts the requests to write the record anew; one that comes during
	// a call is not lost.
	asked int
}

func (r *Registrar) start() {
	r.once.Do(func() { r.wake = make(chan struct{}, 1) })
}

// Run keeps the record until ctx ends.
func (r *Registrar) Run(ctx context.Context) {
	r.start()
	for ctx.Err() == nil {
		interval := renewInterval
		if err := r.keep(ctx); err != nil {
			interval = retryInterval
			r.fail(err)
		} else {
			r.succeed()
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

// Reannounce has the record written anew.
func (r *Registrar) Reannounce() {
	r.start()
	r.mutex.Lock()
	r.written = false
	r.asked++
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

// Withdraw removes the record.
func (r *Registrar) Withdraw(ctx context.Context) {
	r.mutex.Lock()
	lease := r.lease
	r.mutex.Unlock()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := r.Store.Withdraw(ctx, lease); err != nil {
		r.Logger.Warn("instance record not withdrawn", "error", err.Error())
	}
}

// keep renews the lease, or makes one and writes the record where either is missing.
func (r *Registrar) keep(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r.mutex.Lock()
	lease, written, instance, asked := r.lease, r.written, r.Instance, r.asked
	r.mutex.Unlock()
	var err error
	switch {
	case lease == 0:
		lease, err = r.Store.Grant(ctx, leaseLength)
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
	r.written = written && asked == r.asked
	return err
}

func (r *Registrar) fail(err error) {
	if !r.failed {
		r.Logger.Warn("instance record not kept", "error", err.Error())
	}
	r.failed = true
}

func (r *Registrar) succeed() {
	if r.failed {
		r.Logger.Info("instance record kept again")
	}
	r.failed = false
}
