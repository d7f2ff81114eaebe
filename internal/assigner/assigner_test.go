package assigner_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/yuccathread/yuccathread/internal/assigner"
	"github.com/yuccathread/yuccathread/internal/model"
)

var begin = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func members(names ...int) []model.Instance {
	var all []model.Instance
	for _, n := range names {
		all = append(all, model.Instance{Name: fmt.Sprintf("i%d", n), Incarnation: "x", PeerAddress: fmt.Sprint(n)})
	}
	return all
}

func servers(n int) []model.Server {
	var all []model.Server
	for i := range n {
		all = append(all, model.Server{Name: fmt.Sprintf("s%02d", i), Service: []string{"stock", "ordering"}[i%2]})
	}
	return all
}

// TestEveryServerHasOneOwner plans for members that come and go at random.
func TestEveryServerHasOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := assigner.Assigner{Domain: "d"}
		var table model.Table
		now := begin
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			now = now.Add(time.Second)
			live := members(rapid.SliceOfNDistinct(rapid.IntRange(0, 6), 1, 5, rapid.ID).Draw(t, "members")...)
			listed := servers(rapid.IntRange(0, 20).Draw(t, "servers"))
			next, _ := a.Plan(table, live, listed, now)
			check(t, table, next, live, listed)
			if _, changed := a.Plan(next, live, listed, now); changed {
				t.Fatal("a second plan changes the first")
			}
			table = next
		}
	})
}

func check(t *rapid.T, before, after model.Table, live []model.Instance, listed []model.Server) {
	if len(after.Assignments) != len(listed) {
		t.Fatalf("%d servers, not %d", len(after.Assignments), len(listed))
	}
	owners := make(map[string]string)
	for _, x := range before.Assignments {
		owners[x.Name] = x.Owner
	}
	loads := make(map[string]map[string]int)
	for _, x := range after.Assignments {
		if loads[x.Service] == nil {
			loads[x.Service] = make(map[string]int)
			for _, m := range live {
				loads[x.Service][m.Name] = 0
			}
		}
		if _, ok := loads[x.Service][x.Owner]; !ok {
			t.Fatalf("%s belongs to %q, who is not there", x.Name, x.Owner)
		}
		loads[x.Service][x.Owner]++
		old := owners[x.Name]
		if old != "" && old != x.Owner && (len(x.Previous) == 0 || x.Previous[len(x.Previous)-1].Name != old) {
			t.Fatalf("%s went from %s to %s and remembers %v", x.Name, old, x.Owner, x.Previous)
		}
	}
	for service, byMember := range loads {
		low, high := 1000, 0
		for _, n := range byMember {
			low, high = min(low, n), max(high, n)
		}
		if high-low > 1 {
			t.Fatalf("%s is divided %v", service, byMember)
		}
	}
}

func TestRestartedOwnerIsRemembered(t *testing.T) {
	a := assigner.Assigner{Domain: "d"}
	first, _ := a.Plan(model.Table{}, members(1), servers(1), begin)
	again := members(1)
	again[0].Incarnation = "y"
	second, changed := a.Plan(first, again, servers(1), begin)
	assert.Assert(t, changed)
	assert.DeepEqual(t, second.Assignments[0].Previous, []model.Owner{{Name: "i1", Incarnation: "x"}})
	assert.Equal(t, second.Assignments[0].OwnerIncarnation, "y")
}
