package predictor_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/predictor"
)

const usual = 300 * time.Millisecond

// learned returns a predictor of work of which a share takes seven times as long.
func learned(share float64, cutAt time.Duration) *predictor.Predictor {
	random := rand.New(rand.NewPCG(1, 1))
	p := &predictor.Predictor{Initial: time.Second}
	for range 2000 {
		took := time.Duration(float64(usual) * (0.85 + 0.3*random.Float64()))
		if random.Float64() < share {
			took *= 7
		}
		if cutAt > 0 && took > cutAt {
			p.ObserveCut(cutAt)
		} else {
			p.Observe(took)
		}
	}
	return p
}

func assertNear(t *testing.T, got, want time.Duration) {
	t.Helper()
	assert.Assert(t, got > want*8/10 && got < want*12/10, "%v in place of about %v", got, want)
}

func TestInitialMeanGivesWayToSamples(t *testing.T) {
	p := predictor.Predictor{Initial: time.Second}
	assert.Equal(t, p.Mean(), time.Second)
	assert.Equal(t, p.Remaining(time.Minute), time.Second)
	assert.Equal(t, p.MeanRemaining(), time.Second)
	for range 8 {
		p.Observe(usual)
	}
	assert.Assert(t, p.Reliable())
	assertNear(t, p.Mean(), usual)
}

// Even work ends soon after its mean: what has run for long is nearly done.
func TestEvenWork(t *testing.T) {
	p := learned(0, 0)
	assertNear(t, p.Mean(), usual)
	assertNear(t, p.Remaining(200*time.Millisecond), 100*time.Millisecond)
	assertNear(t, p.MeanRemaining(), usual/2)
	_, ok := p.FirstTime(func(_, remaining time.Duration) bool { return remaining > 2*usual })
	assert.Assert(t, !ok)
}

// Work that has outlived the usual time is of the long tail, and will run for longer.
func TestLongTail(t *testing.T) {
	p := learned(0.1, 0)
	assertNear(t, p.Mean(), usual*16/10)
	assertNear(t, p.Median(), usual)
	assertNear(t, p.Remaining(500*time.Millisecond), 7*usual-500*time.Millisecond)
	after, ok := p.FirstTime(func(_, remaining time.Duration) bool { return remaining > 2*p.Mean() })
	assert.Assert(t, ok)
	assert.Assert(t, after > usual && after < 2*usual, "after %v", after)
	assert.Assert(t, p.Exceeding(2*usual) > 0.05 && p.Exceeding(2*usual) < 0.2)
	assert.Assert(t, p.MeanRemaining() > p.Mean(), "running work is more often of the tail than new work")
}

// Work that is always cut off before its end is still known to be long.
func TestTailThatIsAlwaysCut(t *testing.T) {
	p := learned(0.1, time.Second)
	assert.Assert(t, p.Remaining(500*time.Millisecond) > time.Second)
	assert.Assert(t, p.Exceeding(999*time.Millisecond) > 0.05)
	assert.Equal(t, p.Remaining(time.Minute), p.Mean(), "nothing is known of work that takes so long")
}

// What was usual before is forgotten after some hundred samples, however many there were.
func TestEarlierSamplesFade(t *testing.T) {
	p := predictor.Predictor{Initial: usual}
	for range 100_000 {
		p.Observe(usual)
	}
	for range 800 {
		p.Observe(4 * usual)
	}
	assertNear(t, p.Mean(), 4*usual)
	p.Observe(0)
	p.Observe(24 * time.Hour)
	assert.Assert(t, p.Mean() > 0)
}

// A tail that has not been seen for very long leaves no weight so small that a cut sample
// would scale it beyond all numbers.
func TestTailThatHasFadedAway(t *testing.T) {
	for _, samples := range []int{183_000, 186_000, 189_000, 192_000, 195_000} {
		p := predictor.Predictor{Initial: usual}
		p.Observe(30 * time.Second)
		for range samples {
			p.Observe(usual)
		}
		p.ObserveCut(time.Second)
		assertNear(t, p.Mean(), usual)
		assert.Assert(t, p.Remaining(0) > 0 && p.Remaining(500*time.Millisecond) > 0, "%v", p.Remaining(500*time.Millisecond))
		assert.Assert(t, p.MeanRemaining() > 0 && p.MeanRemaining() < time.Minute)
	}
}
