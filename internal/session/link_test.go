package session

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLinkLimits guards against exceeding the bandwidth limit of a link between
// regions. Ten instances decide at the same time, and either the requests or the
// answers need far more bandwidth than the links have.
func TestLinkLimits(t *testing.T) {
	for name, size := range map[string][2]int64{"requests": {30_000, 100}, "answers": {100, 30_000}} {
		t.Run(name, func(t *testing.T) {
			const limit = 8_000_000
			sim := loadDeployment(t, 12, "verhaegen")
			sim.bodyBytes, sim.answerBytes = size[0], size[1]
			var operations []string
			for i := range 6 {
				operations = append(operations, fmt.Sprintf(`{"op":"replace","path":"/links/%d/bytes_per_second","value":%d}`, i, limit))
			}
			operations = append(operations, `{"op":"replace","path":"/shift/cap","value":1}`)
			assert.NilError(t, sim.patch(1, "links", []byte("["+strings.Join(operations, ",")+"]")))
			sim.advance(settleTime)
			for _, u := range sim.servers {
				if sim.regionOf[u.Domain] == "flanders" {
					u.draining = true
				}
			}
			sim.sendStream("stock", 3000, 10*time.Second, "gent-a-1", "gent-a-2", "gent-b-1", "gent-b-2")
			sim.advance(12 * time.Second)
			sim.checkOutcomes()
			peakBytes := int64(0)
			for pair, seconds := range sim.crossRegionBytes {
				for _, bytes := range seconds {
					peakBytes = max(peakBytes, bytes)
					assert.Check(t, bytes <= limit, "%v: %d bytes in a second", pair, bytes)
				}
			}
			t.Logf("peak bytes per second: %.3f of the limit", float64(peakBytes)/limit)
			assert.Assert(t, peakBytes > limit/2, "the links carried too little traffic to test the limit")
		})
	}
}

// TestLinkLimitsOfManyInstances guards against exceeding a link's bandwidth limit
// when more instances share the link than a gossip summary names.
func TestLinkLimitsOfManyInstances(t *testing.T) {
	const limit = 8_000_000
	sim := newUniformFleet(t, 6, 8, 4)
	sim.bodyBytes = 30_000
	assert.NilError(t, sim.patch(1, "links", fmt.Appendf(nil, `[
		{"op":"add","path":"/links/-","value":{"from":"region-0","to":"region-1","bytes_per_second":%d}},
		{"op":"add","path":"/kinds/4/regions/-","value":"region-1"},
		{"op":"replace","path":"/shift/cap","value":1}]`, limit)))
	sim.advance(settleTime)
	for _, u := range sim.servers {
		u.draining = sim.regionOf[u.Domain] == "region-0"
	}
	var names []string
	for _, name := range sim.aliveNames() {
		if sim.instances[name].Region == "region-0" {
			names = append(names, name)
		}
	}
	sim.advance(3 * time.Second)
	sim.sendStream("stock", 3000, 8*time.Second, names...)
	sim.advance(10 * time.Second)
	peakBytes := int64(0)
	for _, bytes := range sim.crossRegionBytes[[2]string{"region-0", "region-1"}] {
		peakBytes = max(peakBytes, bytes)
	}
	t.Logf("peak bytes per second: %.3f of the limit", float64(peakBytes)/limit)
	assert.Assert(t, peakBytes <= limit && peakBytes > limit/4)
}
