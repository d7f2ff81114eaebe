package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/yuccathread/yuccathread/internal/scheduler"
)

const cost = 10 * time.Millisecond

func pushItems(s *scheduler.Scheduler[string], rank int, kind string, n int) {
	for i := range n {
		s.Push(scheduler.Item[string]{ID: fmt.Sprintf("%d-%s-%d", rank, kind, i), Rank: rank, Kind: kind, Cost: cost})
	}
}

func popCounts(s *scheduler.Scheduler[string], n int) map[string]int {
	counts := make(map[string]int)
	for range n {
		item, ok := s.Pop()
		if !ok {
			break
		}
		counts[fmt.Sprintf("%d %s", item.Rank, item.Kind)]++
	}
	return counts
}

func TestRanksGetTheirFloors(t *testing.T) {
	s := scheduler.Scheduler[string]{Floors: []float64{0, 0.25, 0.1}}
	for rank := range 3 {
		pushItems(&s, rank, "a", 1000)
	}
	got := popCounts(&s, 1000)
	// Credit starts at 0, so that a rank may get one item less than its floor.
	assert.Assert(t, got["1 a"] >= 249 && got["1 a"] <= 250, "%v", got)
	assert.Assert(t, got["2 a"] >= 99 && got["2 a"] <= 100, "%v", got)
}

func TestUnusedFloorsGoToUrgentWork(t *testing.T) {
	s := scheduler.Scheduler[string]{Floors: []float64{0, 0.25, 0.1}}
	pushItems(&s, 0, "a", 100)
	assert.DeepEqual(t, popCounts(&s, 50), map[string]int{"0 a": 50})
}

func TestKindsOfARankShareSlotTime(t *testing.T) {
	s := scheduler.Scheduler[string]{}
	pushItems(&s, 0, "flood", 1000)
	pushItems(&s, 0, "rare", 10)
	assert.DeepEqual(t, popCounts(&s, 20), map[string]int{"0 flood": 10, "0 rare": 10})
}

func TestRemovedItemsAreNotCharged(t *testing.T) {
	s := scheduler.Scheduler[string]{Floors: []float64{0, 0.5}}
	pushItems(&s, 0, "a", 100)
	pushItems(&s, 1, "b", 10)
	for i := range 9 {
		assert.Assert(t, s.Remove(fmt.Sprintf("1-b-%d", i)))
	}
	assert.Equal(t, popCounts(&s, 3)["1 b"], 1)
	assert.Assert(t, !s.Remove("1-b-9"))
}

// TestNoItemIsLost pushes, pops and removes items at random and compares the
// scheduler with a set of the waiting IDs.
func TestNoItemIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := scheduler.Scheduler[int]{Floors: []float64{0, 0.3, 0.2}}
		waiting := make(map[string]bool)
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				id := fmt.Sprint(i)
				s.Push(scheduler.Item[int]{
					ID: id, Rank: rapid.IntRange(0, 2).Draw(t, "rank"), Kind: rapid.StringMatching("[ab]").Draw(t, "kind"),
					Cost: time.Duration(rapid.IntRange(1, 100).Draw(t, "cost")) * time.Millisecond,
				})
				waiting[id] = true
			case 2:
				item, ok := s.Pop()
				if ok != (len(waiting) > 0) || ok && !waiting[item.ID] {
					t.Fatalf("Pop returned %v, %t with %v waiting", item.ID, ok, waiting)
				}
				delete(waiting, item.ID)
			default:
				for id := range waiting {
					if !s.Remove(id) {
						t.Fatalf("waiting item %s was not found", id)
					}
					delete(waiting, id)
					break
				}
			}
			if s.Len() != len(waiting) {
				t.Fatalf("%d items are waiting, want %d", s.Len(), len(waiting))
			}
		}
	})
}
