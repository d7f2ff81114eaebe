package steerer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

func TestDrainingServerGetsNoNewRequests(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"), server("s2", "a2"))
	draining := server("s1", "a1")
	draining.Draining = true
	draining.Revision = 2
	b.handle(traffic.UpstreamSeen{Upstream: draining})
	for i := range 30 {
		_, effects := b.request("/look/1", fmt.Sprint(i))
		assert.Equal(t, b.endAttempt(b.mustSend(effects), successOutcome()) != nil, true)
		assert.Equal(t, b.mustSend(effects).Upstream.ID, "s2")
	}
}

func TestRemovedRecord(t *testing.T) {
	for _, c := range []struct {
		name    string
		events  []traffic.Event
		keptFor time.Duration
	}{
		{"store steady", nil, 0},
		{"store back for 1 s", []traffic.Event{
			traffic.StoreLost{Err: errReset},
			traffic.StoreRegained{},
		}, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newReadyBench(t, server("s1", "a1"), server("s2", "a2"))
			for _, e := range c.events {
				b.handle(e)
			}
			b.advance(time.Second).handle(traffic.UpstreamGone{ID: "s1"})
			_, present := b.upstreams["s1"]
			assert.Equal(t, present, c.keptFor > 0)
			b.advance(c.keptFor + 10*time.Millisecond).handle(traffic.Ticked{})
			_, present = b.upstreams["s1"]
			assert.Assert(t, !present)
		})
	}
}

// A server leaves while this instance is cut off from the store. The longer ago the
// last failed call to the store was started, the sooner the server must be given up:
// the cut may have ended then, and the server has left for good.
func TestServerThatLeftInAnOutageIsNotUsedPastTheReconnect(t *testing.T) {
	for _, sinceFailure := range []time.Duration{0, 500 * time.Millisecond, 1700 * time.Millisecond, 5 * time.Second} {
		b := newReadyBench(t, server("s1", "a1"), server("s2", "a2"))
		b.Settings.Bounds.Reconnect.Duration = 3 * time.Second
		b.handle(traffic.StoreLost{Err: errReset})
		outageEnded := b.now.Add(10 * time.Second)
		b.advance(10*time.Second + sinceFailure).handle(traffic.StoreRegained{SinceFailure: sinceFailure})
		b.handle(traffic.UpstreamsListed{IDs: map[string]bool{"s2": true}})
		for b.upstreams["s1"] != nil {
			b.advance(100 * time.Millisecond).handle(traffic.Ticked{})
		}
		used := b.now.Sub(outageEnded)
		assert.Assert(t, used < max(3*time.Second, sinceFailure+200*time.Millisecond), "used until %v after the outage", used)
		assert.Assert(t, sinceFailure > 500*time.Millisecond || used >= 2*time.Second, "given up after %v", used)
	}
}

func TestServerIsKeptWhenItsRecordReturns(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"))
	b.handle(traffic.StoreLost{Err: errReset})
	b.advance(5 * time.Second).handle(traffic.StoreRegained{})
	b.handle(traffic.UpstreamsListed{IDs: map[string]bool{}})
	_, effects := b.request("/look/1", "7")
	b.mustSend(effects)
	returned := server("s1", "a1")
	returned.Revision = 7
	b.advance(time.Second).handle(traffic.UpstreamSeen{Upstream: returned})
	b.advance(5 * time.Second).handle(traffic.Ticked{})
	assert.Equal(t, len(b.upstreams), 1)
}

func TestEvacuatedDomainGetsNoRequests(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"), server("s2", "a2"))
	b.handle(traffic.EvacuationSeen{Domain: "a1"})
	for i := range 20 {
		_, effects := b.request("/look/1", fmt.Sprint(i))
		send := b.mustSend(effects)
		assert.Equal(t, send.Upstream.ID, "s2")
		b.endAttempt(send, successOutcome())
	}
}

// newMember returns one of a number of instances that all know each other, and one cold
// server.
func newMember(t *testing.T, index, instances int, p traffic.Policy) *testBench {
	t.Helper()
	b := newTestBench(t, fmt.Sprintf("front-%d", index), "a1")
	cold := server("s1", "a1")
	cold.Cold = time.Minute
	b.handle(traffic.PolicySeen{Policy: p})
	b.handle(traffic.UpstreamSeen{Upstream: cold})
	b.handle(traffic.UpstreamsListed{IDs: map[string]bool{"s1": true}})
	names := make(map[string]bool)
	for i := range instances {
		name := fmt.Sprintf("front-%d", i)
		names[name] = true
		b.handle(traffic.InstanceSeen{Instance: traffic.Instance{Name: name}})
	}
	b.handle(traffic.InstancesListed{Names: names})
	b.join()
	return b
}

// All instances together must not send more requests in one second to a cold server
// than the bound, even if all of them have requests for it.
func TestColdLimitIsShared(t *testing.T) {
	for _, instances := range []int{1, 9, 71} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			sent := 0
			for i := range instances {
				b := newMember(t, i, instances, policy(1))
				for k := range 50 {
					_, effects := b.advance(10*time.Millisecond).request("/look/1", fmt.Sprint(k))
					if send, ok := findEffect[traffic.Send](effects); ok {
						sent++
						b.endAttempt(send, successOutcome())
					}
				}
			}
			const bound = 18
			assert.Assert(t, sent <= bound, "%d requests", sent)
			assert.Assert(t, sent >= bound/2, "only %d requests", sent)
		})
	}
}

func TestServersAreColdWhenAnEvacuationEnds(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"))
	b.handle(traffic.EvacuationSeen{Domain: "a1"})
	b.advance(time.Second).handle(traffic.EvacuationGone{Domain: "a1"})
	sent := 0
	for i := range 50 {
		_, effects := b.request("/look/1", fmt.Sprint(i))
		if send, ok := findEffect[traffic.Send](effects); ok {
			sent++
			b.endAttempt(send, successOutcome())
		}
	}
	assert.Assert(t, sent <= 18, "%d requests at once", sent)
}

func TestLookUps(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"))
	neighbour := traffic.Instance{Name: "front-2", Domain: "a2", Region: "a", Address: "front-2:80"}
	b.handle(traffic.InstanceSeen{Instance: neighbour})
	b.handle(traffic.InstanceSeen{Instance: traffic.Instance{Name: "front-3", Region: "b", Address: "front-3:80"}})
	lookUp := func(region string) []string {
		result, ok := findEffect[traffic.LookUpResult](b.handle(traffic.LookUpRequested{Query: traffic.Query{Region: region}}))
		assert.Assert(t, ok)
		return result.Addresses
	}
	assert.DeepEqual(t, lookUp("a"), []string{"front-1:80", "front-2:80"})
	assert.DeepEqual(t, lookUp("b"), []string{"front-3:80"})
	assert.Equal(t, len(lookUp("c")), 3)
	neighbour.Leaving = true
	b.handle(traffic.InstanceSeen{Instance: neighbour})
	assert.DeepEqual(t, lookUp("a"), []string{"front-1:80"})
	b.handle(traffic.InstanceGone{Name: "front-3"})
	assert.DeepEqual(t, lookUp("b"), []string{"front-1:80"})
	b.handle(traffic.StopRequested{})
	assert.Assert(t, !b.Ready())
}

func TestMissingOwnRecordIsReannounced(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"))
	_, ok := findEffect[traffic.Reannounce](b.handle(traffic.InstanceGone{Name: b.Self.Name}))
	assert.Assert(t, ok)
	_, ok = findEffect[traffic.Reannounce](b.handle(traffic.InstancesListed{Names: map[string]bool{}}))
	assert.Assert(t, ok)
}

// Instances whose records are gone without a stop still count for a while, since they may
// be running.
func TestDepartedInstancesStillCount(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"))
	for i := range 9 {
		b.handle(traffic.InstanceSeen{Instance: traffic.Instance{Name: fmt.Sprintf("other-%d", i)}})
	}
	for i := range 9 {
		b.handle(traffic.InstanceGone{Name: fmt.Sprintf("other-%d", i)})
	}
	b.advance(5 * time.Second).handle(traffic.Ticked{})
	assert.Equal(t, b.instances.size(), 10)
	b.advance(departedRetention + time.Second).handle(traffic.Ticked{})
	assert.Equal(t, b.instances.size(), 1)
}

// Without the records of the other instances, an instance would use their shares of
// cold servers, retries and connections.
func TestNotReadyWithoutTheInstances(t *testing.T) {
	b := newTestBench(t, "front-1", "a1")
	b.handle(traffic.PolicySeen{Policy: policy(1)})
	b.handle(traffic.UpstreamSeen{Upstream: server("s1", "a1")})
	b.handle(traffic.UpstreamsListed{IDs: map[string]bool{"s1": true}})
	b.handle(traffic.ServingStarted{})
	assert.Assert(t, !b.Ready())
	b.handle(traffic.InstancesListed{Names: map[string]bool{"front-1": true}})
	assert.Assert(t, b.Ready())
}

// A server turns cold, or its record is unreadable for a moment. What it got within the
// last second counts towards its bound.
func TestColdServerIsNotSentItsBoundTwice(t *testing.T) {
	const bound = 13 // ColdRate * ColdFactor
	cold := server("s1", "a1")
	cold.Cold = 3 * time.Second
	warm := server("s1", "a1")
	for _, c := range []struct {
		name   string
		first  traffic.Upstream
		events []traffic.Event
	}{
		{"turns cold", warm, []traffic.Event{traffic.UpstreamSeen{Upstream: cold}}},
		{"record unreadable", cold, []traffic.Event{traffic.UpstreamGone{ID: "s1"}, traffic.UpstreamSeen{Upstream: cold}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newReadyBench(t, c.first)
			sent := 0
			send := func(requests int) {
				for i := range requests {
					_, effects := b.advance(10*time.Millisecond).request("/look/1", fmt.Sprint(i))
					if send, ok := findEffect[traffic.Send](effects); ok {
						sent++
						b.endAttempt(send, successOutcome())
					}
				}
			}
			send(bound - 3)
			for _, e := range c.events {
				b.handle(e)
			}
			send(50)
			assert.Equal(t, sent, bound)
		})
	}
}

// The requests of one instance in ten are held up for a second and arrive together with
// those of the next. The server must not get more than its bound all the same.
func TestColdServerWithRequestsHeldUp(t *testing.T) {
	const instances, bound = 10, 33 // ColdRate * ColdFactor + ColdSlack
	var arrivals []time.Duration
	for i := range instances {
		p := policy(1)
		p.Services["stock"] = traffic.Service{Name: "stock", ColdPeriod: time.Minute, ColdRate: 19}
		b := newMember(t, i, instances, p)
		for at := time.Duration(0); at < 4*time.Second; at += 10 * time.Millisecond {
			_, effects := b.advance(10*time.Millisecond).request("/look/1", fmt.Sprint(at))
			send, ok := findEffect[traffic.Send](effects)
			if !ok {
				continue
			}
			b.endAttempt(send, successOutcome())
			if i == 0 && at >= time.Second {
				arrivals = append(arrivals, max(at, 2*time.Second))
			} else {
				arrivals = append(arrivals, at)
			}
		}
	}
	most := mostInASecond(arrivals)
	assert.Assert(t, most <= bound, "%d requests in a second", most)
	assert.Assert(t, most >= bound/2, "only %d requests in a second", most)
}

// Instances know of different others, each of all that have shares. Their shares of a cold
// server add up to no more than the bound.
func TestSharesOfInstancesThatDisagree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		active := rapid.IntRange(1, 12).Draw(t, "active")
		others := rapid.IntRange(0, 12).Draw(t, "others")
		sum := 0
		for i := range active {
			b := testBench{now: time.Unix(1_800_000_000, 0), Steerer: &Steerer{
				Self: traffic.Instance{Name: fmt.Sprintf("front-%d", i)}, Settings: settings(),
			}}
			handle := func(e traffic.Event) { b.Reduce(b.now, e) }
			handle(traffic.PolicySeen{Policy: policy(1)})
			for j := range active + others {
				if j < active || rapid.Bool().Draw(t, "known") {
					handle(traffic.InstanceSeen{Instance: traffic.Instance{Name: fmt.Sprintf("front-%d", j)}})
				}
				if j >= active && rapid.Bool().Draw(t, "gone") {
					handle(traffic.InstanceGone{Name: fmt.Sprintf("front-%d", j)})
				}
			}
			handle(traffic.RecordKept{Revision: 1, Lasts: time.Hour})
			b.now = b.now.Add(time.Minute)
			handle(traffic.UpstreamSeen{Upstream: server("s1", "a1")})
			sum += b.coldLimit(b.upstreams["s1"])
		}
		assert.Assert(t, sum <= 13, "%d requests a second", sum)
	})
}
