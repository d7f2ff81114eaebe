package registrar

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// fakeStore keeps one record under one lease.
type fakeStore struct {
	traffic.Store
	mutex   sync.Mutex
	lease   int64
	ended   bool
	away    bool
	record  *traffic.Instance
	renewed int
	// during, if set, is called once while a lease is renewed.
	during func()
}

var errAway = errors.New("away")

func (s *fakeStore) Grant(context.Context, time.Duration) (int64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.away {
		return 0, errAway
	}
	s.lease++
	s.ended = false
	return s.lease, nil
}

func (s *fakeStore) Renew(_ context.Context, lease int64) error {
	s.mutex.Lock()
	during := s.during
	s.during = nil
	s.mutex.Unlock()
	if during != nil {
		during()
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case s.away:
		return errAway
	case s.ended || lease != s.lease:
		return traffic.ErrLeaseEnded
	}
	s.renewed++
	return nil
}

func (s *fakeStore) Announce(_ context.Context, i traffic.Instance, _ int64) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.away {
		return errAway
	}
	s.record = &i
	return nil
}

func (s *fakeStore) Withdraw(context.Context, int64) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.record = nil
	return nil
}

// end ends the lease, as the store does when it was not renewed.
func (s *fakeStore) end() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ended = true
	s.record = nil
}

func (s *fakeStore) there() *traffic.Instance {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.record
}

func TestRecordIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := &fakeStore{}
		r := &Registrar{Store: store, Instance: traffic.Instance{Name: "front-1"}, Logger: slog.New(slog.DiscardHandler)}
		go r.Run(ctx)
		synctest.Wait()
		assert.Equal(t, store.there().Name, "front-1")
		time.Sleep(20 * time.Second)
		synctest.Wait()
		assert.Assert(t, store.renewed >= 9)

		store.end()
		time.Sleep(renewInterval + 2*retryInterval)
		synctest.Wait()
		assert.Assert(t, store.there() != nil, "the record was not written under a new lease")

		store.mutex.Lock()
		store.record = nil
		store.mutex.Unlock()
		r.Reannounce()
		synctest.Wait()
		assert.Assert(t, store.there() != nil, "the record was not written again")

		r.Leave()
		synctest.Wait()
		assert.Assert(t, store.there().Leaving)
		r.Withdraw(ctx)
		assert.Assert(t, store.there() == nil)
		cancel()
		synctest.Wait()
	})
}

func TestStoreAwayAtTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := &fakeStore{away: true}
		r := &Registrar{Store: store, Instance: traffic.Instance{Name: "front-1"}, Logger: slog.New(slog.DiscardHandler)}
		go r.Run(ctx)
		time.Sleep(5 * time.Second)
		store.mutex.Lock()
		store.away = false
		store.mutex.Unlock()
		time.Sleep(2 * retryInterval)
		synctest.Wait()
		assert.Assert(t, store.there() != nil)
		cancel()
		synctest.Wait()
	})
}

// The news that the record is missing may come while the lease is renewed.
func TestReannouncedDuringARenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := &fakeStore{}
		r := &Registrar{Store: store, Instance: traffic.Instance{Name: "front-1"}, Logger: slog.New(slog.DiscardHandler)}
		go r.Run(ctx)
		synctest.Wait()
		store.mutex.Lock()
		store.during = func() {
			store.mutex.Lock()
			store.record = nil
			store.mutex.Unlock()
			r.Reannounce()
		}
		store.mutex.Unlock()
		time.Sleep(3 * renewInterval)
		synctest.Wait()
		assert.Assert(t, store.there() != nil, "the record was not written again")
		cancel()
		synctest.Wait()
	})
}
