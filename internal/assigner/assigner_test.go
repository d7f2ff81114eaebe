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

var startTime = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

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

// TestEveryServerHasOneOwner plans tables for random sets of members and servers,
// one after the other, and checks each against the one before.
func TestEveryServerHasOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := assigner.Assigner{Domain: "d"}
		var table model.Table
		now := startTime
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			now = now.Add(time.Second)
			live := members(rapid.SliceOfNDistinct(rapid.IntRange(0, 6), 1, 5, rapid.ID).Draw(t, "members")...)
			listed := servers(rapid.IntRange(0, 20).Draw(t, "servers"))
			next, _ := a.Plan(table, live, listed, now)
			checkTable(t, table, next, live, listed)
			if _, changed := a.Plan(next, live, listed, now); changed {
				t.Fatal("planning again with the same input changed the table")
			}
			table = next
		}
	})
}

func checkTable(t *rapid.T, before, after model.Table, live []model.Instance, listed []model.Server) {
	if len(after.Assignments) != len(listed) {
		t.Fatalf("the table has %d servers, want %d", len(after.Assignments), len(listed))
	}
	owners := make(map[string]string)
	for _, assignment := range before.Assignments {
		owners[assignment.Name] = assignment.Owner
	}
	loads := make(map[string]map[string]int)
	for _, assignment := range after.Assignments {
		if loads[assignment.Service] == nil {
			loads[assignment.Service] = make(map[string]int)
			for _, m := range live {
				loads[assignment.Service][m.Name] = 0
			}
		}
		if _, ok := loads[assignment.Service][assignment.Owner]; !ok {
			t.Fatalf("server %s is owned by %q, which is not a member", assignment.Name, assignment.Owner)
		}
		loads[assignment.Service][assignment.Owner]++
		previousOwner := owners[assignment.Name]
		if previousOwner != "" && previousOwner != assignment.Owner && (len(assignment.Previous) == 0 || assignment.Previous[len(assignment.Previous)-1].Name != previousOwner) {
			t.Fatalf("server %s moved from %s to %s, but its previous owners are %v", assignment.Name, previousOwner, assignment.Owner, assignment.Previous)
		}
	}
	for service, byMember := range loads {
		lowest, highest := 1000, 0
		for _, n := range byMember {
			lowest, highest = min(lowest, n), max(highest, n)
		}
		if highest-lowest > 1 {
			t.Fatalf("servers of %s are not balanced: %v", service, byMember)
		}
	}
}

func TestRestartedOwnerIsListedAsPrevious(t *testing.T) {
	a := assigner.Assigner{Domain: "d"}
	first, _ := a.Plan(model.Table{}, members(1), servers(1), startTime)
	restarted := members(1)
	restarted[0].Incarnation = "y"
	second, changed := a.Plan(first, restarted, servers(1), startTime)
	assert.Assert(t, changed)
	assert.DeepEqual(t, second.Assignments[0].Previous, []model.Owner{{Name: "i1", Incarnation: "x"}})
	assert.Equal(t, second.Assignments[0].OwnerIncarnation, "y")
}
