package steerer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

func organisations(listed ...traffic.Organisation) traffic.Policy {
	p := policy(2)
	p.Routes[2].Public = true
	p.Organisations = listed
	return p
}

// newOrganisationBench returns a bench with two organisations; callers need no key at the
// route of "/".
func newOrganisationBench(t *testing.T) *testBench {
	t.Helper()
	b := newReadyBench(t, server("s1", "a1"), server("s2", "b1"))
	b.handle(traffic.PolicySeen{Policy: organisations(
		traffic.Organisation{Name: "roasters", Keys: []string{"k1", "k2"}, Rank: 0, Ranked: true},
		traffic.Organisation{Name: "cafes", Keys: []string{"k3"}, HomeRegions: []string{"b"}},
	)})
	return b
}

// requestWithKey sends a request of a caller that has a key.
func (b *testBench) requestWithKey(path, key string) []traffic.Effect {
	b.lastCall++
	return b.handle(traffic.Arrived{Call: b.lastCall, Read: b.now, Request: traffic.Request{
		ID: fmt.Sprint(b.lastCall), Host: "shop.example", HostName: "shop.example", Path: path, Object: "7", Key: key,
	}})
}

func TestKeysIdentifyOrganisations(t *testing.T) {
	b := newOrganisationBench(t)
	for key, name := range map[string]string{"k1": "roasters", "k2": "roasters", "k3": "cafes"} {
		assert.Equal(t, b.mustSend(b.requestWithKey("/look/1", key)).Organisation, name)
	}
	for _, key := range []string{"", "k4", "K1", "k1 ", strings.Repeat("k", 8<<10), "k1,k2", "ключ"} {
		refusal := b.mustRefuse(b.requestWithKey("/look/1", key))
		assert.Equal(t, refusal.Reason, traffic.Unidentified, "key %q", key)
		assert.Equal(t, refusal.Fate, traffic.NotRun)
	}
}

func TestPublicRouteNeedsNoKey(t *testing.T) {
	b := newOrganisationBench(t)
	assert.Equal(t, b.mustSend(b.requestWithKey("/open", "")).Organisation, "")
	assert.Equal(t, b.mustSend(b.requestWithKey("/open", "k4")).Organisation, "")
	assert.Equal(t, b.mustSend(b.requestWithKey("/open", "k1")).Organisation, "roasters")
}

// Without organisations in the configuration callers need no key, whatever they send.
func TestNoOrganisations(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"))
	assert.Equal(t, b.mustSend(b.requestWithKey("/look/1", "k1")).Organisation, "")
}

// A configuration that takes a key away counts for all requests whose first byte is not out.
func TestWithdrawnKey(t *testing.T) {
	for _, c := range []struct {
		name      string
		listed    []traffic.Organisation
		wanted    string
		withdrawn bool
	}{
		{"a key less", []traffic.Organisation{{Name: "roasters", Keys: []string{"k2"}}}, "", true},
		{"no organisation with the key", []traffic.Organisation{{Name: "cafes", Keys: []string{"k3"}}}, "", true},
		{"no keys at all", []traffic.Organisation{{Name: "roasters"}}, "", true},
		{"the key moves", []traffic.Organisation{{Name: "cafes", Keys: []string{"k1"}}}, "cafes", true},
		{"the key stays", []traffic.Organisation{{Name: "roasters", Keys: []string{"k1"}}}, "roasters", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newOrganisationBench(t)
			send := b.mustSend(b.requestWithKey("/order/1", "k1"))
			p := organisations(c.listed...)
			p.Version = 3
			b.handle(traffic.PolicySeen{Policy: p})
			assert.Equal(t, b.mayStart(send), !c.withdrawn)
			if !c.withdrawn {
				return
			}
			effects := b.endAttempt(send, traffic.Outcome{Fate: traffic.NotRun})
			if c.wanted == "" {
				refusal := b.mustRefuse(effects)
				assert.Equal(t, refusal.Reason, traffic.Unidentified)
				assert.Equal(t, refusal.Fate, traffic.NotRun)
				return
			}
			assert.Equal(t, b.mustSend(effects).Organisation, c.wanted)
		})
	}
}

// A key that two organisations have identifies neither, whatever the order of their names.
func TestKeyOfTwoOrganisations(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"))
	effects := b.handle(traffic.PolicySeen{Policy: organisations(
		traffic.Organisation{Name: "cafes", Keys: []string{"k1", "k3"}},
		traffic.Organisation{Name: "phones", Keys: []string{"k1"}},
		traffic.Organisation{Name: "roasters", Keys: []string{"k1", "k2", "k2"}},
	)})
	record, ok := findEffect[traffic.Record](effects)
	assert.Assert(t, ok)
	assert.Equal(t, record.Message, "keys of several organisations")
	assert.Equal(t, b.mustRefuse(b.requestWithKey("/look/1", "k1")).Reason, traffic.Unidentified)
	assert.Equal(t, b.mustSend(b.requestWithKey("/look/1", "k2")).Organisation, "roasters")
	assert.Equal(t, b.mustSend(b.requestWithKey("/look/1", "k3")).Organisation, "cafes")
}

func TestHomesOfRouteAndOrganisationBothBind(t *testing.T) {
	b := newOrganisationBench(t)
	for range 10 {
		send := b.mustSend(b.requestWithKey("/look/1", "k3"))
		assert.Equal(t, send.Upstream.ID, "s2")
		b.endAttempt(send, successOutcome())
	}
	p := organisations(traffic.Organisation{Name: "cafes", Keys: []string{"k3"}, HomeRegions: []string{"b"}})
	p.Version = 3
	p.Routes[0].HomeRegions = []string{"a"}
	b.handle(traffic.PolicySeen{Policy: p})
	refusal := b.mustRefuse(b.requestWithKey("/look/1", "k3"))
	assert.Equal(t, refusal.Reason, traffic.NoServer)
	assert.Equal(t, refusal.Fate, traffic.NotRun)
}

func TestRankOfTheOrganisationGoesFirst(t *testing.T) {
	b := newOrganisationBench(t)
	rank := func(key string) int {
		return b.Rank(traffic.Request{HostName: "shop.example", Path: "/look/1", Key: key})
	}
	assert.Equal(t, rank("k1"), 0, "the organisation's")
	assert.Equal(t, rank("k3"), 1, "the route's")
	assert.Assert(t, rank("k4") > 1000, "a caller that is not known is less urgent than all others")
}

// With RevokeStrict an instance that may not know of a withdrawn key in time uses none. A
// public route needs no key.
func TestKeysThatMayBeOutdated(t *testing.T) {
	for _, strict := range []bool{false, true} {
		b := newOrganisationBench(t)
		b.Settings.Bounds.Revoke.Duration = b.Settings.Bounds.Reconnect.Duration + time.Second
		b.Settings.Bounds.RevokeStrict = strict
		b.handle(traffic.StoreLost{Err: errReset})
		waiting := b.mustSend(b.requestWithKey("/order/1", "k1"))
		b.advance(time.Second)
		assert.Equal(t, b.mayStart(waiting), !strict)
		effects := b.requestWithKey("/look/1", "k1")
		if !strict {
			b.mustSend(effects)
			continue
		}
		refusal := b.mustRefuse(effects)
		assert.Equal(t, refusal.Reason, traffic.NoPolicy)
		assert.Equal(t, refusal.Fate, traffic.NotRun)
		b.mustSend(b.requestWithKey("/open", ""))
		b.handle(traffic.StoreRegained{})
		b.mustSend(b.requestWithKey("/look/1", "k1"))
	}
}

func BenchmarkIdentify(b *testing.B) {
	s := &Steerer{}
	var listed []traffic.Organisation
	for n := range 1000 {
		o := traffic.Organisation{Name: fmt.Sprint(n)}
		for k := range 10 {
			o.Keys = append(o.Keys, fmt.Sprintf("key-%d-%d", n, k))
		}
		listed = append(listed, o)
	}
	s.updateOrganisations(listed)
	r := &route{}
	for b.Loop() {
		s.identify(r, "key-517-3")
	}
}
