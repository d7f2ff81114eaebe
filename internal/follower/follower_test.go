package follower

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/model"
	"github.com/yuccathread/yuccathread/internal/timekeeper"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

// fakeStore can hang calls during a period and drop its history once.
type fakeStore struct {
	traffic.Store
	silentFrom     time.Time
	silentUntil    time.Time
	historyDropped bool
	reads          atomic.Int64
}

func (s *fakeStore) Read(ctx context.Context, stallTimeout time.Duration) (traffic.Changes, error) {
	s.reads.Add(1)
	if err := s.hangIfSilent(ctx, stallTimeout); err != nil {
		return traffic.Changes{}, err
	}
	return traffic.Changes{Revision: 1, Events: []traffic.Event{traffic.UpstreamsListed{}}}, nil
}

func (s *fakeStore) Follow(ctx context.Context, after int64, wait, stallTimeout time.Duration) (traffic.Changes, error) {
	if err := s.hangIfSilent(ctx, stallTimeout); err != nil {
		return traffic.Changes{}, err
	}
	if s.historyDropped {
		s.historyDropped = false
		return traffic.Changes{}, traffic.ErrHistoryDropped
	}
	select {
	case <-time.After(wait):
		return traffic.Changes{Revision: after}, nil
	case <-ctx.Done():
		return traffic.Changes{}, ctx.Err()
	}
}

// hangIfSilent makes a call that starts while the store is silent hang until its
// timeout.
func (s *fakeStore) hangIfSilent(ctx context.Context, timeout time.Duration) error {
	if now := time.Now(); now.Before(s.silentFrom) || !now.Before(s.silentUntil) {
		return nil
	}
	select {
	case <-time.After(timeout):
		return context.DeadlineExceeded
	case <-ctx.Done():
		return ctx.Err()
	}
}

// times returns the times that follow from the bounds of a small site, multiplied by
// a factor.
func times(factor float64) timekeeper.Timekeeper {
	d := func(seconds float64) model.Duration {
		return model.Duration{Duration: time.Duration(seconds * factor * float64(time.Second))}
	}
	return timekeeper.Timekeeper{Bounds: traffic.Bounds{
		Drain: d(2.5), Apply: d(2.5), Evacuation: d(5), Reconnect: d(3), Grace: d(6),
	}}
}

func run(t *testing.T, store *fakeStore, duration time.Duration) (moments map[string]time.Duration, events []traffic.Event) {
	t.Helper()
	moments = make(map[string]time.Duration)
	started := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	f := Follower{
		Store:  store,
		Logger: slog.New(slog.DiscardHandler),
		Times:  times(1),
		Handle: func(e traffic.Event) {
			events = append(events, e)
			switch e := e.(type) {
			case traffic.StoreLost:
				moments["lost"] = time.Since(started)
			case traffic.StoreRegained:
				moments["regained"] = time.Since(started)
				moments["failed call"] = time.Since(started) - e.SinceFailure
			}
		},
	}
	f.Run(ctx)
	return moments, events
}

// A call that hangs must not delay noticing that the store is back: an
// operator's change must be in force 2.5 s after the store has accepted it.
func TestHangingCallDoesNotHideTheStoresReturn(t *testing.T) {
	for _, silent := range []time.Duration{5 * time.Second, 7 * time.Second, 9500 * time.Millisecond, 8 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			from := time.Now().Add(time.Second)
			moments, _ := run(t, &fakeStore{silentFrom: from, silentUntil: from.Add(silent)}, 30*time.Second)
			assert.Assert(t, moments["lost"] > 0)
			delay := moments["regained"] - silent - time.Second
			assert.Assert(t, delay < 2*time.Second, "noticed %v after its return", delay)
			assert.Assert(t, moments["failed call"] <= silent+time.Second, "the outage was still seen after its end")
			assert.Assert(t, moments["failed call"] > silent-time.Second, "the end of the outage is known too vaguely")
		})
	}
}

func TestDroppedHistoryIsReadInFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{historyDropped: true}
		_, events := run(t, store, 10*time.Second)
		assert.Equal(t, store.reads.Load(), int64(2))
		listed := 0
		for _, e := range events {
			if _, ok := e.(traffic.UpstreamsListed); ok {
				listed++
			}
		}
		assert.Equal(t, listed, 2)
	})
}

type refusingStore struct{ fakeStore }

func (s *refusingStore) Read(context.Context, time.Duration) (traffic.Changes, error) {
	s.reads.Add(1)
	return traffic.Changes{}, errors.New("refused")
}

// Every call to the store has a cost, even if it is refused.
func TestRefusingStoreIsNotAskedTooOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &refusingStore{}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		f := Follower{
			Store: store, Logger: slog.New(slog.DiscardHandler),
			Times: times(1), Handle: func(traffic.Event) {},
		}
		f.Run(ctx)
		assert.Assert(t, store.reads.Load() <= 60, "%d reads in 10 s", store.reads.Load())
	})
}

// A store that drops its history may leave a waiting call without a response and
// report the dropped history only to the next call. All records must then be
// read again within the time in which an operator's change must be in force.
func TestDroppedHistoryAfterAHangingCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		from := time.Now().Add(time.Second)
		store := &fakeStore{silentFrom: from, silentUntil: from.Add(time.Second), historyDropped: true}
		readAt := time.Time{}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		f := &Follower{
			Store: store, Logger: slog.New(slog.DiscardHandler), Times: times(1),
			Handle: func(e traffic.Event) {
				if _, ok := e.(traffic.UpstreamsListed); ok {
					readAt = time.Now()
				}
			},
		}
		f.Run(ctx)
		assert.Equal(t, store.reads.Load(), int64(2))
		delay := readAt.Sub(store.silentUntil)
		assert.Assert(t, delay < 2500*time.Millisecond, "read again %v after its return", delay)
	})
}

// Every change must be applied within the pause between two calls, whenever it is
// made.
func TestChangeIsAppliedWithinThePause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &changingStore{started: time.Now(), interval: 700 * time.Millisecond}
		ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
		defer cancel()
		worst := time.Duration(0)
		f := &Follower{
			Store: store, Logger: slog.New(slog.DiscardHandler), Times: times(1),
			Handle: func(e traffic.Event) {
				if seen, ok := e.(traffic.PolicySeen); ok {
					worst = max(worst, time.Since(store.started.Add(time.Duration(seen.Policy.Version)*store.interval)))
				}
			},
		}
		f.Run(ctx)
		assert.Assert(t, worst > 0)
		assert.Assert(t, worst <= f.Times.Pause(), "%v", worst)
		assert.Assert(t, store.calls <= 46, "%d calls in 60 s", store.calls)
	})
}

// changingStore has a change at every multiple of interval.
type changingStore struct {
	fakeStore
	started  time.Time
	interval time.Duration
	calls    int
}

func (s *changingStore) Follow(_ context.Context, after int64, _, _ time.Duration) (traffic.Changes, error) {
	s.calls++
	for time.Since(s.started) < time.Duration(after+1)*s.interval {
		time.Sleep(10 * time.Millisecond)
	}
	changes := traffic.Changes{Revision: int64(time.Since(s.started) / s.interval)}
	for version := after + 1; version <= changes.Revision; version++ {
		changes.Events = append(changes.Events, traffic.PolicySeen{Policy: traffic.Policy{Version: version}})
	}
	return changes, nil
}

// backlogStore has more changes than one response holds; it returns them in a
// number of responses.
type backlogStore struct {
	fakeStore
	answers int
}

func (s *backlogStore) Follow(ctx context.Context, after int64, wait, stallTimeout time.Duration) (traffic.Changes, error) {
	if s.answers == 0 {
		return s.fakeStore.Follow(ctx, after, wait, stallTimeout)
	}
	s.answers--
	gone := traffic.UpstreamGone{ID: "s"}
	return traffic.Changes{Revision: after + 1, Events: []traffic.Event{gone}, More: s.answers > 0}, nil
}

// An outage leaves more changes than one response holds. The last of them must not
// be delayed by a pause after each response, since it may be about a server that
// leaves.
func TestBacklogIsReadWithoutPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		started := time.Now()
		gone, last := 0, time.Duration(0)
		f := Follower{
			Store: &backlogStore{answers: 4}, Logger: slog.New(slog.DiscardHandler),
			Times: times(1),
			Handle: func(e traffic.Event) {
				if _, ok := e.(traffic.UpstreamGone); ok {
					gone++
					last = time.Since(started)
				}
			},
		}
		f.Run(ctx)
		assert.Equal(t, gone, 4)
		assert.Assert(t, last <= f.Times.Pause(), "the last change was applied after %v", last)
	})
}

// droppingStore reports a dropped history whenever changes are requested.
type droppingStore struct{ fakeStore }

func (s *droppingStore) Follow(context.Context, int64, time.Duration, time.Duration) (traffic.Changes, error) {
	return traffic.Changes{}, traffic.ErrHistoryDropped
}

// A store that keeps dropping its history must not be read in full without a
// pause, nor by all instances at the same moment.
func TestRepeatedlyDroppedHistoryIsReadWithPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &droppingStore{}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		f := Follower{Store: store, Logger: slog.New(slog.DiscardHandler), Times: times(1), Handle: func(traffic.Event) {}}
		f.Run(ctx)
		assert.Assert(t, store.reads.Load() <= 60, "%d reads in 10 s", store.reads.Load())
	})
}

// deafStore drops its history at droppedAt, with a change in it. A call that waits
// then hears of nothing; its connection stays open and it ends after its wait plus
// the time of a call, as if nothing had changed. Later calls learn of the drop.
type deafStore struct {
	fakeStore
	droppedAt time.Time
}

func (s *deafStore) Follow(ctx context.Context, after int64, _, stallTimeout time.Duration) (traffic.Changes, error) {
	if !time.Now().Before(s.droppedAt) && s.reads.Load() == 1 {
		return traffic.Changes{}, traffic.ErrHistoryDropped
	}
	return s.fakeStore.Follow(ctx, after, stallTimeout-time.Millisecond, stallTimeout)
}

// After a drop of the history that a waiting call does not hear of, all records must
// be read again within the bound for a reconnect, whatever the bound and whenever in
// a wait the history is dropped.
func TestDeafCallIsNoticedWithinItsBound(t *testing.T) {
	for _, factor := range []float64{0.5, 1, 4.0 / 3, 2, 4} {
		for step := range 12 {
			synctest.Test(t, func(t *testing.T) {
				k := times(factor)
				dropped := k.Bounds.Reconnect.Duration * time.Duration(step) / 10
				store := &deafStore{droppedAt: time.Now().Add(dropped)}
				readAt := time.Time{}
				ctx, cancel := context.WithTimeout(t.Context(), 4*k.Bounds.Reconnect.Duration)
				defer cancel()
				f := &Follower{Store: store, Logger: slog.New(slog.DiscardHandler), Times: k, Handle: func(e traffic.Event) {
					if _, ok := e.(traffic.UpstreamsListed); ok {
						readAt = time.Now()
					}
				}}
				f.Run(ctx)
				assert.Equal(t, store.reads.Load(), int64(2))
				delay := readAt.Sub(store.droppedAt)
				assert.Assert(t, delay < k.Bounds.Reconnect.Duration, "factor %v: read again after %v", factor, delay)
			})
		}
	}
}
