package relayer

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

var searchSeeds = flag.Int("search-seeds", 60, "number of random regions that follow a store")

// search follows a store with the instances of a region while anything may fail, and checks
// after each step what each instance knows and says of it.
type search struct {
	*region
	t *testing.T
	// draw is what happens, drawn from the region's seed.
	draw *rand.Rand
	// touchedAt holds until when each instance was last cut off from the store, and coreAt
	// until when the store was last disturbed for all.
	touchedAt []time.Time
	coreAt    time.Time
	trace     []string
}

func newSearch(t *testing.T, seed uint64) *search {
	s := &search{region: &region{history: newHistory(), times: times(), perEvent: 200 * time.Microsecond, seed: seed + 1}, t: t, draw: rand.New(rand.NewPCG(seed, 23))}
	s.lags = make(map[int]time.Duration)
	return s
}

func (s *search) notef(format string, values ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%8.3f s ", time.Since(s.coreAt).Seconds())+fmt.Sprintf(format, values...))
	s.trace = s.trace[max(0, len(s.trace)-25):]
}

// step lets something happen.
func (s *search) step() {
	n := s.draw.IntN(len(s.instances))
	x := s.instances[n]
	switch s.draw.IntN(15) {
	case 0, 1:
		x.dead.Store(!x.dead.Load())
		s.notef("instance %d dead for others: %v", n, x.dead.Load())
	case 2:
		if s.touchedAt[n].After(time.Now()) {
			return
		}
		length := time.Duration(s.draw.IntN(5000)) * time.Millisecond
		s.touchedAt[n] = time.Now().Add(length)
		x.client.disconnect()
		s.notef("instance %d loses the store for %v", n, length)
		time.AfterFunc(length, x.client.reconnect)
		time.Sleep(time.Millisecond)
	case 3:
		if s.draw.IntN(4) == 0 {
			s.history.drop()
			s.coreAt = time.Now()
			s.notef("history dropped")
		}
	case 4:
		go s.history.changeServers(50*s.draw.IntN(20), 3000)
		s.notef("servers change")
	case 5:
		if s.draw.IntN(4) == 0 {
			s.history.restore(s.draw.Int64N(30))
			s.coreAt = time.Now().Add(s.times.RestorationWait())
			s.notef("store restored from a copy")
		}
	default:
		s.history.change()
		s.notef("version %d", s.history.revision)
	}
}

// newestBefore returns the newest version of the policy that was made before a time.
func (s *search) newestBefore(at time.Time) int64 {
	s.history.mutex.Lock()
	defer s.history.mutex.Unlock()
	newest := int64(0)
	for version, made := range s.history.madeAt {
		if made.Before(at) {
			newest = max(newest, version)
		}
	}
	return newest
}

func (s *search) check() {
	s.t.Helper()
	now := time.Now()
	bound := s.times.Bounds.Apply.Duration
	stable := s.times.Bounds.Reconnect.Duration
	for n, x := range s.instances {
		applied, fault := s.state(x)
		assert.Equal(s.t, fault, "", "seed %d, instance %d", s.seed-1, n)
		age := x.relayer.Age()
		if known := s.newestBefore(now.Add(-age)); age > 0 && applied < known {
			s.fail("instance %d says that what it knows is %v old, and lacks version %d (it has %d)", n, age, known, applied)
		}
		if now.Sub(s.touchedAt[n]) < stable || now.Sub(s.coreAt) < stable {
			continue
		}
		if due := s.newestBefore(now.Add(-bound)); applied < due {
			s.fail("instance %d is in touch and has version %d, %d was made more than %v ago", n, applied, due, bound)
		}
	}
}

func (s *search) fail(format string, values ...any) {
	s.t.Helper()
	for _, line := range s.trace {
		s.t.Log(line)
	}
	s.t.Fatalf("seed %d: %s", s.seed-1, fmt.Sprintf(format, values...))
}

// Guards against CONFIG, DRAIN and EVAC, the news that comes late and instances that don't
// know it: whatever fails in whatever order, an instance that reaches the store has each
// version within the bound, and none takes itself to be more up to date than it is.
func TestSearchOfLateNews(t *testing.T) {
	for seed := range uint64(*searchSeeds) {
		synctest.Test(t, func(t *testing.T) {
			ctx, end := startTest(t)
			defer end()
			s := newSearch(t, seed)
			count := 2 + s.draw.IntN(28)
			readers := 2 + s.draw.IntN(min(3, count-1))
			for n := range count {
				s.lags[n] = time.Duration(s.draw.IntN(20)) * time.Millisecond
			}
			s.touchedAt = make([]time.Time, count)
			s.coreAt = time.Now()
			s.start(ctx, count, readers)
			time.Sleep(10 * time.Second)
			for range 120 {
				time.Sleep(time.Duration(s.draw.IntN(400)) * time.Millisecond)
				s.step()
				synctest.Wait()
				s.check()
			}
			time.Sleep(15 * time.Second)
			synctest.Wait()
			s.check()
			for n, x := range s.instances {
				assert.Equal(t, x.applied, s.history.version(), "seed %d, instance %d at the end", seed, n)
			}
		})
	}
}
