package traffic

import "time"

// QuotaQuery asks an instance that lends tokens of organisations' quotas for some.
type QuotaQuery struct {
	Wishes []QuotaWish
}

// QuotaWish is what an instance wants of one slot of an organisation's quota.
type QuotaWish struct {
	Organisation string
	// Slot is the index of the part of the quota.
	Slot int
	// Need is the number of tokens for what waits and what is expected soon, and Useful that
	// for what is expected while a long lot lasts.
	Need, Useful int
}

// QuotaReply holds a lot for each wish of a query, in their order.
type QuotaReply struct {
	Lots []QuotaLot
}

// QuotaLot is a number of tokens, each of which allows one attempt.
type QuotaLot struct {
	// Lends is set if the instance lends from this slot. Without it the other fields mean
	// nothing.
	Lends  bool
	Tokens int
	// Lasts is how long after the query was sent the tokens may be used.
	Lasts time.Duration
	// Wait is the time until the tokens that are missing are there.
	Wait time.Duration
}

// AskLender sends a query to the instance at an address. The result comes as a QuotaLent or a
// LenderFailed event with the same number.
type AskLender struct {
	Number  uint64
	Address string
	Query   QuotaQuery
}

// QuotaLent reports the reply to an AskLender.
type QuotaLent struct {
	Number uint64
	Reply  QuotaReply
}

// LenderFailed reports that an AskLender got no reply.
type LenderFailed struct {
	Number uint64
	Err    error
}

// QuotaWanted asks this instance, as a lender, on behalf of another one. The effect is a
// QuotaReply.
type QuotaWanted struct{ Query QuotaQuery }

func (AskLender) effect()   {}
func (QuotaReply) effect()  {}
func (QuotaLent) event()    {}
func (LenderFailed) event() {}
func (QuotaWanted) event()  {}
