package carrier

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/accountant"
	"github.com/yuccathread/yuccathread/internal/clock"
	"github.com/yuccathread/yuccathread/internal/collector"
	"github.com/yuccathread/yuccathread/internal/forwarder"
	"github.com/yuccathread/yuccathread/internal/model"
	"github.com/yuccathread/yuccathread/internal/steerer"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

const headerID = "X-Id"

// slowCodec holds up each first attempt between the decision about it and its first byte,
// as a machine does that is short of processor time.
type slowCodec struct {
	traffic.Codec
	reached chan traffic.Upstream
	resume  chan struct{}
}

func (c *slowCodec) RequestHeader(r traffic.Request, send traffic.Send, _ time.Duration) http.Header {
	c.reached <- send.Upstream
	<-c.resume
	return http.Header{headerID: {r.ID}}
}

func (c *slowCodec) DecodeReply(r *http.Response) traffic.Reply {
	return traffic.Reply{Status: r.StatusCode, Header: r.Header, RequestID: r.Header.Get(headerID), Signed: true}
}

// site is one instance with the servers that it uses.
type site struct {
	carrier *Carrier
	codec   *slowCodec
	// runs counts the requests at each server.
	runs    map[string]*atomic.Int64
	servers map[string]traffic.Upstream
}

func latePolicy(version int64, service string) traffic.Event {
	return traffic.PolicySeen{Policy: traffic.Policy{
		Version: version,
		Routes: []traffic.Route{{
			Name: "all", Host: "shop.example", Prefix: "/", Timeout: 5 * time.Second, Target: time.Second, MaxAttempts: 1,
			Shares: []traffic.Share{{Service: service, Weight: 1}},
		}},
		Services: map[string]traffic.Service{"stock": {Name: "stock"}, "orders": {Name: "orders"}},
	}}
}

// startSite starts two servers of the service "stock" in different failure domains, and
// one of "orders".
func startSite(t *testing.T) *site {
	t.Helper()
	w := &site{
		codec:   &slowCodec{reached: make(chan traffic.Upstream, 9), resume: make(chan struct{})},
		runs:    make(map[string]*atomic.Int64),
		servers: make(map[string]traffic.Upstream),
	}
	self := traffic.Instance{Name: "front-1", Domain: "a1", Region: "a"}
	bound := model.Duration{Duration: 4 * time.Second}
	w.carrier = &Carrier{
		Steerer: &steerer.Steerer{Self: self, Settings: traffic.Settings{
			Domains: map[string]string{"a1": "a", "a2": "a"},
			Bounds:  traffic.Bounds{Drain: bound, Apply: bound, Evacuation: bound, Reconnect: bound, Grace: bound},
		}},
		Forwarder: &forwarder.Forwarder{
			Codec: w.codec, Clock: clock.System(), MaxBodyBytes: 1 << 20,
			Bodies: &collector.Collector{Accountant: &accountant.Accountant{Limit: 2 << 20}},
		},
		Clock: clock.System(), Record: func(traffic.Record) {}, Reannounce: func(int64) {}, Publish: func(traffic.Effect) {},
	}
	w.carrier.Handle(latePolicy(1, "stock"))
	w.startServer(t, "s1", "stock", "a1")
	w.startServer(t, "s2", "stock", "a2")
	w.startServer(t, "s3", "orders", "a1")
	w.carrier.Handle(traffic.UpstreamsListed{IDs: map[string]bool{"s1": true, "s2": true, "s3": true}})
	w.carrier.Handle(traffic.InstancesListed{Names: map[string]bool{self.Name: true}})
	w.carrier.Handle(traffic.ServingStarted{})
	return w
}

func (w *site) startServer(t *testing.T, id, service, domain string) {
	t.Helper()
	runs := &atomic.Int64{}
	w.runs[id] = runs
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		w.Header().Set(headerID, r.Header.Get(headerID))
	}))
	t.Cleanup(server.Close)
	w.servers[id] = traffic.Upstream{
		ID: id, Service: service, Domain: domain, Address: server.Listener.Addr().(*net.TCPAddr).String(), Slots: 4, Revision: 1,
	}
	w.carrier.Handle(traffic.UpstreamSeen{Upstream: w.servers[id]})
}

// Guards against DRAIN, CONFIG and EVAC by requests that were held up in the instance: what
// it learns between the decision about a request and its first byte must count, and the
// request must be served all the same.
func TestNewsBetweenTheDecisionAndTheFirstByte(t *testing.T) {
	for _, c := range []struct {
		name string
		news func(w *site, u traffic.Upstream) traffic.Event
	}{
		{"the server drains", func(_ *site, u traffic.Upstream) traffic.Event {
			u.Draining, u.Revision = true, 2
			return traffic.UpstreamSeen{Upstream: u}
		}},
		{"the server is gone", func(_ *site, u traffic.Upstream) traffic.Event { return traffic.UpstreamGone{ID: u.ID} }},
		{"another process has the server's ID", func(_ *site, u traffic.Upstream) traffic.Event {
			u.Started, u.Revision, u.Service = 2, 2, "orders"
			return traffic.UpstreamSeen{Upstream: u}
		}},
		{"the failure domain is evacuated", func(_ *site, u traffic.Upstream) traffic.Event {
			return traffic.EvacuationSeen{Domain: u.Domain}
		}},
		{"the route has moved to another service", func(*site, traffic.Upstream) traffic.Event { return latePolicy(2, "orders") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := startSite(t)
			final := make(chan traffic.Effect, 1)
			go func() {
				request := traffic.Request{ID: "1", Method: "PUT", Host: "shop.example", HostName: "shop.example", Path: "/1", Target: "/1"}
				final <- w.carrier.Serve(context.Background(), request, time.Now(), nil)
			}()
			first := <-w.codec.reached
			w.carrier.Handle(c.news(w, first))
			close(w.codec.resume)
			effect := <-final
			assert.Equal(t, w.runs[first.ID].Load(), int64(0), "the request was sent to %s", first.ID)
			delivered, ok := effect.(traffic.Deliver)
			assert.Assert(t, ok, "%+v", effect)
			assert.Equal(t, delivered.Reply.Status, http.StatusOK)
		})
	}
}
