package sharer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/sharer"
)

const (
	work = 100 * time.Millisecond
	step = 10 * time.Millisecond
)

var start = time.Unix(1_800_000_000, 0)

// demand is what an organisation of a rank sends.
type demand struct {
	rank      int
	name      string
	perSecond float64
}

// queue is the longest queue open to organisations within their share; from crowded on there
// counts as no room.
const queue, crowded = 10, 5

// play plays demands for some seconds where there is room for a number of requests per second
// and a queue, and returns what each got in the last five. Those beyond their share get only
// what is left without a queue.
func play(s *sharer.Sharer, room float64, seconds int, demands []demand) map[string]int {
	got := make(map[string]int)
	due := make([]float64, len(demands))
	now, free := start, 0.0
	for at := time.Duration(0); at < time.Duration(seconds)*time.Second; at += step {
		now = start.Add(at)
		free = min(free+room*step.Seconds(), 2)
		var beyond []demand
		admit := func(d demand, queue float64) {
			o := sharer.Outcome{Admitted: free > -queue, Fitting: free > -min(queue, crowded)}
			s.Settle(now, d.rank, d.name, work, o)
			if o.Admitted {
				free--
				if at >= time.Duration(seconds-5)*time.Second {
					got[d.name]++
				}
			}
		}
		for i, d := range demands {
			for due[i] += d.perSecond * step.Seconds(); due[i] >= 1; due[i]-- {
				if s.Offer(now, d.rank, d.name, work).Beyond {
					beyond = append(beyond, d)
					continue
				}
				admit(d, queue)
			}
		}
		for _, d := range beyond {
			admit(d, 0)
		}
	}
	return got
}

func newSharer() *sharer.Sharer {
	return &sharer.Sharer{Window: time.Second, Floors: []float64{0, 0.3, 0.15}, Horizon: 2 * time.Second}
}

func between(t *testing.T, got map[string]int, name string, low, high int) {
	t.Helper()
	assert.Check(t, got[name] >= low && got[name] <= high, "%s got %d, want %d to %d", name, got[name], low, high)
}

// Organisations that ask for less than the level get it all, and the others the same.
func TestRoomOfARankIsSharedMaxMinFairly(t *testing.T) {
	got := play(newSharer(), 100, 15, []demand{{0, "hot", 300}, {0, "large", 50}, {0, "small", 10}, {0, "tiny", 2}})
	between(t, got, "small", 48, 50)
	between(t, got, "tiny", 9, 10)
	between(t, got, "large", 205, 235)
	between(t, got, "hot", 205, 235)
}

// Room that nobody else asks for is anybody's.
func TestRoomForAllIsNotShared(t *testing.T) {
	s := newSharer()
	got := play(s, 100, 15, []demand{{0, "hot", 90}, {0, "small", 5}})
	between(t, got, "hot", 445, 450)
	assert.Assert(t, !s.Offer(start.Add(15*time.Second), 0, "hot", work).Short)
}

// The most urgent rank comes first, and the others keep their floors.
func TestRanksKeepTheirFloors(t *testing.T) {
	got := play(newSharer(), 100, 15, []demand{{0, "urgent", 200}, {1, "normal", 100}, {2, "background", 100}})
	between(t, got, "urgent", 240, 300)
	between(t, got, "normal", 135, 170)
	between(t, got, "background", 65, 90)
}

// Requests are weighed by their work: an organisation whose requests take four times as long
// gets a fourth of them.
func TestSharesAreOfWork(t *testing.T) {
	s := newSharer()
	now := start
	beyond := map[string]int{}
	for i := range 1000 {
		now = now.Add(step)
		for name, cost := range map[string]time.Duration{"long": 4 * work, "short": work} {
			share := s.Offer(now, 0, name, cost)
			fits := i%2 == 0
			s.Settle(now, 0, name, cost, sharer.Outcome{Admitted: !share.Beyond, Fitting: fits})
			if share.Beyond {
				beyond[name]++
			}
		}
	}
	assert.Assert(t, beyond["long"] > 500, "%v", beyond)
	assert.Equal(t, beyond["short"], 0)
}

// Refused requests come back in the order in which they were refused, at the rate of the
// level, and no later than the horizon.
func TestRefusedRequestsComeBackInTurn(t *testing.T) {
	s := newSharer()
	play(s, 100, 5, []demand{{0, "hot", 300}})
	now := start.Add(5 * time.Second)
	s.Offer(now, 0, "hot", work)
	var last time.Duration
	for i := range 400 {
		wait := s.Return(now, 0, "hot", work)
		assert.Assert(t, wait >= last && wait <= 2*time.Second)
		if i == 100 {
			assert.Assert(t, wait > 700*time.Millisecond && wait < 1300*time.Millisecond, "%v", wait)
		}
		last = wait
	}
	assert.Equal(t, last, 2*time.Second)
}

// What is kept of organisations is dropped when they are idle, also of 10,000.
func TestIdleOrganisationsAreForgotten(t *testing.T) {
	s := newSharer()
	for i := range 10_000 {
		s.Offer(start.Add(time.Duration(i)*100*time.Microsecond), 0, fmt.Sprint("o-", i), work)
	}
	assert.Assert(t, s.Organisations() <= 10_000)
	s.Offer(start.Add(10*time.Second), 0, "another", work)
	assert.Equal(t, s.Organisations(), 1)
}
