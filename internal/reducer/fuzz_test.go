package reducer_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
)

// FuzzExternalInput sends the reducer any gossip, table, listing, claim and
// request that a peer, the platform or a caller could send, then runs it for
// another 10 seconds of virtual time.
func FuzzExternalInput(f *testing.F) {
	gossip, err := json.Marshal(fleetGossip(currentFleet, startTime))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(gossip, []byte(`{"revision":9,"domain":"d0","assignments":[{"name":"s0","service":"none","owner":"d0-0","owner_incarnation":"i","previous":[{"name":"x"}]}]}`),
		[]byte(`{"servers":[{"name":"s0"},{"name":"s0","leaving":true}],"instances":[{"name":""}]}`), []byte(`{"id":"r","kind":"k0","hops":-1}`))
	f.Add([]byte(`{"Summaries":[{"Domain":"d1","Sequence":1,"States":[{}]}],"Digests":[{"Domain":"d0","Pools":[{"Slots":-5}]}]}`),
		[]byte(`{}`), []byte(`{}`), []byte(`{"id":"r","kind":"k0","home":"nowhere","bound":true,"key":"ytk1.a.b.0.0"}`))
	f.Fuzz(func(_ *testing.T, gossip, table, listing, request []byte) {
		r, now := newReducer(currentFleet)
		var g model.Gossip
		var t model.Table
		var l model.Listing
		var q model.Request
		for to, data := range map[any][]byte{&g: gossip, &t: table, &l: listing, &q: request} {
			_ = json.Unmarshal(data, to)
		}
		r.Reduce(now, message.GossipReceived{Gossip: g})
		r.Reduce(now, message.GossipReplied{Peer: g.From, Gossip: g, StartedAt: now})
		r.Reduce(now, message.TableFetched{Table: t})
		r.Reduce(now, message.TableRead{Table: t, StoreRevision: 1, StartedAt: now})
		r.Reduce(now, message.ListingRead{Domain: "d0", Listing: l})
		r.Reduce(now, message.Arrived{Request: q})
		r.Reduce(now, message.Claimed{ID: q.ID, Status: message.ClaimHeld})
		for range 100 {
			now = now.Add(100 * time.Millisecond)
			r.Reduce(now, message.Ticked{})
		}
		r.Status()
	})
}
