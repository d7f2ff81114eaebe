// Package scheduler queues work by rank, shares the slot time of a rank fairly
// among its kinds, and guarantees every rank a minimum share of slot time, its
// floor.
//
// Ranks have strict priority, with one exception: while a rank has work waiting
// it earns credit, its floor times the slot time given to any rank. Once the
// credit covers the rank's next item, that item goes first. Within a rank,
// start-time fair queueing orders the kinds by the slot time they have used, so
// that many requests of one kind do not starve the others. Within a kind, items
// are served first in, first out.
//
// Usage:
//
//	s := scheduler.Scheduler[string]{Floors: []float64{0, 0.2}}
//	s.Push(scheduler.Item[string]{ID: "a", Rank: 1, Kind: "query", Cost: cost, Value: "a"})
//	item, ok := s.Pop()
//
// A Scheduler is not safe for concurrent use; the reducer owns it.
package scheduler

import (
	"container/list"
	"time"
)

// maxCredit limits the credit that a rank can accumulate, as a multiple of the
// cost of its next item.
const maxCredit = 4

// Item is one queued piece of work.
type Item[T any] struct {
	ID   string
	Rank int
	Kind string
	// Cost is the expected slot time of the work.
	Cost  time.Duration
	Value T
}

// Scheduler queues work. Floors holds the minimum share of slot time of each
// rank, the most urgent rank first. The sum must be below 1. Set Floors before
// the first Push; it may be replaced later.
type Scheduler[T any] struct {
	Floors []float64

	ranks []*rankQueue[T]
	items map[string]*list.Element
}

type rankQueue[T any] struct {
	kinds     map[string]*kindQueue[T]
	kindOrder []*kindQueue[T]
	length    int
	credit    time.Duration
	// virtualTime is the largest start tag of a kind that was served. A kind that
	// becomes active again starts here, and so gains nothing from being idle.
	virtualTime time.Duration
}

type kindQueue[T any] struct {
	name  string
	items *list.List
	// virtualTime is the start tag of the kind's next item.
	virtualTime time.Duration
}

// Push adds an item. It returns false if an item with the same ID is waiting.
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
		k.virtualTime = max(k.virtualTime, q.virtualTime)
	}
	s.items[item.ID] = k.items.PushBack(item)
	q.length++
	return true
}

// Peek returns the next item without removing it.
func (s *Scheduler[T]) Peek() (Item[T], bool) {
	r := s.nextRank()
	if r < 0 {
		return Item[T]{}, false
	}
	return s.ranks[r].nextKind().items.Front().Value.(Item[T]), true
}

// Pop removes the next item and charges its slot time to its rank and kind.
func (s *Scheduler[T]) Pop() (Item[T], bool) {
	item, ok := s.Peek()
	if !ok {
		return item, false
	}
	q := s.ranks[item.Rank]
	k := q.kind(item.Kind)
	s.dequeue(k, item)
	q.virtualTime = max(q.virtualTime, k.virtualTime)
	k.virtualTime += item.Cost
	s.charge(item.Rank, item.Cost)
	return item, true
}

// Remove removes a waiting item, for example because its caller has disconnected.
// Its rank and kind are not charged for it.
func (s *Scheduler[T]) Remove(id string) bool {
	e, ok := s.items[id]
	if !ok {
		return false
	}
	item := e.Value.(Item[T])
	s.dequeue(s.rank(item.Rank).kind(item.Kind), item)
	return true
}

// Len returns the number of items waiting in all ranks.
func (s *Scheduler[T]) Len() int {
	return len(s.items)
}

// Waiting returns the number of waiting items of a rank and kind.
func (s *Scheduler[T]) Waiting(rank int, kind string) int {
	return s.rank(rank).kind(kind).items.Len()
}

// ItemsAhead estimates how many items all slots together would serve before a new
// item of a rank and kind. It is the smaller of the estimates for strict priority
// and for the rank's floor.
func (s *Scheduler[T]) ItemsAhead(rank int, kind string) float64 {
	q := s.rank(rank)
	return s.estimateAhead(rank, min(q.length, (q.kind(kind).items.Len()+1)*q.activeKinds()))
}

// ItemsAheadInRank is like ItemsAhead, but counts every waiting item of the rank,
// whatever its kind.
func (s *Scheduler[T]) ItemsAheadInRank(rank int) float64 {
	return s.estimateAhead(rank, s.rank(rank).length)
}

func (s *Scheduler[T]) estimateAhead(rank, sameRank int) float64 {
	itemsAhead := sameRank
	for r := range rank {
		itemsAhead += s.ranks[r].length
	}
	// The floors of less urgent ranks with waiting items reduce the slot time
	// that is left for this rank.
	remaining := 1.0
	for r := rank + 1; r < len(s.ranks); r++ {
		if s.ranks[r].length > 0 {
			remaining -= s.floor(r)
		}
	}
	strictEstimate := float64(itemsAhead) / remaining
	if floor := s.floor(rank); floor > 0 {
		return min(strictEstimate, float64(sameRank)/floor)
	}
	return strictEstimate
}

func (s *Scheduler[T]) dequeue(k *kindQueue[T], item Item[T]) {
	k.items.Remove(s.items[item.ID])
	delete(s.items, item.ID)
	q := s.ranks[item.Rank]
	q.length--
	if q.length == 0 {
		q.credit = 0
	}
}

// nextRank returns the rank to serve next, or -1 if nothing is waiting. Ranks with
// enough credit for their next item come first, the least urgent before the
// others, since more urgent ranks also have priority without credit.
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

// charge gives the waiting ranks credit for slot time that was used, and deducts
// the cost from the credit of the rank that used it.
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

// rank returns the queue of a rank and creates it if needed.
func (s *Scheduler[T]) rank(rank int) *rankQueue[T] {
	for len(s.ranks) <= rank {
		s.ranks = append(s.ranks, &rankQueue[T]{kinds: make(map[string]*kindQueue[T])})
	}
	return s.ranks[rank]
}

// kind returns the queue of a kind and creates it if needed.
func (q *rankQueue[T]) kind(name string) *kindQueue[T] {
	k, ok := q.kinds[name]
	if !ok {
		k = &kindQueue[T]{name: name, items: list.New()}
		q.kinds[name] = k
		q.kindOrder = append(q.kindOrder, k)
	}
	return k
}

// activeKinds returns the number of kinds with waiting items, but at least 1.
func (q *rankQueue[T]) activeKinds() int {
	n := 0
	for _, k := range q.kindOrder {
		if k.items.Len() > 0 {
			n++
		}
	}
	return max(1, n)
}

func (q *rankQueue[T]) nextKind() *kindQueue[T] {
	var next *kindQueue[T]
	for _, k := range q.kindOrder {
		if k.items.Len() == 0 {
			continue
		}
		if next == nil || k.virtualTime < next.virtualTime {
			next = k
		}
	}
	return next
}

func (q *rankQueue[T]) headCost() time.Duration {
	k := q.nextKind()
	if k == nil {
		return 0
	}
	return k.items.Front().Value.(Item[T]).Cost
}
