package steerer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// newLargeBench returns a bench of a large fleet, some of whose servers are cold.
func newLargeBench(t *testing.T, cold int) *testBench {
	t.Helper()
	b := newReadyBench(t)
	for i := range 294 {
		b.handle(traffic.InstanceSeen{Instance: traffic.Instance{Name: fmt.Sprintf("front-gent-a-%d", i), Region: "a", Domain: "a1"}})
	}
	for i := range 1095 {
		u := server(fmt.Sprintf("i-%010x", i*7919), []string{"a1", "b1", "c1"}[i%3])
		if i < cold {
			u.Cold = time.Hour
		}
		b.handle(traffic.UpstreamSeen{Upstream: u})
	}
	return b
}

// decisionCost returns the shortest time of several rounds of decisions about requests.
func (b *testBench) decisionCost() time.Duration {
	const rounds, requests = 7, 40
	shortest := time.Hour
	for range rounds {
		started := time.Now()
		for n := range requests {
			_, effects := b.request("/look/1", fmt.Sprint(n))
			if send, ok := findEffect[traffic.Send](effects); ok {
				b.endAttempt(send, successOutcome())
			}
		}
		shortest = min(shortest, time.Since(started)/requests)
	}
	return shortest
}

// Guards against decisions that take the processor from the news: after the restart of many
// servers of a large fleet, a request must not cost many times as much as before, since each
// cold server's bound is divided among all instances.
func TestDecisionsBesideColdServers(t *testing.T) {
	usual, beside := newLargeBench(t, 0).decisionCost(), newLargeBench(t, 500).decisionCost()
	assert.Assert(t, beside < 4*usual, "%v in place of %v", beside, usual)
}
