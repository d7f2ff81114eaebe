package carrier

import "github.com/yuccathread/yuccathread/internal/traffic"

// LendQuota returns what this instance lends to another one.
func (c *Carrier) LendQuota(q traffic.QuotaQuery) traffic.QuotaReply {
	return ask[traffic.QuotaReply](c, traffic.QuotaWanted{Query: q})
}

// askLender sends a query to a lender of quotas.
func (c *Carrier) askLender(e traffic.AskLender) {
	go func() {
		reply, err := c.AskLender(e.Address, e.Query)
		if err != nil {
			c.Handle(traffic.LenderFailed{Number: e.Number, Err: err})
			return
		}
		c.Handle(traffic.QuotaLent{Number: e.Number, Reply: reply})
	}()
}
