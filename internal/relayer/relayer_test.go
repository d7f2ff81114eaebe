package relayer

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/clock"
	"github.com/yuccathread/yuccathread/internal/gossiper"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

var errCut = errors.New("no response")

// Most instances of a region must get all changes without calling the store, within the
// bound for changes.
func TestFewInstancesCallTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := startTest(t)
		defer end()
		d := &region{history: newHistory(), times: times()}
		d.start(ctx, 32, 2)
		for range 60 {
			time.Sleep(time.Second)
			d.history.change()
		}
		time.Sleep(3 * time.Second)
		synctest.Wait()
		calls := 0
		for i, x := range d.instances {
			assert.Equal(t, x.applied, d.history.revision, "instance %d", i)
			assert.Equal(t, x.fault, "")
			assert.Assert(t, x.slowest < d.times.Bounds.Apply.Duration, "instance %d took %v", i, x.slowest)
			calls += int(x.client.calls.Load())
		}
		// The two readers follow the store; the others call it at their start.
		bound := 2*int(63*time.Second/d.times.ReaderPause()) + 2*len(d.instances)
		assert.Assert(t, calls < bound, "%d calls", calls)
	})
}

// A reader may be cut off from the store without a sign, die, or do both; one reader or
// both. A change made at any moment afterwards must be in force at all other instances
// within the bound.
func TestLostReaders(t *testing.T) {
	for _, lost := range []struct {
		name      string
		readers   int
		cut, dead []int
	}{
		{"one reader is cut off", 2, []int{0}, nil},
		{"both readers are cut off", 2, []int{0, 1}, nil},
		{"one reader dies", 2, nil, []int{0}},
		{"both readers die", 2, nil, []int{0, 1}},
		{"one is cut off, the other dies", 2, []int{0}, []int{1}},
		{"five of six readers die", 6, nil, []int{0, 1, 2, 3, 4}},
		{"all of six readers die", 6, nil, []int{0, 1, 2, 3, 4, 5}},
	} {
		t.Run(lost.name, func(t *testing.T) {
			for step := range 15 {
				synctest.Test(t, func(t *testing.T) {
					ctx, end := startTest(t)
					defer end()
					d := &region{history: newHistory(), times: times()}
					d.start(ctx, 6+lost.readers, lost.readers)
					time.Sleep(5 * time.Second)
					d.history.change()
					time.Sleep(time.Duration(step) * 100 * time.Millisecond)
					for _, i := range lost.cut {
						d.instances[i].client.disconnect()
					}
					for _, i := range lost.dead {
						d.instances[i].dead.Store(true)
					}
					d.history.change()
					time.Sleep(d.times.Bounds.Apply.Duration)
					synctest.Wait()
					for i, x := range d.instances[lost.readers:] {
						assert.Equal(t, x.applied, d.history.revision, "instance %d, step %d", i+lost.readers, step)
					}
				})
			}
		})
	}
}

// Whatever fails in whatever order, no instance may go back to an older version, and all
// that reach the store must have the newest version at the end.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(100) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			ctx, end := startTest(t)
			defer end()
			withServers := seed%10 == 0
			d := &region{history: newHistory(), times: times(), perEvent: time.Millisecond}
			d.start(ctx, 6, 2)
			for range 200 {
				time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
				x := d.instances[random.IntN(len(d.instances))]
				switch random.IntN(7) {
				case 0:
					x.dead.Store(!x.dead.Load())
				case 1:
					d.history.drop()
				case 2:
					x.client.disconnect()
					time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
					x.client.reconnect()
				case 3:
					if withServers {
						go d.history.changeServers(50*random.IntN(30), 3000)
						continue
					}
					d.history.change()
				default:
					d.history.change()
				}
			}
			time.Sleep(15 * time.Second)
			synctest.Wait()
			for i, x := range d.instances {
				assert.Equal(t, x.fault, "", "seed %d, instance %d", seed, i)
				assert.DeepEqual(t, x.servers, d.history.newestOfServers())
				assert.Equal(t, x.applied, d.history.version(), "seed %d, instance %d", seed, i)
			}
		})
	}
}

// All events must survive the way between two instances.
func TestEventsOverTheNetwork(t *testing.T) {
	sent := []traffic.Event{
		policySeen(7),
		traffic.UpstreamSeen{Upstream: traffic.Upstream{ID: "s1", Slots: 9, Cold: time.Second, Revision: 3}},
		traffic.UpstreamGone{ID: "s2"},
		traffic.EvacuationSeen{Domain: "a1"},
		traffic.EvacuationGone{Domain: "a2"},
		traffic.InstanceSeen{Instance: traffic.Instance{Name: "front-1", PeerAddress: "10.0.0.1:70"}},
		traffic.InstanceGone{Name: "front-2"},
		traffic.LimitSeen{Limit: traffic.ServerLimit{Server: "s1", Started: 7, Limited: true, PerSecond: 2.5}},
		traffic.LimitGone{Server: "s2"},
		traffic.FleetSizeSeen{Instances: 10},
	}
	changes := traffic.Changes{Revision: int64(len(sent)), Events: sent}
	for i := range sent {
		changes.Revisions = append(changes.Revisions, int64(i+1))
	}
	r := &Relayer{Times: times(), Clock: clock.System()}
	r.keep(0, changes, time.Now())
	mux := http.NewServeMux()
	assert.NilError(t, r.Serve(mux))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: mux}
	go server.Serve(listener)
	defer server.Close()
	g := &gossiper.Gossiper{Timeout: time.Second}
	defer g.Close()
	reply, err := g.Changes(listener.Addr().String(), traffic.ChangesQuery{After: 2, Wait: time.Second})
	assert.NilError(t, err)
	assert.Assert(t, reply.Available)
	assert.Equal(t, reply.Revision, changes.Revision)
	// The urgent ones come first.
	slices.SortStableFunc(sent, func(a, b traffic.Event) int {
		return cmp.Compare(boolToInt(!traffic.IsUrgent(a)), boolToInt(!traffic.IsUrgent(b)))
	})
	assert.DeepEqual(t, reply.Events, slices.DeleteFunc(sent, func(e traffic.Event) bool {
		return traffic.Key(e) == "policy" || traffic.Key(e) == "server/s1"
	}))
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
