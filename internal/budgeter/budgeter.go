// Package budgeter implements a retry budget: it limits retries to a fraction
// of first attempts.
//
// Usage:
//
//	b := budgeter.Budgeter{Fraction: 0.1, Burst: 10}
//	b.Deposit()        // one first attempt
//	if b.Withdraw() {  // one retry
//		...
//	}
package budgeter

// Budgeter is a retry budget. It starts with a full burst unless StartsEmpty is set.
type Budgeter struct {
	// Fraction is the number of retries that each first attempt adds to the budget.
	Fraction float64
	// Burst is the largest number of retries that the budget can hold.
	Burst int
	// StartsEmpty is set if the budget must be earned by first attempts from the start on,
	// since an earlier process may have spent the burst.
	StartsEmpty bool

	started bool
	spent   float64
}

// Deposit counts a first attempt.
func (b *Budgeter) Deposit() {
	b.start()
	b.spent = max(0, b.spent-b.Fraction)
}

// Withdraw takes one retry from the budget and returns true, or returns false
// if none is left.
func (b *Budgeter) Withdraw() bool {
	b.start()
	if b.spent+1 > float64(b.Burst) {
		return false
	}
	b.spent++
	return true
}

func (b *Budgeter) start() {
	if b.StartsEmpty && !b.started {
		b.spent = float64(b.Burst)
	}
	b.started = true
}
