package steerer

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// targets sends a request for each of many objects and returns how many went to each
// server.
func (b *testBench) targets(path string) map[string]int {
	found := make(map[string]int)
	for n := range 200 {
		_, effects := b.advance(20*time.Millisecond).request(path, fmt.Sprint(n))
		if send, ok := findEffect[traffic.Send](effects); ok {
			found[send.Upstream.ID]++
			b.endAttempt(send, successOutcome())
		}
	}
	return found
}

// Guards against a record with an impossible number of slots, which drew the objects of all
// regions to one server.
func TestRecordWithTooManySlots(t *testing.T) {
	for _, slots := range []int{301, 1 << 20, math.MaxInt} {
		b := newReadyBench(t, server("s1", "a1"), server("s2", "a2"), server("s3", "b1"))
		before := b.targets("/look/1")
		odd := server("odd", "b2")
		odd.Slots = slots
		b.handle(traffic.UpstreamSeen{Upstream: odd})
		b.advance(20 * time.Second)
		assert.DeepEqual(t, b.targets("/look/1"), before)

		// The same in the place of a server's own record, which comes back.
		own := server("s1", "a1")
		own.Slots, own.Revision = slots, 2
		b.handle(traffic.UpstreamSeen{Upstream: own})
		assert.Equal(t, b.targets("/look/1")["s1"], 0)
		own.Slots, own.Revision = 4, 3
		b.handle(traffic.UpstreamSeen{Upstream: own})
		b.advance(20 * time.Second)
		assert.DeepEqual(t, b.targets("/look/1"), before)
	}
}

// The configuration may come after the records, or change what is possible.
func TestConfigurationDecidesWhichSlotsArePossible(t *testing.T) {
	many := server("s1", "a1")
	many.Slots = 400
	b := newReadyBench(t, many, server("s2", "a1"))
	assert.Equal(t, b.targets("/look/1")["s1"], 0)
	p := policy(2)
	p.Services["stock"] = traffic.Service{Name: "stock", MaxConnections: 500, ColdPeriod: 3 * time.Second, ColdRate: 9}
	b.handle(traffic.PolicySeen{Policy: p})
	assert.Assert(t, b.targets("/look/1")["s1"] > 100)
}

// Guards against a record with an absurd time to stay cold, after which a server got next
// to nothing for ever, although its own records said that it was not cold.
func TestRecordWithAnAbsurdColdTime(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"))
	own := server("s1", "a1")
	own.Cold, own.Revision = math.MaxInt64, 2
	b.handle(traffic.UpstreamSeen{Upstream: own})
	own.Cold, own.Revision = 0, 3
	b.handle(traffic.UpstreamSeen{Upstream: own})
	assert.Equal(t, b.targets("/look/1")["s1"], 200)
}

// Guards against absurd figures in reports of load: sums and times that overflow made the
// server that sent them look idle or fast.
func TestReportOfAbsurdLoad(t *testing.T) {
	for name, load := range map[string]traffic.Load{
		"waiting and running": {Known: true, Running: math.MaxInt, Waiting: math.MaxInt, Slots: 4},
		"waiting":             {Known: true, Waiting: math.MaxInt, Slots: 4},
		"pace":                {Known: true, Pace: math.MaxInt / 100},
	} {
		t.Run(name, func(t *testing.T) {
			b := newReadyBench(t, server("s1", "a1"), server("s2", "a1"))
			b.targets("/look/1")
			for range 40 {
				_, effects := b.advance(20*time.Millisecond).request("/look/1", "7")
				send := b.mustSend(effects)
				if send.Upstream.ID == "s1" {
					o := successOutcome()
					o.Reply.Load = load
					b.endAttempt(send, o)
					break
				}
				b.endAttempt(send, successOutcome())
				b.upstreams["s2"].slowdown = 3
				b.upstreams["s2"].slowdownAt = b.now
			}
			assert.Assert(t, b.upstreams["s1"].load.Known, "no request reached the server")
			b.upstreams["s2"].slowdown = 1
			_, effects := b.advance(time.Millisecond).request("/look/1", "7")
			assert.Equal(t, b.mustSend(effects).Upstream.ID, "s2")
		})
	}
}
