package compactor

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func collect(c *Compactor[string, string], after int64) []string {
	var found []string
	for revision, value := range c.After(after) {
		found = append(found, fmt.Sprint(revision, value))
	}
	return found
}

func TestNewestOfEachKey(t *testing.T) {
	c := &Compactor[string, string]{}
	c.Reset(5)
	c.Add("a", 6, "a1")
	c.Add("b", 7, "b1")
	c.Add("c", 7, "c1")
	c.Add("a", 9, "a2")
	assert.DeepEqual(t, collect(c, 5), []string{"7b1", "7c1", "9a2"})
	assert.DeepEqual(t, collect(c, 7), []string{"9a2"})
	assert.Equal(t, len(collect(c, 9)), 0)
	assert.Equal(t, c.From(), int64(5))
	c.Reset(20)
	assert.Equal(t, len(collect(c, 0)), 0)
}

// Whatever is added, the changes after any revision that is covered lead to the same state
// as all changes would, and no more than Max are kept.
func TestChangesLeadToTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &Compactor[string, string]{Max: rapid.IntRange(4, 20).Draw(t, "max")}
		state := make(map[string]string)
		changedAt := make(map[string]int64)
		revision := int64(0)
		for n := range rapid.IntRange(0, 200).Draw(t, "changes") {
			revision += int64(rapid.IntRange(0, 2).Draw(t, "step"))
			key := fmt.Sprint("k", rapid.IntRange(0, 12).Draw(t, "key"))
			value := fmt.Sprint(key, "=", n)
			c.Add(key, revision, value)
			state[key], changedAt[key] = value, revision
			assert.Assert(t, c.Len() <= c.Max)
		}
		after := rapid.Int64Range(c.From(), max(revision, c.From())).Draw(t, "after")
		got, last := make(map[string]bool), int64(0)
		for r, value := range c.After(after) {
			assert.Assert(t, r >= last && r > after)
			got[value], last = true, r
		}
		for key, value := range state {
			assert.Equal(t, got[value], changedAt[key] > after, key)
		}
	})
}
