package steerer

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// newQuotaBench returns a bench with one organisation, whose only other instance is the lender
// of all slots.
func newQuotaBench(t *testing.T) *testBench {
	t.Helper()
	b := newStartedBench(t, server("s1", "a1"), server("s2", "a1"))
	b.Settings = quotaSettings()
	b.handle(quotaPolicy(2, 100, 50))
	lender := traffic.Instance{Name: "front-2", Domain: "a1", Region: "a", PeerAddress: "front-2", Capacity: 9}
	b.Self.PeerAddress = "front-1"
	b.handle(traffic.InstanceSeen{Instance: b.Self})
	b.handle(traffic.InstanceSeen{Instance: lender})
	b.handle(traffic.FleetSizeSeen{Instances: 2})
	b.join()
	b.handle(traffic.Ticked{})
	assert.DeepEqual(t, b.lenders.byRegion["b"], []string{"front-2"})
	for range 1000 {
		b.retryBudget("stock").Deposit()
	}
	return b
}

func quotaPolicy(version int64, perSecond, burst float64) traffic.PolicySeen {
	p := policy(version)
	p.Organisations = []traffic.Organisation{{Name: "beans", Keys: []string{"k"}, PerSecond: perSecond, Burst: burst}}
	return traffic.PolicySeen{Policy: p, Revision: version}
}

// ask sends a request of the organisation.
func (b *testBench) ask(path string) (uint64, []traffic.Effect) {
	b.lastCall++
	return b.lastCall, b.handle(traffic.Arrived{Call: b.lastCall, Read: b.now, Request: traffic.Request{
		ID: fmt.Sprint(b.lastCall), Host: "shop.example", HostName: "shop.example", Path: path, Key: "k", Limit: 4 * time.Second,
	}})
}

// lent is the reply to a query: so many tokens for each wish.
func lent(query traffic.AskLender, tokens int) traffic.QuotaLent {
	e := traffic.QuotaLent{Number: query.Number}
	for range query.Query.Wishes {
		e.Reply.Lots = append(e.Reply.Lots, traffic.QuotaLot{Lends: true, Tokens: tokens, Lasts: 300 * time.Millisecond, Wait: 700 * time.Millisecond})
	}
	return e
}

func mustAsk(t *testing.T, effects []traffic.Effect) traffic.AskLender {
	t.Helper()
	query, ok := findEffect[traffic.AskLender](effects)
	assert.Assert(t, ok, "no lender was asked: %v", effects)
	return query
}

// A request without a token waits for the lender's reply, and each attempt takes one.
func TestRequestWaitsForAToken(t *testing.T) {
	b := newQuotaBench(t)
	_, effects := b.ask("/look/")
	_, sent := findEffect[traffic.Send](effects)
	assert.Assert(t, !sent)
	query := mustAsk(t, effects)
	b.advance(time.Millisecond)
	b.mustSend(b.handle(lent(query, 1)))
	assert.Equal(t, b.organisations["beans"].Held(b.now), 0)
}

// A request that no slot has a token for is refused at once, as not run, and told when there
// is one.
func TestRefusalBeyondTheQuota(t *testing.T) {
	b := newQuotaBench(t)
	_, effects := b.ask("/look/")
	for range 3 {
		query := mustAsk(t, effects)
		b.advance(time.Millisecond)
		effects = b.handle(lent(query, 0))
	}
	refusal := b.mustRefuse(effects)
	assert.Equal(t, refusal.Reason, traffic.OverQuota)
	assert.Equal(t, refusal.Fate, traffic.NotRun)
	assert.Assert(t, refusal.RetryAfter >= 690*time.Millisecond && refusal.RetryAfter <= 1050*time.Millisecond, "%s", refusal.RetryAfter)
	_, effects = b.ask("/look/")
	assert.Equal(t, b.mustRefuse(effects).Reason, traffic.OverQuota)
}

// A lender that does not reply is passed over, and in the end the request is refused: it never
// waits until its time is over.
func TestSilentLender(t *testing.T) {
	b := newQuotaBench(t)
	_, effects := b.ask("/look/")
	mustAsk(t, effects)
	for range 5 {
		_, refused := findEffect[traffic.Refuse](effects)
		if refused {
			break
		}
		effects = b.advance(100 * time.Millisecond).handle(traffic.Ticked{})
	}
	assert.Equal(t, b.mustRefuse(effects).Reason, traffic.OverQuota)
}

// A lender that fails is not asked again for a while.
func TestFailedLender(t *testing.T) {
	b := newQuotaBench(t)
	_, effects := b.ask("/look/")
	query := mustAsk(t, effects)
	effects = b.handle(traffic.LenderFailed{Number: query.Number, Err: errors.New("refused")})
	assert.Equal(t, b.mustRefuse(effects).Reason, traffic.OverQuota)
	_, effects = b.advance(200 * time.Millisecond).ask("/look/")
	_, asked := findEffect[traffic.AskLender](effects)
	assert.Assert(t, !asked)
	_, effects = b.advance(time.Second).ask("/look/")
	mustAsk(t, effects)
}

// Each attempt that may run takes a token: without one there is no repeat and no second attempt
// beside the first. The token of an attempt that has not run serves the next one.
func TestAttemptsTakeTokens(t *testing.T) {
	b := newQuotaBench(t)
	_, effects := b.ask("/look/")
	send := b.mustSend(b.handle(lent(mustAsk(t, effects), 1)))
	effects = b.advance(time.Second).handle(traffic.Overdue{Call: send.Call, Attempt: send.Attempt})
	_, sent := findEffect[traffic.Send](effects)
	assert.Assert(t, !sent, "a second attempt without a token")
	failed := traffic.Outcome{Fate: traffic.Ran, Took: time.Second, Reply: traffic.Reply{Status: 500, Signed: true}}
	effects = b.endAttempt(send, failed)
	for range 3 {
		_, sent = findEffect[traffic.Send](effects)
		assert.Assert(t, !sent, "a repeat without a token")
		effects = b.advance(time.Millisecond).handle(lent(mustAsk(t, effects), 0))
	}
	delivered, ok := findEffect[traffic.Deliver](effects)
	assert.Assert(t, ok)
	assert.Equal(t, delivered.Reply.Status, 500)

	b.advance(time.Second)
	_, effects = b.ask("/look/")
	send = b.mustSend(b.handle(lent(mustAsk(t, effects), 1)))
	b.mustSend(b.endAttempt(send, rejectedOutcome()))
}

// An attempt that is held up until long after its token's time, as on a machine that was frozen,
// is not sent with it. It waits for another one.
func TestAttemptThatIsHeldUp(t *testing.T) {
	b := newQuotaBench(t)
	_, effects := b.ask("/look/")
	send := b.mustSend(b.handle(lent(mustAsk(t, effects), 1)))
	starting := traffic.Starting{Call: send.Call, Attempt: send.Attempt}
	b.advance(time.Second)
	_, started := findEffect[traffic.Start](b.handle(starting))
	assert.Assert(t, started, "opening a connection may take a while")
	b.advance(400 * time.Millisecond)
	_, started = findEffect[traffic.Start](b.handle(starting))
	assert.Assert(t, !started)
	effects = b.endAttempt(send, traffic.Outcome{Fate: traffic.NotRun, Err: errors.New("withdrawn")})
	b.mustSend(b.handle(lent(mustAsk(t, effects), 1)))
}

// No token is asked for a request that has ended: its caller has left, or its time is over.
func TestRequestThatHasEndedWaitsForNoToken(t *testing.T) {
	b := newQuotaBench(t)
	left, _ := b.ask("/look/")
	over, _ := b.ask("/look/")
	o := b.organisations["beans"]
	assert.Equal(t, len(o.waiting), 2)
	b.handle(traffic.CallerLeft{Call: left})
	assert.Equal(t, len(o.waiting), 1)
	assert.Equal(t, b.mustRefuse(b.handle(traffic.Expired{Call: over})).Reason, traffic.OverQuota)
	assert.Equal(t, len(o.waiting), 0)
}

// A request whose caller leaves while it waits takes no token.
func TestCallerLeavesWhileItsRequestWaits(t *testing.T) {
	b := newQuotaBench(t)
	call, effects := b.ask("/look/")
	b.handle(traffic.CallerLeft{Call: call})
	b.handle(lent(mustAsk(t, effects), 1))
	assert.Equal(t, b.organisations["beans"].Held(b.now), 1)
	assert.Equal(t, b.InFlight(), 0)
}

// A request that waits is served at once if its organisation loses its quota, and refused if it
// loses its key.
func TestConfigurationChangesWhileARequestWaits(t *testing.T) {
	b := newQuotaBench(t)
	b.ask("/look/")
	b.handle(quotaPolicy(3, 0, 0))
	b.mustSend(b.handle(traffic.Ticked{}))

	b = newQuotaBench(t)
	b.ask("/look/")
	withdrawn := quotaPolicy(3, 100, 50)
	withdrawn.Policy.Organisations[0].Keys = nil
	b.handle(withdrawn)
	_, sent := findEffect[traffic.Send](b.handle(traffic.Ticked{}))
	assert.Assert(t, !sent)
}

// Tokens are dropped after a suspension that the clock has not counted.
func TestSuspensionDropsTokens(t *testing.T) {
	b := newQuotaBench(t)
	_, effects := b.ask("/look/")
	b.handle(lent(mustAsk(t, effects), 9))
	assert.Equal(t, b.organisations["beans"].Held(b.now), 8)
	b.handle(traffic.Suspended{For: time.Minute})
	assert.Equal(t, b.organisations["beans"].Held(b.now), 0)
}

// Organisations without a quota, and callers without an organisation, need no tokens.
func TestNoQuota(t *testing.T) {
	b := newQuotaBench(t)
	b.handle(quotaPolicy(3, 0, 0))
	_, effects := b.ask("/look/")
	b.mustSend(effects)
	b.handle(traffic.PolicySeen{Policy: policy(4), Revision: 4})
	_, effects = b.ask("/look/")
	b.mustSend(effects)
}

// A lender that has just started lends nothing until the one before it has stopped for certain,
// and one that is told to stop lends nothing more.
func TestWhoMayLend(t *testing.T) {
	b := newQuotaBench(t)
	wish := traffic.QuotaWanted{Query: traffic.QuotaQuery{Wishes: []traffic.QuotaWish{{Organisation: "beans", Need: 1}}}}
	lends := func() bool {
		b.handle(traffic.Ticked{})
		reply, ok := findEffect[traffic.QuotaReply](b.handle(wish))
		assert.Assert(t, ok)
		return reply.Lots[0].Lends
	}
	assert.Assert(t, !lends(), "another instance is the lender")
	b.handle(traffic.InstanceGone{Name: "front-2"})
	assert.Assert(t, !lends())
	b.advance(b.takeoverDelay() - time.Second)
	assert.Assert(t, !lends(), "the former lender may still lend")
	b.advance(2 * time.Second)
	assert.Assert(t, lends())
	b.handle(traffic.StopRequested{})
	assert.Assert(t, !lends())
}

// A lender whose lease has ended lends on through a short outage of the store, and stops before
// the others take over.
func TestLenderWithoutALease(t *testing.T) {
	b := newQuotaBench(t)
	b.handle(traffic.InstanceGone{Name: "front-2"})
	b.handle(traffic.Ticked{})
	b.advance(b.takeoverDelay() + time.Second)
	b.handle(traffic.Ticked{})
	lends := func() bool {
		wish := traffic.QuotaWanted{Query: traffic.QuotaQuery{Wishes: []traffic.QuotaWish{{Organisation: "beans", Need: 1}}}}
		reply, _ := findEffect[traffic.QuotaReply](b.handle(wish))
		return reply.Lots[0].Lends
	}
	b.handle(traffic.RecordKept{Revision: 2, Lasts: time.Second})
	b.advance(time.Second + outageAllowance - time.Millisecond)
	assert.Assert(t, lends())
	b.advance(time.Millisecond)
	assert.Assert(t, !lends())
	// A record that is back before others may have taken over makes it a lender at once.
	b.handle(traffic.RecordKept{Revision: 3, Lasts: time.Second})
	b.handle(traffic.Ticked{})
	assert.Assert(t, lends())
	// One that comes back later does not.
	b.advance(time.Second + b.takeoverDelay())
	b.handle(traffic.Ticked{})
	assert.Assert(t, !lends())
	b.handle(traffic.RecordKept{Revision: 4, Lasts: time.Hour})
	b.handle(traffic.Ticked{})
	assert.Assert(t, !lends())
	b.advance(b.takeoverDelay())
	b.handle(traffic.Ticked{})
	assert.Assert(t, lends())
}

// Ticks begin only when an instance serves callers, after its record is in the store. A fleet
// that starts for the first time lends after JoinDelay all the same, and a process that follows
// one that was killed lends at once.
func TestRecordIsKeptBeforeTheFirstTick(t *testing.T) {
	for _, former := range []bool{false, true} {
		b := newTestBench(t, "front-1", "a1")
		b.Settings = quotaSettings()
		b.Self.PeerAddress, b.Self.Incarnation = "front-1", "2"
		b.handle(quotaPolicy(1, 100, 50))
		b.handle(traffic.UpstreamsListed{})
		names := map[string]bool{}
		if former {
			b.handle(traffic.FleetSizeSeen{Instances: 1})
			old := b.Self
			old.Incarnation = "1"
			b.handle(traffic.InstanceSeen{Instance: old})
			names[old.Name] = true
		}
		b.handle(traffic.InstancesListed{Names: names})
		b.handle(traffic.RecordKept{Revision: 1, Lasts: time.Hour})
		b.handle(traffic.InstanceSeen{Instance: b.Self})
		if !former {
			times := b.times()
			b.advance(times.JoinDelay())
		}
		b.handle(traffic.ServingStarted{})
		b.handle(traffic.Ticked{})
		b.advance(lenderRefresh)
		b.handle(traffic.Ticked{})
		wish := traffic.QuotaWanted{Query: traffic.QuotaQuery{Wishes: []traffic.QuotaWish{{Organisation: "beans", Need: 1}}}}
		reply, _ := findEffect[traffic.QuotaReply](b.handle(wish))
		assert.Assert(t, reply.Lots[0].Lends, "former %t", former)
	}
}

// A lender whose lease had lapsed when a process started may still lend, and may return as
// one that the others know: the process neither lends from its slots at once nor takes it for new.
func TestProcessThatStartsWhileALeaseHasLapsed(t *testing.T) {
	b := newTestBench(t, "front-1", "a1")
	b.Settings = quotaSettings()
	b.Self.PeerAddress, b.Self.Incarnation, b.Self.Region = "front-1", "2", "a"
	b.handle(quotaPolicy(1, 100, 50))
	b.handle(traffic.UpstreamsListed{})
	b.handle(traffic.FleetSizeSeen{Instances: 2})
	old := b.Self
	old.Incarnation = "1"
	b.handle(traffic.InstanceSeen{Instance: old})
	b.handle(traffic.InstancesListed{Names: map[string]bool{old.Name: true}})
	b.handle(traffic.RecordKept{Revision: 1, Lasts: time.Hour})
	b.handle(traffic.InstanceSeen{Instance: b.Self})
	b.handle(traffic.ServingStarted{})
	tick := func(d time.Duration) {
		b.advance(d)
		b.handle(traffic.Ticked{})
	}
	tick(lenderRefresh)
	assert.Assert(t, !b.mayLend())
	b.handle(traffic.InstanceSeen{Instance: traffic.Instance{Name: "front-2", Domain: "a1", Region: "a", PeerAddress: "front-2", Capacity: 9}})
	tick(lenderRefresh)
	assert.DeepEqual(t, b.lenders.byRegion["a"], []string{"front-2"})
	tick(b.takeoverDelay())
	assert.Assert(t, b.mayLend())
	assert.DeepEqual(t, b.lenders.byRegion["a"], []string{"front-2"})
}

// An instance that appears as the store is back may have started long before: the others
// choose it already.
func TestInstanceThatStartedWhileTheStoreWasLost(t *testing.T) {
	for _, lost := range []bool{false, true} {
		b := newQuotaBench(t)
		b.advance(b.takeoverDelay())
		if lost {
			b.handle(traffic.StoreLost{Err: errors.New("no response")})
		}
		b.handle(traffic.Ticked{})
		b.advance(lenderRefresh)
		if lost {
			b.handle(traffic.StoreRegained{})
		}
		b.handle(traffic.InstanceSeen{Instance: traffic.Instance{Name: "front-3", Domain: "a1", Region: "a", PeerAddress: "front-3", Capacity: 99}})
		b.handle(traffic.Ticked{})
		assert.Equal(t, b.now.Before(b.lenders.candidates["front-3"].from), !lost)
	}
}

// The line of a refusal says what decided.
func TestRefusalLineNamesTheQuota(t *testing.T) {
	b := newQuotaBench(t)
	_, effects := b.ask("/look/")
	effects = b.handle(traffic.LenderFailed{Number: mustAsk(t, effects).Number, Err: errors.New("refused")})
	for _, x := range effects {
		r, ok := x.(traffic.Record)
		if !ok || r.Message != "request refused" {
			continue
		}
		found := make(map[string]string)
		for _, a := range r.Attributes {
			found[a.Key] = a.Value.String()
		}
		assert.Equal(t, found["organisation"], "beans")
		assert.Equal(t, found["reason"], string(traffic.OverQuota))
		assert.Equal(t, found["quota_per_second"], "100")
		assert.Equal(t, found["quota_burst"], "50")
		return
	}
	t.Fatal("no line")
}
