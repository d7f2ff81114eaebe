package steerer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// mixedRegion returns the instances of a region with strong and weak ones.
func mixedRegion(strong, weak int) []traffic.Instance {
	var found []traffic.Instance
	for n := range strong {
		found = append(found, traffic.Instance{Name: fmt.Sprintf("strong-%d", n), Capacity: 160_000})
	}
	for n := range weak {
		found = append(found, traffic.Instance{Name: fmt.Sprintf("weak-%d", n), Capacity: 1600})
	}
	return found
}

func countStrong(found []traffic.Instance) (strong, weak int) {
	for _, i := range found {
		if strings.HasPrefix(i.Name, "strong") {
			strong++
		} else {
			weak++
		}
	}
	return strong, weak
}

// Load: regions of 10, 29 and 100 instances, of which a few are a hundred times as strong.
// Callers use the strong ones while these suffice, and all as soon as they do not.
func TestLookUpsNameStrongInstances(t *testing.T) {
	for _, c := range []struct {
		name                    string
		strong, weak, busy      int
		wantedStrong, wantedAll int
	}{
		{"four strong ones of 10", 4, 6, 0, 4, 4},
		{"four strong ones of 29", 4, 25, 0, 4, 4},
		{"one of them is busy", 4, 25, 1, 3, 3},
		{"too few are left", 4, 25, 2, 4, 29},
		{"two strong ones", 2, 8, 0, 2, 10},
		{"four strong ones of 100 have too little of the capacity", 4, 96, 0, 4, 100},
		{"twelve strong ones of 100", 12, 88, 0, 12, 12},
		{"all are equal", 10, 0, 0, 10, 10},
		{"all are equal, one is busy", 10, 0, 1, 9, 9},
		{"three equal ones, one is busy", 3, 0, 1, 3, 3},
		{"all are busy", 10, 0, 10, 10, 10},
	} {
		found := mixedRegion(c.strong, c.weak)
		for n := range c.busy {
			found[n].Busy = true
		}
		strong, weak := countStrong(chooseStrong(found))
		assert.Equal(t, strong, c.wantedStrong, c.name)
		assert.Equal(t, strong+weak, c.wantedAll, c.name)
	}
}

// Without known capacities all instances count as equal.
func TestLookUpsWithoutCapacities(t *testing.T) {
	found := []traffic.Instance{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}}
	assert.Equal(t, len(chooseStrong(found)), 4)
}

// An instance whose timers are late says so in its record, and once only.
func TestBusyInstanceIsAnnounced(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"))
	announced := 0
	for range 20 {
		b.advance(100 * time.Millisecond)
		if e, ok := findEffect[traffic.AnnounceBusy](b.handle(traffic.Ticked{Late: 300 * time.Millisecond})); ok {
			assert.Assert(t, e.Busy)
			announced++
		}
	}
	assert.Equal(t, announced, 1)
	assert.Assert(t, b.Self.Busy)
}
