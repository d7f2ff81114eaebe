package reducer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
	"github.com/yuccathread/yuccathread/internal/reducer"
)

// taker is a reducer that takes a server over from a sibling that runs.
type taker struct {
	*reducer.Reducer

	t   *testing.T
	now time.Time
	ids int
}

func newTaker(t *testing.T) *taker {
	r, now := newReducer(fleetSize{domains: 1, siblings: 2, kinds: 1})
	x := &taker{Reducer: r, t: t, now: now}
	x.hear(1)
	table := model.Table{Revision: 2, Domain: "d0", Assignments: []model.Assignment{{
		Server: model.Server{Name: "s0", Service: "stock", Domain: "d0"}, Owner: r.Self.Name, OwnerIncarnation: "i",
		Revision: 2, Previous: []model.Owner{{Name: "d0-1", Incarnation: "i"}},
	}}}
	r.Reduce(now, message.TableRead{Table: table, StoreRevision: 2, Started: now})
	return x
}

// hear gives the reducer the sibling's digest with the table that it has applied.
func (x *taker) hear(revision int64, foreign ...model.Occupied) {
	x.now = x.now.Add(10 * time.Millisecond)
	x.Reduce(x.now, message.Gossiped{Gossip: model.Gossip{From: instance(0, 1), Digests: []model.Digest{{
		Instance: instance(0, 1), Sequence: uint64(x.now.UnixMilli()), Ready: true, TableRevision: revision, Foreign: foreign,
	}}}})
}

// dispatches sends requests and counts those that go to the server.
func (x *taker) dispatches(requests int) int {
	n := 0
	for range requests {
		x.ids++
		id := string(rune('a' + x.ids))
		for _, e := range x.Reduce(x.now, message.Arrived{Request: model.Request{ID: id, Kind: "k0", Home: "d0"}}) {
			if _, ok := e.(message.Dispatch); ok {
				n++
			}
		}
	}
	return n
}

func (x *taker) wait(d time.Duration) {
	for end := x.now.Add(d); x.now.Before(end); {
		x.now = x.now.Add(100 * time.Millisecond)
		x.Reduce(x.now, message.Ticked{})
		x.Reduce(x.now, message.TableRead{Table: x.Table(), StoreRevision: 2, Started: x.now})
	}
}

func TestNewOwnerWaitsForTheOldOne(t *testing.T) {
	x := newTaker(t)
	assert.Equal(t, x.dispatches(1), 0, "the old owner may still dispatch")
	x.wait(4 * time.Second)
	assert.Equal(t, x.dispatches(1), 0, "its lease may still be good")
	x.wait(time.Second)
	assert.Equal(t, x.dispatches(1), 1)
}

func TestAcknowledgementEndsTheWait(t *testing.T) {
	x := newTaker(t)
	x.hear(2, model.Occupied{Server: "s0", InFlight: 7})
	assert.Equal(t, x.dispatches(5), 2, "seven of nine slots hold the old owner's work")
	x.hear(2)
	x.wait(100 * time.Millisecond)
	assert.Assert(t, x.dispatches(9) >= 4, "the old owner's work has ended")
}

func TestReportedWorkCountsAfterATakeover(t *testing.T) {
	x := newTaker(t)
	x.wait(5 * time.Second)
	x.Reduce(x.now, message.LoadReported{Server: "s0", Slots: 9, Busy: 8})
	assert.Equal(t, x.dispatches(5), 1)
}
