// Package compactor keeps the newest change of each key, in the order of revisions. It
// answers what has changed after a revision without what has been changed again since, so
// that its size is bounded by the number of keys.
//
// Usage:
//
//	c := compactor.Compactor[string, Event]{Max: 4096}
//	c.Reset(after)
//	c.Add("server/s1", 17, event)
//	for revision, event := range c.After(12) { ... }
package compactor

import (
	"cmp"
	"iter"
	"slices"
)

// Compactor is a log of changes. The zero value is empty and complete from revision 0 on.
type Compactor[K comparable, V any] struct {
	// Max is the number of changes to keep; the oldest ones are dropped. Zero keeps all.
	Max int

	from int64
	// entries are in the order of revisions. Those that were changed again stay as dead
	// ones until there are more of them than of the others.
	entries []entry[K, V]
	dead    int
	newest  map[K]int64
}

type entry[K comparable, V any] struct {
	key      K
	revision int64
	value    V
	dead     bool
}

// Reset empties the log, which is then complete after a revision.
func (c *Compactor[K, V]) Reset(from int64) {
	c.from, c.entries, c.dead = from, nil, 0
	c.newest = make(map[K]int64)
}

// From returns the revision after which no change is missing.
func (c *Compactor[K, V]) From() int64 {
	return c.from
}

// Len returns the number of changes that are kept.
func (c *Compactor[K, V]) Len() int {
	return len(c.entries) - c.dead
}

// Add adds a change. Its revision must be at least that of the change added last.
func (c *Compactor[K, V]) Add(key K, revision int64, value V) {
	if c.newest == nil {
		c.newest = make(map[K]int64)
	}
	if former, ok := c.newest[key]; ok {
		c.kill(key, former)
	}
	c.newest[key] = revision
	c.entries = append(c.entries, entry[K, V]{key: key, revision: revision, value: value})
	if c.dead > len(c.entries)/2 {
		c.sweep()
	}
	if c.Max > 0 && c.Len() > c.Max {
		c.dropOldest()
	}
}

// After returns the changes after a revision, each with its own.
func (c *Compactor[K, V]) After(revision int64) iter.Seq2[int64, V] {
	return func(yield func(int64, V) bool) {
		for _, e := range c.entries[c.index(revision+1):] {
			if !e.dead && !yield(e.revision, e.value) {
				return
			}
		}
	}
}

// index returns the index of the first entry with at least a revision.
func (c *Compactor[K, V]) index(revision int64) int {
	i, _ := slices.BinarySearchFunc(c.entries, revision, func(e entry[K, V], r int64) int { return cmp.Compare(e.revision, r) })
	return i
}

// kill marks the entry of a key as changed again, and forgets its value.
func (c *Compactor[K, V]) kill(key K, revision int64) {
	for i := c.index(revision); i < len(c.entries); i++ {
		if e := &c.entries[i]; e.key == key && !e.dead {
			var none V
			e.value, e.dead = none, true
			c.dead++
			return
		}
	}
}

func (c *Compactor[K, V]) sweep() {
	c.entries = slices.DeleteFunc(c.entries, func(e entry[K, V]) bool { return e.dead })
	c.dead = 0
}

// dropOldest drops a quarter of the changes, so that it is seldom done, and with them all
// of the same revision as the last.
func (c *Compactor[K, V]) dropOldest() {
	c.sweep()
	c.from = c.entries[len(c.entries)-c.Max*3/4-1].revision
	cut := c.index(c.from + 1)
	for _, e := range c.entries[:cut] {
		delete(c.newest, e.key)
	}
	c.entries = slices.Clone(c.entries[cut:])
}
