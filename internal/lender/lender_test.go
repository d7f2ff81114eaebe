package lender

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/model"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

func bounds() traffic.Bounds {
	return traffic.Bounds{QuotaWindow: model.Duration{Duration: 5 * time.Second}, QuotaExcess: 0.1, QuotaSlack: 20}
}

// Guards against a quota that is passed at the worst time of use: all slots lend all they can,
// and each token is used at the end of its time or at once, whatever is worse for the window.
func TestNoWindowHoldsMoreThanTheRule(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 3))
		o := traffic.Organisation{PerSecond: random.Float64() * 400, Burst: random.Float64() * 400 * float64(seed%3)}
		b := bounds()
		if seed%2 == 0 {
			b.QuotaExcess, b.QuotaSlack = 0, 0
		}
		q := Divide(o, b, 1+int(seed%4))
		lenders := make([]Lender, q.Slots)
		start := time.Unix(1_800_000_000, 0)
		windowStart := start.Add(7 * time.Second)
		inWindow := 0
		for at := time.Duration(0); at < 12*time.Second; at += time.Duration(1 + random.Int64N(int64(60*time.Millisecond))) {
			now := start.Add(at)
			for i := range lenders {
				lenders[i].SetQuota(now, q)
				need := random.IntN(50)
				lot := lenders[i].Lend(now, traffic.QuotaWish{Need: need, Useful: need + random.IntN(50)})
				last := now.Add(lot.Lasts)
				if !last.Before(windowStart) && now.Before(windowStart.Add(b.QuotaWindow.Duration)) {
					inWindow += lot.Tokens
				}
			}
		}
		allowed := (o.PerSecond*5+o.Burst)*(1+b.QuotaExcess) + b.QuotaSlack
		assert.Assert(t, float64(inWindow) <= allowed+1e-6, "seed %d: %d used, %.1f allowed", seed, inWindow, allowed)
	}
}

// A quota is used up where there is demand for it, also if it has no burst.
func TestQuotaIsUsedUp(t *testing.T) {
	for _, burst := range []float64{0, 50, 500} {
		q := Divide(traffic.Organisation{PerSecond: 100, Burst: burst}, bounds(), 3)
		l := Lender{}
		now := time.Unix(1_800_000_000, 0)
		lent := 0
		for range 200 {
			l.SetQuota(now, q)
			lent += l.Lend(now, traffic.QuotaWish{Need: 1000}).Tokens
			now = now.Add(50 * time.Millisecond)
		}
		assert.Assert(t, lent*q.Slots >= 970, "burst %.0f: %d in 10 s", burst, lent*q.Slots)
	}
}

// A process lends nothing that the one before it may have lent a moment ago.
func TestLenderStartsEmpty(t *testing.T) {
	l := Lender{}
	now := time.Unix(1_800_000_000, 0)
	l.SetQuota(now, Divide(traffic.Organisation{PerSecond: 30, Burst: 300}, bounds(), 3))
	lot := l.Lend(now, traffic.QuotaWish{Need: 5})
	assert.Equal(t, lot.Tokens, 0)
	assert.Equal(t, lot.Wait, 500*time.Millisecond)
	assert.Equal(t, l.Lend(now.Add(lot.Wait), traffic.QuotaWish{Need: 5}).Tokens, 5)
}

// A quota of less than a token for each slot has fewer slots, and one that is almost nothing
// still lets a request through now and then.
func TestSmallQuota(t *testing.T) {
	q := Divide(traffic.Organisation{PerSecond: 0.5, Burst: 1}, traffic.Bounds{QuotaWindow: bounds().QuotaWindow}, 3)
	assert.Equal(t, q.Slots, 1)
	l := Lender{}
	now := time.Unix(1_800_000_000, 0)
	l.SetQuota(now, q)
	assert.Equal(t, l.Lend(now.Add(3*time.Second), traffic.QuotaWish{Need: 1}).Tokens, 1)
}

// A quota that is too large for an int lends all the same.
func TestHugeQuota(t *testing.T) {
	l := Lender{}
	now := time.Unix(1_800_000_000, 0)
	l.SetQuota(now, Divide(traffic.Organisation{PerSecond: 1e300, Burst: 1e300}, bounds(), 3))
	assert.Equal(t, l.Lend(now.Add(time.Second), traffic.QuotaWish{Need: 1000}).Tokens, 1000)
}

// A lower quota holds at once: what was saved up beyond it is lost.
func TestLowerQuota(t *testing.T) {
	l := Lender{}
	now := time.Unix(1_800_000_000, 0)
	l.SetQuota(now, Divide(traffic.Organisation{PerSecond: 100, Burst: 900}, traffic.Bounds{}, 1))
	now = now.Add(time.Minute)
	l.SetQuota(now, Divide(traffic.Organisation{PerSecond: 2, Burst: 3}, traffic.Bounds{}, 1))
	assert.Assert(t, l.Lend(now, traffic.QuotaWish{Need: 100}).Tokens <= 3)
}
