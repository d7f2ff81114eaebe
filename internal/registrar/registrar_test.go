package registrar

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/model"
	"github.com/yuccathread/yuccathread/internal/timekeeper"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

// fakeStore keeps one record under one lease.
type fakeStore struct {
	traffic.Store
	mutex       sync.Mutex
	lease       int64
	ended       bool
	unavailable bool
	record      *traffic.Instance
	renewed     int
	revision    int64
	writes      int
	// duringRenewal, if set, is called once while a lease is renewed.
	duringRenewal func()
	// hangs makes renewals wait until their context ends.
	hangs bool
}

var errUnavailable = errors.New("away")

func (s *fakeStore) Grant(context.Context, time.Duration) (int64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.unavailable {
		return 0, errUnavailable
	}
	s.lease++
	s.ended = false
	return s.lease, nil
}

func (s *fakeStore) Renew(ctx context.Context, lease int64) error {
	s.mutex.Lock()
	duringRenewal, hangs := s.duringRenewal, s.hangs
	s.duringRenewal = nil
	s.mutex.Unlock()
	if hangs {
		<-ctx.Done()
		return ctx.Err()
	}
	if duringRenewal != nil {
		duringRenewal()
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case s.unavailable:
		return errUnavailable
	case s.ended || lease != s.lease:
		return traffic.ErrLeaseEnded
	}
	s.renewed++
	return nil
}

func (s *fakeStore) Announce(_ context.Context, i traffic.Instance, _ int64) (int64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.unavailable {
		return 0, errUnavailable
	}
	s.record = &i
	s.revision++
	s.writes++
	return s.revision, nil
}

// removeRecord removes the record and returns the revision of the removal.
func (s *fakeStore) removeRecord() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.record = nil
	s.revision++
	return s.revision
}

func (s *fakeStore) Withdraw(context.Context, int64) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.record = nil
	return nil
}

// endLease ends the lease, as the store does when it is not renewed in time.
func (s *fakeStore) endLease() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ended = true
	s.record = nil
}

func (s *fakeStore) storedRecord() *traffic.Instance {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.record
}

// times are those of a site whose lease is 6 s.
var times = timekeeper.Timekeeper{Bounds: traffic.Bounds{
	Drain: model.Duration{Duration: 2 * time.Second}, Apply: model.Duration{Duration: 2 * time.Second},
	Evacuation: model.Duration{Duration: 2 * time.Second}, Reconnect: model.Duration{Duration: 4500 * time.Millisecond},
	Grace: model.Duration{Duration: 6 * time.Second},
}}

// runRegistrar runs a test beside a registrar, with time of its own.
func runRegistrar(t *testing.T, store *fakeStore, test func(t *testing.T, r *Registrar)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := &Registrar{Store: store, Instance: traffic.Instance{Name: "front-1"}, Logger: slog.New(slog.DiscardHandler), Times: times}
		go r.Run(ctx)
		test(t, r)
		cancel()
		synctest.Wait()
	})
}

func TestRecordIsKept(t *testing.T) {
	store := &fakeStore{}
	runRegistrar(t, store, func(t *testing.T, r *Registrar) {
		synctest.Wait()
		assert.Equal(t, store.storedRecord().Name, "front-1")
		time.Sleep(20 * time.Second)
		synctest.Wait()
		assert.Assert(t, store.renewed >= 9)

		store.endLease()
		time.Sleep(times.RenewInterval() + 2*times.LeaseRetryInterval())
		synctest.Wait()
		assert.Assert(t, store.storedRecord() != nil, "the record was not written under a new lease")

		r.Reannounce(store.removeRecord())
		synctest.Wait()
		assert.Assert(t, store.storedRecord() != nil, "the record was not written again")

		<-r.Leave()
		assert.Assert(t, store.storedRecord().Leaving)
		r.Withdraw(t.Context())
		assert.Assert(t, store.storedRecord() == nil)
	})
}

// Guards against a stop that the others learn of late, since a renewal of the lease hangs
// at that moment.
func TestLeaveDuringAHangingRenewal(t *testing.T) {
	store := &fakeStore{hangs: true}
	runRegistrar(t, store, func(t *testing.T, r *Registrar) {
		time.Sleep(times.RenewInterval() + time.Millisecond)
		synctest.Wait()
		started := time.Now()
		<-r.Leave()
		assert.Equal(t, time.Since(started), time.Duration(0))
		assert.Assert(t, store.storedRecord().Leaving)
	})
}

// Guards against a record that is written again after it was withdrawn.
func TestNothingIsWrittenAfterWithdraw(t *testing.T) {
	store := &fakeStore{}
	runRegistrar(t, store, func(t *testing.T, r *Registrar) {
		synctest.Wait()
		r.Withdraw(t.Context())
		r.Reannounce(store.removeRecord())
		time.Sleep(3 * times.Lease())
		synctest.Wait()
		assert.Assert(t, store.storedRecord() == nil)
	})
}

// Kept says how long the lease lasts at least, and the revision of the newest write.
func TestKeptRecordIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := &fakeStore{}
		var mutex sync.Mutex
		var all []traffic.RecordKept
		kept := func(from int) []traffic.RecordKept {
			mutex.Lock()
			defer mutex.Unlock()
			return slices.Clone(all[from:])
		}
		r := &Registrar{
			Store: store, Instance: traffic.Instance{Name: "front-1"}, Logger: slog.New(slog.DiscardHandler), Times: times,
			Kept: func(e traffic.RecordKept) {
				mutex.Lock()
				defer mutex.Unlock()
				all = append(all, e)
			},
		}
		go r.Run(ctx)
		synctest.Wait()
		assert.DeepEqual(t, kept(0), []traffic.RecordKept{{Revision: 1, Lasts: times.Lease()}})
		time.Sleep(times.RenewInterval())
		synctest.Wait()
		assert.DeepEqual(t, kept(1), []traffic.RecordKept{{Revision: 1, Lasts: times.Lease()}})

		time.Sleep(times.RenewInterval() / 2)
		r.Reannounce(store.removeRecord())
		synctest.Wait()
		// The write does not renew the lease.
		assert.DeepEqual(t, kept(2), []traffic.RecordKept{{Revision: 3, Lasts: times.Lease() - times.RenewInterval()/2}})

		store.endLease()
		time.Sleep(times.Lease())
		synctest.Wait()
		reports := kept(0)
		assert.Equal(t, reports[len(reports)-1].Revision, int64(4))
		cancel()
		synctest.Wait()
	})
}

func TestStoreUnavailableAtTheStart(t *testing.T) {
	store := &fakeStore{unavailable: true}
	runRegistrar(t, store, func(t *testing.T, _ *Registrar) {
		time.Sleep(5 * time.Second)
		store.mutex.Lock()
		store.unavailable = false
		store.mutex.Unlock()
		time.Sleep(2 * times.LeaseRetryInterval())
		synctest.Wait()
		assert.Assert(t, store.storedRecord() != nil)
	})
}

// Reannounce may be called while the lease is being renewed; the record must
// still be written again.
func TestReannounceDuringARenewal(t *testing.T) {
	store := &fakeStore{}
	runRegistrar(t, store, func(t *testing.T, r *Registrar) {
		synctest.Wait()
		store.mutex.Lock()
		store.duringRenewal = func() {
			r.Reannounce(store.removeRecord())
		}
		store.mutex.Unlock()
		time.Sleep(3 * times.RenewInterval())
		synctest.Wait()
		assert.Assert(t, store.storedRecord() != nil, "the record was not written again")
	})
}

// A full read of the store at the start may not contain the record that is being
// written. Such a read is older than the write, so the record must not be written twice.
func TestOlderReadDoesNotRepeatTheWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := &fakeStore{revision: 10}
		r := &Registrar{Store: store, Instance: traffic.Instance{Name: "front-1"}, Logger: slog.New(slog.DiscardHandler), Times: times}
		r.Reannounce(9)
		go r.Run(ctx)
		synctest.Wait()
		r.Reannounce(10)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		assert.Equal(t, store.writes, 1)
		cancel()
		synctest.Wait()
	})
}
