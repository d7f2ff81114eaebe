// Package scheduler orders waiting work by rank, shares a rank's turns among
// its kinds, and keeps a floor of slot time for every rank.
//
// The rule is strict order of rank, with one exception: while a rank waits it
// earns credit, its floor times the slot time handed out to all ranks; once
// the credit covers a piece of its work, that work goes first. Within a rank
// the kinds take turns by the slot time they have used (start-time fair
// queueing), so that a flood of one kind does not starve the others. Within a
// kind the order is first come, first served.
//
// Usage:
//
//	s := scheduler.Scheduler[string]{Floors: []float64{0, 0.2}}
//	s.Push(scheduler.Item[string]{ID: "a", Rank: 1, Kind: "query", Cost: cost, Value: "a"})
//	item, ok := s.Pop()
//
// It is not safe for concurrent use; the reducer owns it.
package scheduler

import (
	"container/list"
	"time"
)

// maxCredit bounds saved-up credit, in pieces of the rank's own work.
const maxCredit = 4

// Item is one piece of waiting work.
type Item[T any] struct {
	ID   string
	Rank int
	Kind string
	// Cost is the slot time that the work is expected to take.
	Cost  time.Duration
	Value T
}

// Scheduler holds waiting work. Set Floors before the first Push: one share
// of slot time per rank, most urgent rank first, their sum below 1.
type Scheduler[T any] struct {
	Floors []float64

	ranks []*rankQueue[T]
	items map[string]*list.Element
}

type rankQueue[T any] struct {
	kinds  map[string]*kindQueue[T]
	order  []*kindQueue[T]
	length int
	credit time.Duration
	// pass is the virtual time at which the rank last served a kind.
	pass time.Duration
}

type kindQueue[T any] struct {
	name  string
	items *list.List
	pass  time.Duration
}

// Push adds an item. An ID that is already waiting is refused with false.
func (s *Scheduler[T]) Push(item Item[T]) bool {
	if s.items == nil {
		s.items = make(map[string]*list.Element)
	}
	if _, ok := s.items[item.ID]; ok {
		return false
	}
	q := s.rank(item.Rank)
	k := q.kind(item.Kind)
	if k.items.Len() == 0 {
		k.pass = max(k.pass, q.pass)
	}
	s.items[item.ID] = k.items.PushBack(item)
	q.length++
	return true
}

// Peek returns the item whose turn it is and leaves it waiting.
func (s *Scheduler[T]) Peek() (Item[T], bool) {
	r := s.nextRank()
	if r < 0 {
		return Item[T]{}, false
	}
	return s.ranks[r].nextKind().items.Front().Value.(Item[T]), true
}

// Pop takes the item whose turn it is and counts its slot time.
func (s *Scheduler[T]) Pop() (Item[T], bool) {
	item, ok := s.Peek()
	if !ok {
		return item, false
	}
	q := s.ranks[item.Rank]
	k := q.kind(item.Kind)
	s.drop(k, item)
	q.pass = max(q.pass, k.pass)
	k.pass += item.Cost
	s.charge(item.Rank, item.Cost)
	return item, true
}

// Remove takes out a waiting item, for example because its caller is gone. It
// costs the item's rank and kind nothing.
func (s *Scheduler[T]) Remove(id string) bool {
	e, ok := s.items[id]
	if !ok {
		return false
	}
	item := e.Value.(Item[T])
	s.drop(s.rank(item.Rank).kind(item.Kind), item)
	return true
}

// Len returns the number of items waiting in all ranks.
func (s *Scheduler[T]) Len() int {
	return len(s.items)
}

// Waiting returns the number of items of a kind that wait.
func (s *Scheduler[T]) Waiting(rank int, kind string) int {
	return s.rank(rank).kind(kind).items.Len()
}

// Ahead returns how many pieces of work, counted in turns of all slots
// together, a new item of a rank and kind would wait for. It takes the better
// of strict order and the rank's floor.
func (s *Scheduler[T]) Ahead(rank int, kind string) float64 {
	q := s.rank(rank)
	return s.ahead(rank, min(q.length, (q.kind(kind).items.Len()+1)*q.active()))
}

// AheadOfRank is Ahead for a kind that takes turns with all others of its rank.
func (s *Scheduler[T]) AheadOfRank(rank int) float64 {
	return s.ahead(rank, s.rank(rank).length)
}

func (s *Scheduler[T]) ahead(rank, same int) float64 {
	ahead := same
	for r := range rank {
		ahead += s.ranks[r].length
	}
	// Less urgent ranks that wait take their floors out of the slots.
	left := 1.0
	for r := rank + 1; r < len(s.ranks); r++ {
		if s.ranks[r].length > 0 {
			left -= s.floor(r)
		}
	}
	strict := float64(ahead) / left
	if floor := s.floor(rank); floor > 0 {
		return min(strict, float64(same)/floor)
	}
	return strict
}

func (s *Scheduler[T]) drop(k *kindQueue[T], item Item[T]) {
	k.items.Remove(s.items[item.ID])
	delete(s.items, item.ID)
	q := s.ranks[item.Rank]
	q.length--
	if q.length == 0 {
		q.credit = 0
	}
}

// nextRank prefers a rank whose floor is owed, the least urgent of those
// first, since urgent ranks are served anyway.
func (s *Scheduler[T]) nextRank() int {
	for r := len(s.ranks) - 1; r >= 0; r-- {
		q := s.ranks[r]
		if q.length > 0 && q.credit > 0 && q.credit >= q.headCost() {
			return r
		}
	}
	for r, q := range s.ranks {
		if q.length > 0 {
			return r
		}
	}
	return -1
}

func (s *Scheduler[T]) charge(rank int, cost time.Duration) {
	for r, q := range s.ranks {
		if q.length == 0 {
			continue
		}
		q.credit += time.Duration(s.floor(r) * float64(cost))
		q.credit = min(q.credit, maxCredit*q.headCost())
	}
	q := s.ranks[rank]
	q.credit = max(0, q.credit-cost)
}

func (s *Scheduler[T]) floor(rank int) float64 {
	if rank >= len(s.Floors) {
		return 0
	}
	return s.Floors[rank]
}

func (s *Scheduler[T]) rank(rank int) *rankQueue[T] {
	for len(s.ranks) <= rank {
		s.ranks = append(s.ranks, &rankQueue[T]{kinds: make(map[string]*kindQueue[T])})
	}
	return s.ranks[rank]
}

func (q *rankQueue[T]) kind(name string) *kindQueue[T] {
	k, ok := q.kinds[name]
	if !ok {
		k = &kindQueue[T]{name: name, items: list.New()}
		q.kinds[name] = k
		q.order = append(q.order, k)
	}
	return k
}

func (q *rankQueue[T]) active() int {
	n := 0
	for _, k := range q.order {
		if k.items.Len() > 0 {
			n++
		}
	}
	return max(1, n)
}

func (q *rankQueue[T]) nextKind() *kindQueue[T] {
	var best *kindQueue[T]
	for _, k := range q.order {
		if k.items.Len() == 0 {
			continue
		}
		if best == nil || k.pass < best.pass {
			best = k
		}
	}
	return best
}

func (q *rankQueue[T]) headCost() time.Duration {
	k := q.nextKind()
	if k == nil {
		return 0
	}
	return k.items.Front().Value.(Item[T]).Cost
}
