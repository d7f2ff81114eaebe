// Package budgeter bounds retries to a fraction of first tries.
//
// Usage:
//
//	b := budgeter.Budgeter{Fraction: 0.1, Burst: 10}
//	b.Deposit()        // one first try
//	if b.Withdraw() {  // one retry
//		...
//	}
package budgeter

// Budgeter counts retries against first tries. It starts with a full burst.
type Budgeter struct {
	// Fraction is the number of retries that one first try pays for.
	Fraction float64
	// Burst is the largest number of retries saved up.
	Burst int

	spent float64
}

// Deposit counts a first try.
func (b *Budgeter) Deposit() {
	b.spent = max(0, b.spent-b.Fraction)
}

// Withdraw takes one retry and returns false if none is left.
func (b *Budgeter) Withdraw() bool {
	if b.spent+1 > float64(b.Burst) {
		return false
	}
	b.spent++
	return true
}
