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

func (s *fakeStore) Read(ctx context.Context, patience time.Duration) (traffic.News, error) {
	s.reads.Add(1)
	if err := s.silence(ctx, patience); err != nil {
		return traffic.News{}, err
	}
	return traffic.News{Revision: 1, Events: []traffic.Event{traffic.UpstreamsListed{}}}, nil
}

func (s *fakeStore) Follow(ctx context.Context, after int64, wait, patience time.Duration) (traffic.News, error) {
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
		Store:  store,
		Logger: slog.New(slog.DiscardHandler),
		Wait:   3 * time.Second,
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

func (s *refusing) Read(context.Context, time.Duration) (traffic.News, error) {
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
			Store: store, Logger: slog.New(slog.DiscardHandler),
			Wait: 3 * time.Second, Do: func(traffic.Event) {},
		}
		f.Run(ctx)
		assert.Assert(t, store.reads.Load() <= 60, "%d reads in 10 s", store.reads.Load())
	})
}

// A store that drops its history may leave a waiting call without an answer
// and drop what is asked for next: the whole of it is read anew within the time
// in which an operator's change must be in force after that.
func TestDroppedHistoryBehindASilentCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		from := time.Now().Add(time.Second)
		store := &fakeStore{silentFrom: from, silentUntil: from.Add(time.Second), dropped: true}
		read := time.Time{}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		f := &Follower{
			Store: store, Logger: slog.New(slog.DiscardHandler), Wait: 3 * time.Second, Pause: 1400 * time.Millisecond,
			Do: func(e traffic.Event) {
				if _, ok := e.(traffic.UpstreamsListed); ok {
					read = time.Now()
				}
			},
		}
		f.Run(ctx)
		assert.Equal(t, store.reads.Load(), int64(2))
		late := read.Sub(store.silentUntil)
		assert.Assert(t, late < 2500*time.Millisecond, "read anew %v after its return", late)
	})
}

// What changes at any moment is taken in within the pause between two calls.
func TestChangeIsSoonTakenIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &changingStore{started: time.Now(), every: 700 * time.Millisecond}
		ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
		defer cancel()
		worst := time.Duration(0)
		f := &Follower{
			Store: store, Logger: slog.New(slog.DiscardHandler), Wait: 3 * time.Second, Pause: 1400 * time.Millisecond,
			Do: func(e traffic.Event) {
				if x, ok := e.(traffic.PolicySeen); ok {
					worst = max(worst, time.Since(store.started.Add(time.Duration(x.Policy.Version)*store.every)))
				}
			},
		}
		f.Run(ctx)
		assert.Assert(t, worst > 0)
		assert.Assert(t, worst <= f.Pause, "%v", worst)
		assert.Assert(t, store.calls <= 46, "%d calls in 60 s", store.calls)
	})
}

// changingStore has a change at each multiple of a time.
type changingStore struct {
	fakeStore
	started time.Time
	every   time.Duration
	calls   int
}

func (s *changingStore) Follow(_ context.Context, after int64, _, _ time.Duration) (traffic.News, error) {
	s.calls++
	for time.Since(s.started) < time.Duration(after+1)*s.every {
		time.Sleep(10 * time.Millisecond)
	}
	news := traffic.News{Revision: int64(time.Since(s.started) / s.every)}
	for version := after + 1; version <= news.Revision; version++ {
		news.Events = append(news.Events, traffic.PolicySeen{Policy: traffic.Policy{Version: version}})
	}
	return news, nil
}

// backlogStore has more changes than one answer holds.
type backlogStore struct {
	fakeStore
	pieces int
}

func (s *backlogStore) Follow(ctx context.Context, after int64, wait, patience time.Duration) (traffic.News, error) {
	if s.pieces == 0 {
		return s.fakeStore.Follow(ctx, after, wait, patience)
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
			Store: &backlogStore{pieces: 4}, Logger: slog.New(slog.DiscardHandler),
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

// forgetfulStore drops its history again and again.
type forgetfulStore struct{ fakeStore }

func (s *forgetfulStore) Follow(context.Context, int64, time.Duration, time.Duration) (traffic.News, error) {
	return traffic.News{}, traffic.ErrHistoryLost
}

// A store that drops its history is not read in full without a pause, and not
// by all instances at the same moment.
func TestForgetfulStoreIsNotReadWithoutEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &forgetfulStore{}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		f := Follower{Store: store, Logger: slog.New(slog.DiscardHandler), Wait: 3 * time.Second, Do: func(traffic.Event) {}}
		f.Run(ctx)
		assert.Assert(t, store.reads.Load() <= 60, "%d reads in 10 s", store.reads.Load())
	})
}
