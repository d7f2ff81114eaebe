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

func fill(s *scheduler.Scheduler[string], rank int, kind string, n int) {
	for i := range n {
		s.Push(scheduler.Item[string]{ID: fmt.Sprintf("%d-%s-%d", rank, kind, i), Rank: rank, Kind: kind, Cost: cost})
	}
}

func served(s *scheduler.Scheduler[string], n int) map[string]int {
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

func TestUrgentFirstAboveFloors(t *testing.T) {
	s := scheduler.Scheduler[string]{Floors: []float64{0, 0.25, 0.1}}
	for rank := range 3 {
		fill(&s, rank, "a", 1000)
	}
	got := served(&s, 1000)
	// Credit starts at nothing, so that a floor may lack one piece of work.
	assert.Assert(t, got["1 a"] >= 249 && got["1 a"] <= 250, "%v", got)
	assert.Assert(t, got["2 a"] >= 99 && got["2 a"] <= 100, "%v", got)
}

func TestUnusedFloorsGoToUrgentWork(t *testing.T) {
	s := scheduler.Scheduler[string]{Floors: []float64{0, 0.25, 0.1}}
	fill(&s, 0, "a", 100)
	assert.DeepEqual(t, served(&s, 50), map[string]int{"0 a": 50})
}

func TestKindsOfARankTakeTurns(t *testing.T) {
	s := scheduler.Scheduler[string]{}
	fill(&s, 0, "flood", 1000)
	fill(&s, 0, "rare", 10)
	assert.DeepEqual(t, served(&s, 20), map[string]int{"0 flood": 10, "0 rare": 10})
}

func TestRemovedWorkCostsNothing(t *testing.T) {
	s := scheduler.Scheduler[string]{Floors: []float64{0, 0.5}}
	fill(&s, 0, "a", 100)
	fill(&s, 1, "b", 10)
	for i := range 9 {
		assert.Assert(t, s.Remove(fmt.Sprintf("1-b-%d", i)))
	}
	assert.Equal(t, served(&s, 3)["1 b"], 1)
	assert.Assert(t, !s.Remove("1-b-9"))
}

// TestNothingIsLost pushes, pops and removes at random.
func TestNothingIsLost(t *testing.T) {
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
					t.Fatalf("popped %v %t of %v", item.ID, ok, waiting)
				}
				delete(waiting, item.ID)
			default:
				for id := range waiting {
					if !s.Remove(id) {
						t.Fatalf("%s is gone", id)
					}
					delete(waiting, id)
					break
				}
			}
			if s.Len() != len(waiting) {
				t.Fatalf("%d wait, not %d", s.Len(), len(waiting))
			}
		}
	})
}
