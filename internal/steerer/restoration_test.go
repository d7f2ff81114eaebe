package steerer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// inNewEra returns a revision of a store that has come back from a copy.
func inNewEra(revision int64) int64 { return 1<<44 | revision }

// restore handles a full read of a store that has come back from a copy, with some records.
func (b *testBench) restore(records ...traffic.Event) {
	b.t.Helper()
	b.handle(traffic.StoreRestored{Revision: inNewEra(100)})
	b.readAll(records...)
}

// readAll handles a full read of the store.
func (b *testBench) readAll(records ...traffic.Event) {
	b.t.Helper()
	servers, instances, evacuations, limits := map[string]bool{}, map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, e := range records {
		b.handle(e)
		switch e := e.(type) {
		case traffic.UpstreamSeen:
			servers[e.Upstream.ID] = true
		case traffic.InstanceSeen:
			instances[e.Instance.Name] = true
		case traffic.EvacuationSeen:
			evacuations[e.Domain] = true
		case traffic.LimitSeen:
			limits[e.Limit.Server] = true
		}
	}
	b.handle(traffic.UpstreamsListed{IDs: servers})
	b.handle(traffic.EvacuationsListed{Domains: evacuations})
	b.handle(traffic.InstancesListed{Names: instances, Revision: inNewEra(100)})
	b.handle(traffic.LimitsListed{Servers: limits})
}

// copied returns the record of a server as a copy of the store holds it.
func copied(u traffic.Upstream) traffic.Event {
	u.Revision = inNewEra(u.Revision)
	return traffic.UpstreamSeen{Upstream: u}
}

func (b *testBench) used(id string) bool {
	for n := range 40 {
		if send, ok := findEffect[traffic.Send](b.lookAt(n)); ok && send.Upstream.ID == id {
			return true
		}
	}
	return false
}

func (b *testBench) lookAt(object int) []traffic.Effect {
	_, effects := b.request("/look/1", fmt.Sprint(object))
	if send, ok := findEffect[traffic.Send](effects); ok {
		b.endAttempt(send, successOutcome())
	}
	return effects
}

// Guards against DRAIN: a copy of the store brings back servers that drain or are gone. They
// stay out of use until the second read, which is believed.
func TestServersThatACopyBringsBack(t *testing.T) {
	s1, s2, s3 := server("s1", "a1"), server("s2", "a2"), server("s3", "a2")
	b := newReadyBench(t, s1, s2, s3)
	draining := s1
	draining.Draining, draining.Revision = true, 50
	b.handle(traffic.UpstreamSeen{Upstream: draining})
	b.handle(traffic.UpstreamGone{ID: "s2"})
	assert.Assert(t, !b.used("s1") && !b.used("s2") && b.used("s3"))
	b.restore(copied(s1), copied(s2), copied(s3), traffic.InstanceSeen{Instance: b.Self})
	assert.Assert(t, !b.used("s1") && !b.used("s2") && b.used("s3"))
	b.advance(b.times().RestorationWait())
	assert.Assert(t, !b.used("s1") && !b.used("s2"), "used without another read")
	b.readAll(copied(s1), copied(s2), copied(s3), traffic.InstanceSeen{Instance: b.Self})
	assert.Assert(t, b.used("s1") && b.used("s2"))
}

// Guards against a server that restarted since the copy: its former process is gone.
func TestFormerProcessThatACopyBringsBack(t *testing.T) {
	first := server("s1", "a1")
	first.Started = 1
	b := newReadyBench(t, first)
	second := first
	second.Started, second.Address, second.Revision = 2, "10.0.0.2:80", 50
	b.handle(traffic.UpstreamSeen{Upstream: second})
	b.restore(copied(first), traffic.InstanceSeen{Instance: b.Self})
	send, ok := findEffect[traffic.Send](b.lookAt(1))
	assert.Assert(t, ok)
	assert.Equal(t, send.Upstream.Address, "10.0.0.2:80")
}

// A server that has joined since the copy is kept until it must have written its record
// again, and removed if it has not.
func TestServersThatACopyLacks(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"), server("s2", "a2"))
	self := traffic.InstanceSeen{Instance: b.Self}
	b.restore(self)
	b.handle(traffic.Ticked{})
	assert.Assert(t, b.used("s1") && b.used("s2"))
	b.advance(time.Second)
	b.handle(copied(server("s1", "a1")))
	b.advance(b.times().RestorationWait())
	b.handle(traffic.Ticked{})
	assert.Assert(t, b.used("s1") && !b.used("s2"))
}

// Guards against EVAC: an evacuation that a copy lacks holds until the second read.
func TestEvacuationThatACopyLacks(t *testing.T) {
	s1 := server("s1", "a1")
	b := newReadyBench(t, s1)
	b.handle(traffic.EvacuationSeen{Domain: "a1"})
	self := traffic.InstanceSeen{Instance: b.Self}
	b.restore(copied(s1), self)
	assert.Assert(t, !b.used("s1"))
	b.advance(b.times().RestorationWait())
	b.readAll(copied(s1), self, traffic.EvacuationSeen{Domain: "a1"})
	assert.Assert(t, !b.used("s1"))
	b.readAll(copied(s1), self)
	assert.Assert(t, !b.evacuated["a1"])
}

// Guards against CONFIG: an older policy that a copy brings back does not come into force,
// and another one under the same number does.
func TestPoliciesAfterARestoration(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"))
	b.handle(traffic.PolicySeen{Policy: policy(5), Revision: 50})
	b.handle(traffic.PolicySeen{Policy: policy(3), Revision: inNewEra(40)})
	assert.Equal(t, b.Version(), int64(5))
	other := policy(5)
	other.Routes = other.Routes[:1]
	b.handle(traffic.PolicySeen{Policy: other, Revision: inNewEra(60)})
	assert.Equal(t, len(b.policy.Routes), 1)
	b.handle(traffic.PolicySeen{Policy: policy(5), Revision: 50})
	assert.Equal(t, len(b.policy.Routes), 1, "an older record of the same version")
}

// Guards against LIMIT: a copy holds a limit as it was, or none. What servers have said
// since holds, and is written to the store again.
func TestLimitsAfterARestoration(t *testing.T) {
	s1, s2 := server("s1", "a1"), server("s2", "a2")
	b := newReadyBench(t, s1, s2)
	for _, id := range []string{"s1", "s2"} {
		b.handle(traffic.LimitSeen{Limit: traffic.ServerLimit{Server: id, Limited: true, PerSecond: 4}})
	}
	b.restore(copied(s1), copied(s2), traffic.InstanceSeen{Instance: b.Self},
		traffic.LimitSeen{Limit: traffic.ServerLimit{Server: "s1", Limited: true, PerSecond: 40}})
	for _, id := range []string{"s1", "s2"} {
		limit := b.limitOf(b.upstreams[id])
		assert.Assert(t, limit.Limited, id)
		assert.Equal(t, limit.PerSecond, 4.0, id)
	}
	assert.Equal(t, len(b.unpublishedLimits), 2)
}

// Guards against shares of an instance that the others do not count: its record is gone with
// the era. It has none until the record is written again and all others can know of it.
func TestSharesAfterARestoration(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"))
	b.handle(traffic.Ticked{})
	assert.Assert(t, b.hasShares())
	effects := b.handle(traffic.StoreRestored{Revision: inNewEra(100)})
	again, ok := findEffect[traffic.Reannounce](effects)
	assert.Assert(t, ok)
	assert.Equal(t, again.Revision, inNewEra(100))
	b.readAll(copied(server("s1", "a1")), traffic.InstanceSeen{Instance: b.Self})
	assert.Assert(t, !b.hasShares())
	b.handle(traffic.RecordKept{Revision: 60, Lasts: time.Minute})
	b.advance(b.times().JoinDelay()).handle(traffic.Ticked{})
	assert.Assert(t, !b.hasShares(), "a renewal of a lease of the era before")
	b.handle(traffic.RecordKept{Revision: inNewEra(101), Lasts: time.Minute})
	assert.Assert(t, !b.hasShares())
	b.advance(b.times().JoinDelay()).handle(traffic.Ticked{})
	assert.Assert(t, b.hasShares())
}

// Guards against look-ups that name an instance which has ended: a copy brings its record
// back, until its lease ends.
func TestInstancesThatACopyBringsBack(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"))
	stopped := traffic.Instance{Name: "front-2", Domain: "a2", Region: "a", Address: "front-2:80", Incarnation: "x"}
	killed := traffic.Instance{Name: "front-3", Domain: "a2", Region: "a", Address: "front-3:80", Incarnation: "y"}
	leaving := traffic.Instance{Name: "front-4", Domain: "a2", Region: "a", Address: "front-4:80", Incarnation: "z"}
	for _, i := range []traffic.Instance{stopped, killed, leaving} {
		b.handle(traffic.InstanceSeen{Instance: i})
	}
	ended, going := stopped, leaving
	ended.Leaving, going.Leaving = true, true
	b.handle(traffic.InstanceSeen{Instance: ended})
	b.handle(traffic.InstanceGone{Name: "front-2", Revision: 60})
	b.handle(traffic.InstanceGone{Name: "front-3", Revision: 61})
	b.handle(traffic.InstanceSeen{Instance: going})
	b.restore(copied(server("s1", "a1")), traffic.InstanceSeen{Instance: b.Self}, traffic.InstanceSeen{Instance: stopped},
		traffic.InstanceSeen{Instance: killed}, traffic.InstanceSeen{Instance: leaving})
	result, ok := findEffect[traffic.LookUpResult](b.handle(traffic.LookUpRequested{Query: traffic.Query{Region: "a", Domain: "a2"}}))
	assert.Assert(t, ok)
	assert.DeepEqual(t, result.Addresses, []string{b.Self.Address})
}

// Guards against FAILBACK: an instance that starts while the others write their records
// again sees only some of them, and must not divide a bound by those alone.
func TestStartWhileOthersWriteTheirRecordsAgain(t *testing.T) {
	cold := server("s1", "a1")
	cold.Cold = time.Hour
	b := newStartedBench(t, cold)
	b.handle(traffic.FleetSizeSeen{Instances: 13})
	b.handle(traffic.InstanceSeen{Instance: traffic.Instance{Name: "front-2", Region: "a"}})
	b.join()
	b.handle(traffic.Ticked{})
	assert.Assert(t, b.hasShares())
	assert.Equal(t, b.coldLimit(b.upstreams["s1"]), 1, "13 requests among 13 instances")
	b.advance(b.times().JoinDelay()).handle(traffic.Ticked{})
	assert.Assert(t, b.coldLimit(b.upstreams["s1"]) >= 6, "13 requests among two")
}

// An instance that was cut off from the store until its record was gone writes it again just
// when the store has come back from a copy. The others count it again, once a copy can't have
// brought the record back any more; one that has ended stays so.
func TestInstanceThatReturnsAfterARestoration(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"))
	own := traffic.InstanceSeen{Instance: b.Self}
	cutOff := traffic.InstanceSeen{Instance: traffic.Instance{Name: "front-2", Domain: "a1", Region: "a", Incarnation: "2"}}
	ended := traffic.InstanceSeen{Instance: traffic.Instance{Name: "front-3", Domain: "a1", Region: "a", Incarnation: "3"}}
	b.handle(cutOff)
	b.handle(ended)
	b.handle(traffic.InstanceGone{Name: "front-2", Revision: 5})
	b.handle(traffic.InstanceGone{Name: "front-3", Revision: 6})
	b.restore(own, cutOff, ended, copied(server("s1", "a1")))
	b.advance(b.times().Lease() - time.Second).handle(traffic.InstanceGone{Name: "front-3", Revision: inNewEra(101)})
	b.advance(b.times().RestorationWait() + 2*time.Second).handle(traffic.Ticked{})
	assert.Assert(t, b.instances.records["front-2"] != nil)
	assert.Assert(t, b.instances.records["front-3"] == nil)
}
