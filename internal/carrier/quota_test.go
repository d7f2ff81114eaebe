package carrier

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/clock"
	"github.com/yuccathread/yuccathread/internal/steerer"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

// A request that needs a token waits for the reply of the lender, or for its failure, without
// the carrier being locked meanwhile.
func TestQueryToALender(t *testing.T) {
	for _, failure := range []error{nil, errors.New("refused")} {
		self := traffic.Instance{Name: "front-1", Domain: "a1", Region: "a", PeerAddress: "here"}
		c := &Carrier{
			Steerer: &steerer.Steerer{Self: self, Settings: traffic.Settings{Domains: map[string]string{"a1": "a"}}},
			Clock:   clock.System(), Record: func(traffic.Record) {}, Reannounce: func(int64) {}, Publish: func(traffic.Effect) {},
		}
		c.AskLender = func(address string, query traffic.QuotaQuery) (traffic.QuotaReply, error) {
			assert.Check(t, address == "there")
			c.View(func(*steerer.Steerer) {})
			reply := traffic.QuotaReply{}
			for range query.Wishes {
				reply.Lots = append(reply.Lots, traffic.QuotaLot{Lends: true, Tokens: 1, Lasts: time.Minute})
			}
			return reply, failure
		}
		c.Handle(traffic.PolicySeen{Policy: traffic.Policy{
			Version:       1,
			Routes:        []traffic.Route{{Name: "all", Host: "shop.example", Prefix: "/", Timeout: 5 * time.Second, Shares: []traffic.Share{{Service: "stock", Weight: 1}}}},
			Organisations: []traffic.Organisation{{Name: "beans", Keys: []string{"k"}, PerSecond: 9, Burst: 9}},
		}})
		c.Handle(traffic.UpstreamsListed{})
		c.Handle(traffic.InstanceSeen{Instance: traffic.Instance{Name: "front-2", Domain: "a1", Region: "a", PeerAddress: "there", Capacity: 9}})
		c.Handle(traffic.InstancesListed{Names: map[string]bool{"front-2": true}})
		c.Handle(traffic.ServingStarted{})
		c.Handle(traffic.Ticked{})
		effect := c.Serve(t.Context(), traffic.Request{ID: "1", HostName: "shop.example", Path: "/x", Key: "k"}, c.Clock.Now(), nil)
		refusal, ok := effect.(traffic.Refuse)
		assert.Assert(t, ok, "%+v", effect)
		if failure != nil {
			assert.Equal(t, refusal.Reason, traffic.OverQuota)
			continue
		}
		// With its token the request has got as far as the choice of a server.
		assert.Equal(t, refusal.Reason, traffic.NoServer)
	}
}
