package follower

import (
	"context"
	"errors"
	"log/slog"
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
	reads       int
	follows     int
}

func (s *fakeStore) Read(ctx context.Context, _ traffic.Subject) (traffic.News, error) {
	s.reads++
	if err := s.silence(ctx); err != nil {
		return traffic.News{}, err
	}
	return traffic.News{Revision: 1, Events: []traffic.Event{traffic.UpstreamsListed{}}}, nil
}

func (s *fakeStore) Follow(ctx context.Context, _ traffic.Subject, after int64, wait time.Duration) (traffic.News, error) {
	s.follows++
	if err := s.silence(ctx); err != nil {
		return traffic.News{}, err
	}
	if s.dropped {
		s.dropped = false
		return traffic.News{}, traffic.ErrHistoryLost
	}
	time.Sleep(wait)
	return traffic.News{Revision: after}, nil
}

// silence hangs calls that start while the store is silent, for good.
func (s *fakeStore) silence(ctx context.Context) error {
	if now := time.Now(); now.Before(s.silentFrom) || !now.Before(s.silentUntil) {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
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
		assert.Equal(t, store.reads, 2)
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

func (s *refusing) Read(context.Context, traffic.Subject) (traffic.News, error) {
	s.reads++
	return traffic.News{}, errors.New("refused")
}

// Calls are priced, refused ones too.
func TestRefusingStoreIsNotAskedTooOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &refusing{}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		f := Follower{Store: store, Subject: traffic.Operators, Logger: slog.New(slog.DiscardHandler),
			Wait: 3 * time.Second, Do: func(traffic.Event) {}}
		f.Run(ctx)
		assert.Assert(t, store.reads <= 60, "%d reads in 10 s", store.reads)
	})
}
