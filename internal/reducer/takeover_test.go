package reducer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
	"github.com/yuccathread/yuccathread/internal/reducer"
)

// takeover is a reducer that takes a server over from a running sibling.
type takeover struct {
	*reducer.Reducer

	t   *testing.T
	now time.Time
	ids int
}

func newTakeover(t *testing.T) *takeover {
	r, now := newReducer(fleetSize{domains: 1, siblings: 2, kinds: 1})
	scenario := &takeover{Reducer: r, t: t, now: now}
	scenario.receiveDigest(1)
	table := model.Table{Revision: 2, Domain: "d0", Assignments: []model.Assignment{{
		Server: model.Server{Name: "s0", Service: "stock", Domain: "d0"}, Owner: r.Self.Name, OwnerIncarnation: "i",
		Revision: 2, Previous: []model.Owner{{Name: "d0-1", Incarnation: "i"}},
	}}}
	r.Reduce(now, message.TableRead{Table: table, StoreRevision: 2, StartedAt: now})
	return scenario
}

// receiveDigest delivers the sibling's digest with the revision of its table
// and its requests still in flight.
func (scenario *takeover) receiveDigest(revision int64, foreign ...model.ServerInFlight) {
	scenario.now = scenario.now.Add(10 * time.Millisecond)
	scenario.Reduce(scenario.now, message.GossipReceived{Gossip: model.Gossip{From: instance(0, 1), Digests: []model.Digest{{
		Instance: instance(0, 1), Sequence: uint64(scenario.now.UnixMilli()), Ready: true, TableRevision: revision, Foreign: foreign,
	}}}})
}

// countDispatches sends requests and returns how many are dispatched to the
// server.
func (scenario *takeover) countDispatches(requests int) int {
	n := 0
	for range requests {
		scenario.ids++
		id := string(rune('a' + scenario.ids))
		for _, e := range scenario.Reduce(scenario.now, message.Arrived{Request: model.Request{ID: id, Kind: "k0", Home: "d0"}}) {
			if _, ok := e.(message.Dispatch); ok {
				n++
			}
		}
	}
	return n
}

func (scenario *takeover) wait(d time.Duration) {
	for end := scenario.now.Add(d); scenario.now.Before(end); {
		scenario.now = scenario.now.Add(100 * time.Millisecond)
		scenario.Reduce(scenario.now, message.Ticked{})
		scenario.Reduce(scenario.now, message.TableRead{Table: scenario.Table(), StoreRevision: 2, StartedAt: scenario.now})
	}
}

func TestNewOwnerWaitsForTheOldOne(t *testing.T) {
	scenario := newTakeover(t)
	assert.Equal(t, scenario.countDispatches(1), 0, "the old owner may still dispatch")
	scenario.wait(4 * time.Second)
	assert.Equal(t, scenario.countDispatches(1), 0, "the old owner's lease may still be valid")
	scenario.wait(time.Second)
	assert.Equal(t, scenario.countDispatches(1), 1)
}

func TestAcknowledgementEndsTheWait(t *testing.T) {
	scenario := newTakeover(t)
	scenario.receiveDigest(2, model.ServerInFlight{Server: "s0", InFlight: 7})
	assert.Equal(t, scenario.countDispatches(5), 2, "the old owner still occupies seven of nine slots")
	scenario.receiveDigest(2)
	scenario.wait(100 * time.Millisecond)
	assert.Assert(t, scenario.countDispatches(9) >= 4, "the old owner's work has ended")
}

func TestReportedWorkCountsAfterATakeover(t *testing.T) {
	scenario := newTakeover(t)
	scenario.wait(5 * time.Second)
	scenario.Reduce(scenario.now, message.LoadReported{Server: "s0", Slots: 9, Busy: 8})
	assert.Equal(t, scenario.countDispatches(5), 1)
}
