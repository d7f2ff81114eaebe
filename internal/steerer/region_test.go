package steerer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// newSixDomainBench returns a bench with servers in two failure domains of each
// of three regions.
func newSixDomainBench(t *testing.T) *testBench {
	t.Helper()
	var servers []traffic.Upstream
	for _, domain := range []string{"a1", "a2", "b1", "b2", "c1", "c2"} {
		for i := range 5 {
			u := server(fmt.Sprintf("%s-%d", domain, i), domain)
			u.Slots = 9
			servers = append(servers, u)
		}
	}
	return newReadyBench(t, servers...)
}

// regionsByObject sends a request for each of 400 objects and returns the region
// that serves each.
func (b *testBench) regionsByObject() map[string]string {
	regions := make(map[string]string)
	for i := range 400 {
		object := fmt.Sprint(i)
		_, effects := b.request("/look/1", object)
		send := b.mustSend(effects)
		regions[object] = b.upstreams[send.Upstream.ID].region
		b.endAttempt(send, successOutcome())
	}
	return regions
}

func TestObjectsStayInTheirRegion(t *testing.T) {
	b := newSixDomainBench(t)
	own := 0
	for _, region := range b.regionsByObject() {
		if region == "a" {
			own++
		}
	}
	assert.Assert(t, own > 360, "%d of 400", own)
}

// Evacuates half of a region's servers and ends the evacuation. The objects that
// change their region within any two seconds must stay below the shift cap.
func TestShiftStaysBelowTheCap(t *testing.T) {
	b := newSixDomainBench(t)
	before := b.regionsByObject()
	moved := 0
	for step := range 16 {
		switch step {
		case 1:
			b.handle(traffic.EvacuationSeen{Domain: "a1"})
		case 8:
			b.handle(traffic.EvacuationGone{Domain: "a1"})
			b.coldDomains = map[string]time.Time{}
		}
		for range 20 {
			b.advance(100 * time.Millisecond).regionsByObject()
		}
		now := b.regionsByObject()
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

// The region names are cached and must be recomputed when the settings are
// reloaded.
func TestReloadedSettingsAddARegion(t *testing.T) {
	b := newSixDomainBench(t)
	b.regionsByObject()
	before := len(b.regions())
	changed := settings()
	changed.Domains["d1"] = "d"
	b.handle(traffic.SettingsReloaded{Settings: changed})
	assert.Equal(t, len(b.regions()), before+1)
}
