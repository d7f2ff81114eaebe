package relayer

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/clock"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

// emptyStore has no changes. It counts the calls.
type emptyStore struct {
	traffic.Store
	calls int
}

func (s *emptyStore) Follow(_ context.Context, after int64, wait, _ time.Duration) (traffic.Changes, error) {
	s.calls++
	time.Sleep(wait)
	return traffic.Changes{Revision: after}, nil
}

// relayerWithReply returns a relayer that has called the store once, and gets a reply from
// its reader from now on.
func relayerWithReply(t *testing.T, store *emptyStore, reply traffic.ChangesReply) *Relayer {
	t.Helper()
	readers := traffic.Readers{}
	r := &Relayer{
		Store: store, Times: times(), Clock: clock.System(), Logger: slog.New(slog.DiscardHandler),
		Call:    func(string, traffic.ChangesQuery) (traffic.ChangesReply, error) { return reply, nil },
		Readers: func() traffic.Readers { return readers },
		Relayed: metrics.NewCounter(), Direct: metrics.NewCounter(),
	}
	_, err := r.Follow(t.Context(), 5, time.Second, 2*time.Second)
	assert.NilError(t, err)
	readers.Addresses = []string{"reader"}
	return r
}

// Guards against instances that end, or believe themselves up to date for ever, by the reply
// of another one, of another build or with a fault: what can't be true is not used, and the
// store is asked.
func TestOddReplies(t *testing.T) {
	events := []traffic.Event{policySeen(7), policySeen(8)}
	for name, reply := range map[string]traffic.ChangesReply{
		"no revisions":        {Available: true, Events: events, Revision: 8},
		"too few revisions":   {Available: true, Events: events, Revisions: []int64{7}, Revision: 8},
		"too many revisions":  {Available: true, Events: events[:1], Revisions: []int64{7, 8}, Revision: 8},
		"an empty event":      {Available: true, Events: []traffic.Event{nil}, Revisions: []int64{7}, Revision: 8},
		"a negative age":      {Available: true, Revision: 8, Age: -time.Hour},
		"a negative wait":     {Available: true, Revision: 8, Waited: -time.Hour},
		"a negative revision": {Available: true, Events: events[:1], Revisions: []int64{-7}, Revision: 8},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &emptyStore{}
				r := relayerWithReply(t, store, reply)
				changes, err := r.Follow(t.Context(), 5, time.Second, 2*time.Second)
				assert.NilError(t, err)
				assert.Equal(t, len(changes.Events), 0)
				assert.Equal(t, changes.Revision, int64(5))
				assert.Equal(t, store.calls, 2, "the store was not asked")
				time.Sleep(time.Second)
				assert.Assert(t, r.Age() >= time.Second, "%v", r.Age())
			})
		})
	}
}

// Guards against an instance that takes itself to be up to date for as long as its machine
// was suspended: its own clock has not counted that time, the reader's has.
func TestReplyAcrossASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := relayerWithReply(t, &emptyStore{}, traffic.ChangesReply{Available: true, Revision: 5, Waited: time.Hour})
		_, err := r.Follow(t.Context(), 5, time.Second, 2*time.Second)
		assert.NilError(t, err)
		time.Sleep(time.Second)
		assert.Assert(t, r.Age() >= time.Second, "%v", r.Age())
	})
}
