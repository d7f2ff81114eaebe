package steerer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// sixDomains has servers in two failure domains of each of three regions.
func sixDomains(t *testing.T) *bench {
	t.Helper()
	var servers []traffic.Upstream
	for _, domain := range []string{"a1", "a2", "b1", "b2", "c1", "c2"} {
		for i := range 5 {
			u := server(fmt.Sprintf("%s-%d", domain, i), domain)
			u.Slots = 9
			servers = append(servers, u)
		}
	}
	return informed(t, servers...)
}

// places returns the region in which each of many objects is served.
func (b *bench) places() map[string]string {
	regions := make(map[string]string)
	for i := range 400 {
		object := fmt.Sprint(i)
		_, effects := b.ask("/look/1", object)
		send := b.mustSend(effects)
		regions[object] = b.upstreams[send.Upstream.ID].region
		b.end(send, good())
	}
	return regions
}

func TestObjectsStayInTheirRegion(t *testing.T) {
	b := sixDomains(t)
	own := 0
	for _, region := range b.places() {
		if region == "a" {
			own++
		}
	}
	assert.Assert(t, own > 360, "%d of 400", own)
}

// Half of a region's servers are taken away and come back: no two seconds see
// more than the cap of the callers' objects change their region.
func TestShiftStaysBelowTheCap(t *testing.T) {
	b := sixDomains(t)
	before := b.places()
	moved := 0
	for step := range 16 {
		switch step {
		case 1:
			b.do(traffic.EvacuationSeen{Domain: "a1"})
		case 8:
			b.do(traffic.EvacuationGone{Domain: "a1"})
			b.cooling = map[string]time.Time{}
		}
		for range 20 {
			b.after(100 * time.Millisecond).places()
		}
		now := b.places()
		changed := 0
		for object, region := range now {
			if region != before[object] {
				changed++
			}
		}
		moved += changed
		assert.Assert(t, float64(changed) <= 0.15*400, "step %d: %d of 400 moved within 2 s", step, changed)
		before = now
	}
	assert.Assert(t, moved > 60, "only %d moved in all", moved)
}

// Settings that are read again hold for all that was worked out from them.
func TestReloadedSettingsAddARegion(t *testing.T) {
	b := sixDomains(t)
	b.places()
	before := len(b.regions())
	changed := settings()
	changed.Domains["d1"] = "d"
	b.do(traffic.SettingsReloaded{Settings: changed})
	assert.Equal(t, len(b.regions()), before+1)
}
