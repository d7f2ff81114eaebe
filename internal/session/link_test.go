package session

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLinkLimits sends far more between regions than their links take: by
// requests and by answers, at ten instances that decide at once.
func TestLinkLimits(t *testing.T) {
	for name, size := range map[string][2]int64{"requests": {30_000, 100}, "answers": {100, 30_000}} {
		t.Run(name, func(t *testing.T) {
			const limit = 8_000_000
			w := load(t, 12, "verhaegen")
			w.bodyBytes, w.answerBytes = size[0], size[1]
			var operations []string
			for i := range 6 {
				operations = append(operations, fmt.Sprintf(`{"op":"replace","path":"/links/%d/bytes_per_second","value":%d}`, i, limit))
			}
			operations = append(operations, `{"op":"replace","path":"/shift/cap","value":1}`)
			assert.NilError(t, w.patch(1, "links", []byte("["+strings.Join(operations, ",")+"]")))
			w.run(settled)
			for _, u := range w.servers {
				if w.regions[u.Domain] == "flanders" {
					u.drains = true
				}
			}
			w.stream("stock", 3000, 10*time.Second, "gent-a-1", "gent-a-2", "gent-b-1", "gent-b-2")
			w.run(12 * time.Second)
			w.checkTruth()
			most := int64(0)
			for pair, seconds := range w.crossed {
				for _, bytes := range seconds {
					most = max(most, bytes)
					assert.Check(t, bytes <= limit, "%v: %d bytes in a second", pair, bytes)
				}
			}
			t.Logf("most bytes in a second: %.3f of the limit", float64(most)/limit)
			assert.Assert(t, most > limit/2, "the links were in use")
		})
	}
}

// TestLinkLimitsOfManyInstances shares a link among more instances than
// summaries name.
func TestLinkLimitsOfManyInstances(t *testing.T) {
	const limit = 8_000_000
	w := fleetOf(t, 6, 8, 4)
	w.bodyBytes = 30_000
	assert.NilError(t, w.patch(1, "links", fmt.Appendf(nil, `[
		{"op":"add","path":"/links/-","value":{"from":"region-0","to":"region-1","bytes_per_second":%d}},
		{"op":"add","path":"/kinds/4/regions/-","value":"region-1"},
		{"op":"replace","path":"/shift/cap","value":1}]`, limit)))
	w.run(settled)
	for _, u := range w.servers {
		u.drains = w.regions[u.Domain] == "region-0"
	}
	var names []string
	for _, name := range w.names() {
		if w.nodes[name].Region == "region-0" {
			names = append(names, name)
		}
	}
	w.run(3 * time.Second)
	w.stream("stock", 3000, 8*time.Second, names...)
	w.run(10 * time.Second)
	most := int64(0)
	for _, bytes := range w.crossed[[2]string{"region-0", "region-1"}] {
		most = max(most, bytes)
	}
	t.Logf("most bytes in a second: %.3f of the limit", float64(most)/limit)
	assert.Assert(t, most <= limit && most > limit/4)
}
