package matcher

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type entry struct{ host, prefix string }

// search compares a path with each entry.
func search(entries []entry, host, path string) (best entry, ok bool) {
	for _, e := range entries {
		if strings.EqualFold(e.host, host) && strings.HasPrefix(path, e.prefix) && len(e.prefix) > len(best.prefix) {
			best, ok = e, true
		}
	}
	return best, ok
}

func randomPath(random *rand.Rand) string {
	var b strings.Builder
	b.WriteByte('/')
	for range random.IntN(5) {
		b.WriteString([]string{"a", "b", "", "%2F", "ab", "."}[random.IntN(6)])
		b.WriteByte('/')
	}
	return b.String()
}

// The result is that of a search among all entries, whatever the paths.
func TestMatchesAsASearchAmongAll(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 3))
		var m Matcher[entry]
		var entries []entry
		for range random.IntN(30) {
			e := entry{host: []string{"shop.example", "Other.example"}[random.IntN(2)], prefix: randomPath(random)}
			entries = append(entries, e)
			m.Add(e.host, e.prefix, e)
		}
		for range 60 {
			host := []string{"shop.example", "SHOP.example", "other.example", "none.example"}[random.IntN(4)]
			path := randomPath(random) + []string{"", "x", "ab"}[random.IntN(3)]
			if random.IntN(20) == 0 {
				path = path[1:]
			}
			wanted, wantedOK := search(entries, host, path)
			found, ok := m.Match(host, path)
			assert.Equal(t, ok, wantedOK, "seed %d: %s %s", seed, host, path)
			assert.Equal(t, found.prefix, wanted.prefix, "seed %d: %s %s", seed, host, path)
		}
	}
}

func filled(count int) *Matcher[int] {
	m := &Matcher[int]{}
	for n := range count {
		m.Add(fmt.Sprintf("shop%d.example", n%8), fmt.Sprintf("/x%d/", n), n)
	}
	return m
}

// cost returns the shortest time of several rounds of searches.
func cost(m *Matcher[int], path string) time.Duration {
	shortest := time.Hour
	for range 7 {
		started := time.Now()
		for range 1000 {
			m.Match("shop1.example", path)
		}
		shortest = min(shortest, time.Since(started)/1000)
	}
	return shortest
}

// Guards against requests that wait for each other's search in a large configuration: with
// ten thousand routes it takes about as long as with ten. A search among all took a thousand
// times as long.
func TestSearchAmongManyEntries(t *testing.T) {
	few, many := cost(filled(10), "/x1/a/b"), cost(filled(10_000), "/x1/a/b")
	assert.Assert(t, many < 20*few, "%v in place of %v", many, few)
}

// A path of thousands of slashes costs no more than the longest prefix is long.
func TestPathOfManySlashes(t *testing.T) {
	m := filled(10_000)
	short, long := cost(m, "/x1//////"), cost(m, "/x1"+strings.Repeat("/", 16<<10))
	assert.Assert(t, long < 20*short, "%v in place of %v", long, short)
}

func BenchmarkMatch(b *testing.B) {
	for _, count := range []int{10, 1000, 10_000} {
		m := filled(count)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				m.Match("shop1.example", "/x1/a/b")
			}
		})
	}
}
