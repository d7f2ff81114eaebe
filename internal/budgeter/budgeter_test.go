package budgeter

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A budget that starts empty holds what first attempts add, whatever its burst is at the
// start and later.
func TestBudgetThatStartsEmpty(t *testing.T) {
	b := Budgeter{Fraction: 0.5, Burst: 40, StartsEmpty: true}
	b.Deposit()
	assert.Assert(t, !b.Withdraw())
	b.Deposit()
	assert.Assert(t, b.Withdraw())
	assert.Assert(t, !b.Withdraw())
	b.Burst = 4
	for range 100 {
		b.Deposit()
	}
	retries := 0
	for b.Withdraw() {
		retries++
	}
	assert.Equal(t, retries, 4)
}

func TestBudgetStartsWithItsBurst(t *testing.T) {
	b := Budgeter{Fraction: 0.1, Burst: 3}
	retries := 0
	for b.Withdraw() {
		retries++
	}
	assert.Equal(t, retries, 3)
}
