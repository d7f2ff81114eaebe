// Package accountant keeps account of the memory that grows with what callers and servers
// send. All holders borrow from one limit before they read, and return what they borrowed
// when they are done.
//
// Who gives way is decided by how far the limit may be used up when a holder wants more: the
// bodies of less urgent requests are refused first, then those of urgent ones, then responses
// are no longer held whole but passed on while they are read. The last part is for the small
// amount that each request in progress needs, so that what was sent to a server can always
// be answered; the most urgent requests have a part of it to themselves.
//
// Usage:
//
//	a := &accountant.Accountant{Limit: 92 << 20}
//	loan := traffic.Loan{Holder: traffic.BodyMemory, Rank: 1, Bytes: length}
//	if !a.Borrow(loan) {
//		...
//	}
//	defer a.Return(loan)
package accountant

import (
	"maps"
	"sync"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// The shares of the limit, in percent, up to which holders may borrow. Between two shares lies
// what the holder with the smaller one can never take from the other.
const (
	requestPercent      = 95
	onceResponsePercent = 65
	responsePercent     = 50
	bodyPercent         = 40
	headPercent         = 40
	// Each rank down to lowestRank may use rankPercent less for requests and bodies than the
	// one before it.
	rankPercent = 5
	lowestRank  = 3
	// connectionPercent is the share above which callers' connections are not kept.
	connectionPercent = 50
)

// MaxConnectionPercent is the share of the limit, in percent, that callers' connections may
// hold: above connectionPercent there is room for those that close with their next response.
const MaxConnectionPercent = 60

// Accountant counts borrowed bytes. Set the exported fields before the first loan.
type Accountant struct {
	// Limit is the number of bytes that all holders together may borrow.
	Limit int64
	// Refused is called with each loan that is refused and the bytes on loan at that moment;
	// it may be nil and must not block.
	Refused func(loan traffic.Loan, lent int64)

	mutex sync.Mutex
	lent  int64
	held  map[traffic.Holder]int64
}

// Borrow lends bytes, or returns false if the holder must do without.
func (a *Accountant) Borrow(loan traffic.Loan) bool {
	lent, ok := a.borrow(loan)
	if !ok && a.Refused != nil {
		a.Refused(loan, lent)
	}
	return ok
}

func (a *Accountant) borrow(loan traffic.Loan) (lent int64, ok bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.lent+loan.Bytes > a.ceiling(loan) {
		return a.lent, false
	}
	a.add(loan.Holder, loan.Bytes)
	return a.lent, true
}

// Charge lends bytes that are in use already, whatever the limit.
func (a *Accountant) Charge(loan traffic.Loan) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.add(loan.Holder, loan.Bytes)
}

// Return takes back a loan of Borrow or Charge, or a part of it.
func (a *Accountant) Return(loan traffic.Loan) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.add(loan.Holder, -loan.Bytes)
}

// KeepsConnections reports whether callers may keep their connections: these hold memory for
// requests that may never come.
func (a *Accountant) KeepsConnections() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.held[traffic.ConnectionMemory] <= a.Limit/100*connectionPercent
}

// Lent returns the bytes on loan.
func (a *Accountant) Lent() int64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.lent
}

// Held returns the bytes on loan by holder.
func (a *Accountant) Held() map[traffic.Holder]int64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return maps.Clone(a.held)
}

func (a *Accountant) add(h traffic.Holder, bytes int64) {
	if a.held == nil {
		a.held = make(map[traffic.Holder]int64)
	}
	a.lent += bytes
	a.held[h] += bytes
}

// ceiling returns the bytes that may be on loan after a loan.
func (a *Accountant) ceiling(loan traffic.Loan) int64 {
	rankDiscount := rankPercent * int64(min(max(loan.Rank, 0), lowestRank))
	percent := requestPercent - rankDiscount
	switch loan.Holder {
	case traffic.OnceResponseMemory:
		percent = onceResponsePercent
	case traffic.ResponseMemory:
		percent = responsePercent
	case traffic.HeadMemory:
		percent = headPercent
	case traffic.BodyMemory:
		percent = bodyPercent - rankDiscount
		if a.held[traffic.BodyMemory] == 0 {
			// Where memory is small, a large body can be accepted while there is no other.
			percent = responsePercent
		}
	}
	return a.Limit / 100 * percent
}
