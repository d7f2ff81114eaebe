package steerer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// newRoomBench returns a bench with two organisations and a server of ten slots, whose queue
// one of them has filled.
func newRoomBench(t *testing.T) (b *testBench, sent []traffic.Send) {
	u := server("s-1", "a1")
	u.Slots = 10
	b = newReadyBench(t, u)
	p := policy(2)
	p.Routes[0].Timeout = 10 * time.Second
	p.Organisations = []traffic.Organisation{{Name: "hot", Keys: []string{"hot-key"}}, {Name: "other", Keys: []string{"other-key"}}}
	b.handle(traffic.PolicySeen{Policy: p})
	b.requestOf("other-key")
	for range 60 {
		b.advance(10 * time.Millisecond)
		if send, ok := findEffect[traffic.Send](b.requestOf("hot-key")); ok {
			sent = append(sent, send)
		}
	}
	return b, sent
}

func (b *testBench) requestOf(key string) []traffic.Effect {
	b.lastCall++
	return b.handle(traffic.Arrived{Call: b.lastCall, Read: b.now, Request: traffic.Request{
		Host: "shop.example", HostName: "shop.example", Path: "/look/1", Object: "1", Limit: 10 * time.Second, Key: key,
	}})
}

// An organisation beyond its share is refused while there is room in the queue for others.
func TestOrganisationBeyondItsShare(t *testing.T) {
	b, sent := newRoomBench(t)
	for _, send := range sent[:15] {
		b.endAttempt(send, successOutcome())
	}
	effects := b.requestOf("hot-key")
	for range 10 {
		if _, refused := findEffect[traffic.Refuse](effects); refused {
			break
		}
		effects = b.requestOf("hot-key")
	}
	refusal := b.mustRefuse(effects)
	assert.Equal(t, refusal.Reason, traffic.Overloaded)
	assert.Equal(t, refusal.Fate, traffic.NotRun)
	assert.Equal(t, b.RefusedBeyondShare(), 1)
	keys := make(map[string]bool)
	for _, x := range effects {
		if r, ok := x.(traffic.Record); ok && r.Message == "request refused" {
			for _, a := range r.Attributes {
				keys[a.Key] = true
			}
		}
	}
	assert.Assert(t, keys["room_level"] && keys["organisation_share"] && keys["beyond_share"], "%v", keys)
	b.mustSend(b.requestOf("other-key"))
}

// What no other organisation asks for is open to all: with free slots none is refused.
func TestFreeSlotsAreOpenToAll(t *testing.T) {
	b, sent := newRoomBench(t)
	for _, send := range sent[:len(sent)-5] {
		b.endAttempt(send, successOutcome())
	}
	b.mustSend(b.requestOf("hot-key"))
}

// Refused requests of an organisation are told to come back one after the other.
func TestRefusedRequestsComeBackOneAfterTheOther(t *testing.T) {
	b, _ := newRoomBench(t)
	// Those that were refused before have come back.
	b.advance(maxRetryAfter)
	var last time.Duration
	distinct := 0
	for range 6 {
		refusal := b.mustRefuse(b.requestOf("hot-key"))
		assert.Assert(t, refusal.RetryAfter >= last && refusal.RetryAfter <= maxRetryAfter)
		if refusal.RetryAfter > last {
			distinct++
		}
		last = refusal.RetryAfter
	}
	assert.Assert(t, distinct > 4, "%d distinct times", distinct)
}

// An explanation of where a request would go counts as no demand.
func TestExplanationsAskForNoRoom(t *testing.T) {
	b, _ := newRoomBench(t)
	share := func() float64 {
		for _, r := range b.rooms {
			return r.Peek(b.now, 1, "other").Asked
		}
		return 0
	}
	before := share()
	assert.Assert(t, before > 0)
	for range 10 {
		b.handle(traffic.ExplanationRequested{Request: traffic.Request{
			Host: "shop.example", HostName: "shop.example", Path: "/look/1", Object: "1", Key: "other-key",
		}})
	}
	assert.Equal(t, share(), before)
}

// A room that nobody asks for is forgotten with its organisations.
func TestIdleRoomIsForgotten(t *testing.T) {
	b, _ := newRoomBench(t)
	assert.Equal(t, len(b.rooms), 1)
	b.advance(time.Minute)
	b.handle(traffic.Ticked{})
	assert.Equal(t, len(b.rooms), 0)
}
