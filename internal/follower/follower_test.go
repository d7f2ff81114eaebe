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

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// fakeStore answers Follow by a script; unset calls wait for ctx.
type fakeStore struct {
	traffic.Store
	silentFrom  time.Time
	silentUntil time.Time
	dropped     bool
	reads       atomic.Int64
}

func (s *fakeStore) Read(ctx context.Context, _ traffic.Subject, patience time.Duration) (traffic.News, error) {
	s.reads.Add(1)
	if err := s.silence(ctx, patience); err != nil {
		return traffic.News{}, err
	}
	return traffic.News{Revision: 1, Events: []traffic.Event{traffic.UpstreamsListed{}}}, nil
}

func (s *fakeStore) Follow(ctx context.Context, _ traffic.Subject, after int64, wait, patience time.Duration) (traffic.News, error) {
	if err := s.silence(ctx, patience); err != nil {
		return traffic.News{}, err
	}
	if s.dropped {
		s.dropped = false
		return traffic.News{}, traffic.ErrHistoryLost
	}
	select {
	case <-time.After(wait):
		return traffic.News{Revision: after}, nil
	case <-ctx.Done():
		return traffic.News{}, ctx.Err()
	}
}

// silence hangs calls that start while the store is silent, for good.
func (s *fakeStore) silence(ctx context.Context, patience time.Duration) error {
	if now := time.Now(); now.Before(s.silentFrom) || !now.Before(s.silentUntil) {
		return nil
	}
	select {
	case <-time.After(patience):
		return context.DeadlineExceeded
	case <-ctx.Done():
		return ctx.Err()
	}
}

func run(t *testing.T, store *fakeStore, length time.Duration) (at map[string]time.Duration, events []traffic.Event) {
	t.Helper()
	at = make(map[string]time.Duration)
	started := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	f := Follower{
		Store:   store,
		Subject: traffic.Operators,
		Logger:  slog.New(slog.DiscardHandler),
		Wait:    3 * time.Second,
		Do: func(e traffic.Event) {
			events = append(events, e)
			switch e.(type) {
			case traffic.StoreLost:
				at["lost"] = time.Since(started)
			case traffic.StoreRegained:
				at["regained"] = time.Since(started)
			}
		},
	}
	f.Run(ctx)
	return at, events
}

// A call that hangs must not hide that the store is back: an operator's change
// is to be in force 2.5 s after the store has taken it.
func TestSilentStoreIsSoonFoundAgain(t *testing.T) {
	for _, silent := range []time.Duration{5 * time.Second, 7 * time.Second, 9500 * time.Millisecond, 8 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			from := time.Now().Add(time.Second)
			at, _ := run(t, &fakeStore{silentFrom: from, silentUntil: from.Add(silent)}, 30*time.Second)
			assert.Assert(t, at["lost"] > 0)
			late := at["regained"] - silent - time.Second
			assert.Assert(t, late < 2*time.Second, "found %v after its return", late)
		})
	}
}

func TestDroppedHistoryIsReadInFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{dropped: true}
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

type refusing struct{ fakeStore }

func (s *refusing) Read(context.Context, traffic.Subject, time.Duration) (traffic.News, error) {
	s.reads.Add(1)
	return traffic.News{}, errors.New("refused")
}

// Calls are priced, refused ones too.
func TestRefusingStoreIsNotAskedTooOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &refusing{}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		f := Follower{
			Store: store, Subject: traffic.Operators, Logger: slog.New(slog.DiscardHandler),
			Wait: 3 * time.Second, Do: func(traffic.Event) {},
		}
		f.Run(ctx)
		assert.Assert(t, store.reads.Load() <= 60, "%d reads in 10 s", store.reads.Load())
	})
}

// One follower's trouble makes the others ask at once, so that their calls may
// wait for long.
func TestTroubleIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		from := time.Now().Add(time.Second)
		store := &fakeStore{silentFrom: from, silentUntil: from.Add(7 * time.Second)}
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		var regained time.Time
		slow := &Follower{
			Store: store, Subject: traffic.Operators, Logger: slog.New(slog.DiscardHandler), Wait: 25 * time.Second,
			Do: func(e traffic.Event) {
				if _, ok := e.(traffic.StoreRegained); ok {
					regained = time.Now()
				}
			},
		}
		quick := &Follower{
			Store: store, Subject: traffic.Upstreams, Logger: slog.New(slog.DiscardHandler), Wait: time.Second,
			Do: func(traffic.Event) {}, Suspect: slow.Renew,
		}
		go slow.Run(ctx)
		quick.Run(ctx)
		synctest.Wait()
		assert.Assert(t, !regained.IsZero(), "the waiting call was not made anew")
		late := regained.Sub(store.silentUntil)
		assert.Assert(t, late < 2*time.Second, "found %v after its return", late)
	})
}

// A store that drops its history may leave a waiting call without an answer:
// what one follower finds, the others look for at once.
func TestDroppedHistoryIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		renewed := 0
		f := &Follower{
			Store: &fakeStore{dropped: true}, Subject: traffic.Upstreams, Logger: slog.New(slog.DiscardHandler),
			Wait: time.Second, Do: func(traffic.Event) {}, Suspect: func() { renewed++ },
		}
		f.Run(ctx)
		assert.Equal(t, renewed, 1)
	})
}

// backlogStore has more changes than one answer holds.
type backlogStore struct {
	fakeStore
	pieces int
}

func (s *backlogStore) Follow(ctx context.Context, subject traffic.Subject, after int64, wait, patience time.Duration) (traffic.News, error) {
	if s.pieces == 0 {
		return s.fakeStore.Follow(ctx, subject, after, wait, patience)
	}
	s.pieces--
	gone := traffic.UpstreamGone{ID: "s"}
	return traffic.News{Revision: after + 1, Events: []traffic.Event{gone}, More: s.pieces > 0}, nil
}

// An outage leaves more changes than one answer holds: the last of them must
// not wait for a pause after each piece, since a server among them may leave.
func TestBacklogIsReadWithoutPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		started := time.Now()
		gone, last := 0, time.Duration(0)
		f := Follower{
			Store: &backlogStore{pieces: 4}, Subject: traffic.Upstreams, Logger: slog.New(slog.DiscardHandler),
			Wait: 3 * time.Second, Pause: 2 * time.Second,
			Do: func(e traffic.Event) {
				if _, ok := e.(traffic.UpstreamGone); ok {
					gone++
					last = time.Since(started)
				}
			},
		}
		f.Run(ctx)
		assert.Equal(t, gone, 4)
		assert.Assert(t, last <= f.Pause, "the last change was taken in after %v", last)
	})
}
