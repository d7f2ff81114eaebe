package accountant

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// fill borrows in steps until the accountant refuses, and returns the bytes lent.
func fill(a *Accountant, h traffic.Holder, rank int) int64 {
	for a.Borrow(traffic.Loan{Holder: h, Rank: rank, Bytes: 1}) {
	}
	return a.Lent()
}

// A flood of large bodies or responses: each holder in turn finds room that those which give
// way before it can't take, and requests that need little find some to the last.
func TestHoldersGiveWayInOrder(t *testing.T) {
	a := &Accountant{Limit: 1000}
	last := int64(0)
	for _, step := range []struct {
		holder traffic.Holder
		rank   int
	}{
		{traffic.BodyMemory, 9},
		{traffic.BodyMemory, 2},
		{traffic.BodyMemory, 1},
		{traffic.BodyMemory, 0},
		{traffic.ResponseMemory, 0},
		{traffic.OnceResponseMemory, 0},
		{traffic.RequestMemory, 0},
	} {
		lent := fill(a, step.holder, step.rank)
		assert.Assert(t, lent > last, "nothing was left for %v", step)
		last = lent
	}
	assert.Assert(t, last < a.Limit)
}

// Guards against urgent requests that are refused since many of a lower rank are in progress:
// callers that read large responses slowly keep what each request needs for seconds. Each rank
// down to the third leaves room for those above it.
func TestUrgentRequestsFindRoomBesideOthers(t *testing.T) {
	a := &Accountant{Limit: 1000}
	last := int64(0)
	for _, rank := range []int{9, 2, 1, 0} {
		lent := fill(a, traffic.RequestMemory, rank)
		assert.Assert(t, lent > last, "nothing was left for rank %d", rank)
		last = lent
	}
}

// A body that is large for the machine is not refused for ever: it finds room while there is
// no other one.
func TestLargeBodyOnASmallMachine(t *testing.T) {
	a := &Accountant{Limit: 1000}
	body := traffic.Loan{Holder: traffic.BodyMemory, Rank: 9, Bytes: 450}
	small := traffic.Loan{Holder: traffic.BodyMemory, Rank: 9, Bytes: 1}
	assert.Assert(t, a.Borrow(body))
	assert.Assert(t, !a.Borrow(small))
	a.Return(body)
	assert.Assert(t, a.Borrow(small))
	assert.Assert(t, !a.Borrow(body))
}

// A rank that makes no sense has neither more room than the most urgent one nor none.
func TestRanksThatMakeNoSense(t *testing.T) {
	urgent := fill(&Accountant{Limit: 1000}, traffic.BodyMemory, 0)
	assert.Equal(t, fill(&Accountant{Limit: 1000}, traffic.BodyMemory, -1<<62), urgent)
	lent := fill(&Accountant{Limit: 1000}, traffic.BodyMemory, 1<<62)
	assert.Assert(t, lent > 0 && lent < urgent, "%d", lent)
}

func TestRefusalsTellWhatIsLent(t *testing.T) {
	var refused []traffic.Loan
	a := &Accountant{Limit: 1000, Refused: func(loan traffic.Loan, lent int64) {
		assert.Equal(t, lent, int64(500))
		refused = append(refused, loan)
	}}
	a.Charge(traffic.Loan{Holder: traffic.ConnectionMemory, Bytes: 500})
	loan := traffic.Loan{Holder: traffic.BodyMemory, Rank: 1, Bytes: 1}
	assert.Assert(t, !a.Borrow(loan))
	assert.DeepEqual(t, refused, []traffic.Loan{loan})
	assert.Equal(t, a.Lent(), int64(500))
}

// What is in use already is counted even beyond the limit, and then nothing is lent.
func TestChargesBeyondTheLimit(t *testing.T) {
	a := &Accountant{Limit: 1000}
	loan := traffic.Loan{Holder: traffic.ConnectionMemory, Bytes: 5000}
	a.Charge(loan)
	assert.Assert(t, !a.Borrow(traffic.Loan{Holder: traffic.RequestMemory, Bytes: 1}))
	a.Return(loan)
	assert.Assert(t, a.Borrow(traffic.Loan{Holder: traffic.RequestMemory, Bytes: 1}))
}

// Callers that keep thousands of connections: those beyond half of the memory go after their
// response, and what else is on loan does not count.
func TestManyKeptConnections(t *testing.T) {
	a := &Accountant{Limit: 1000}
	connection := traffic.Loan{Holder: traffic.ConnectionMemory, Bytes: 250}
	fill(a, traffic.ResponseMemory, 0)
	a.Charge(connection)
	a.Charge(connection)
	assert.Assert(t, a.KeepsConnections())
	a.Charge(connection)
	assert.Assert(t, !a.KeepsConnections())
	a.Return(connection)
	assert.Assert(t, a.KeepsConnections())
}

// Whatever the order of loans and returns, the sums agree and end at zero.
func TestRandomLoansEndAtZero(t *testing.T) {
	holders := []traffic.Holder{traffic.RequestMemory, traffic.BodyMemory, traffic.OnceResponseMemory, traffic.ResponseMemory}
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		a := &Accountant{Limit: 1 << 20}
		var loans []traffic.Loan
		for range 300 {
			loan := traffic.Loan{Holder: holders[random.IntN(len(holders))], Rank: random.IntN(4), Bytes: random.Int64N(1 << 16)}
			if random.IntN(2) == 0 && a.Borrow(loan) {
				loans = append(loans, loan)
			}
			if random.IntN(3) == 0 && len(loans) > 0 {
				a.Return(loans[0])
				loans = loans[1:]
			}
			sum := int64(0)
			for _, bytes := range a.Held() {
				sum += bytes
			}
			assert.Equal(t, sum, a.Lent(), "seed %d", seed)
			assert.Assert(t, a.Lent() <= a.Limit, "seed %d", seed)
		}
		for _, loan := range loans {
			a.Return(loan)
		}
		assert.Equal(t, a.Lent(), int64(0), "seed %d", seed)
	}
}

func BenchmarkLoan(b *testing.B) {
	a := &Accountant{Limit: 1 << 30}
	loan := traffic.Loan{Holder: traffic.RequestMemory, Bytes: 48 << 10}
	for b.Loop() {
		a.Borrow(loan)
		a.Return(loan)
	}
}
