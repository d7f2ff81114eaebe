package follower

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// restoredStore comes back from a copy at restoredAt: it has a new era and drops its history.
type restoredStore struct {
	fakeStore
	restoredAt time.Time
	readAt     []time.Time
}

func (s *restoredStore) Read(context.Context, time.Duration) (traffic.Changes, error) {
	s.readAt = append(s.readAt, time.Now())
	changes := traffic.Changes{Revision: 5, Era: 1, Events: []traffic.Event{traffic.UpstreamsListed{}}}
	if !time.Now().Before(s.restoredAt) {
		changes.Revision, changes.Era = 1<<44|3, 2
	}
	return changes, nil
}

func (s *restoredStore) Follow(ctx context.Context, after int64, wait, stallTimeout time.Duration) (traffic.Changes, error) {
	if !time.Now().Before(s.restoredAt) && after < 1<<44 {
		return traffic.Changes{}, traffic.ErrHistoryDropped
	}
	return s.fakeStore.Follow(ctx, after, wait, stallTimeout)
}

// Guards against keeping what only the store's former state said: after a restoration all
// records are read at once, with a notice before them, and again when their owners have had
// the time to write them. A start is no restoration.
func TestRestoredStoreIsReadTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := times(1)
		k.Bounds.ReturnWait.Duration = 2 * time.Second
		store := &restoredStore{restoredAt: time.Now().Add(10 * time.Second)}
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		var restored []time.Time
		f := &Follower{Store: store, Logger: slog.New(slog.DiscardHandler), Times: k, Handle: func(e traffic.Event) {
			if e, ok := e.(traffic.StoreRestored); ok {
				assert.Equal(t, e.Revision, int64(1<<44|3))
				restored = append(restored, time.Now())
			}
		}}
		f.Run(ctx)
		assert.Equal(t, len(store.readAt), 3)
		assert.Equal(t, len(restored), 1)
		assert.Equal(t, restored[0], store.readAt[1], "the notice must come with the first read")
		assert.Assert(t, restored[0].Sub(store.restoredAt) < k.Bounds.Reconnect.Duration)
		again := store.readAt[2].Sub(store.readAt[1])
		assert.Assert(t, again > k.RestorationWait() && again < k.RestorationWait()+k.FollowWait()+time.Second, "%v", again)
	})
}
