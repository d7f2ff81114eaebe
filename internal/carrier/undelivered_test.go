package carrier

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/clock"
	"github.com/yuccathread/yuccathread/internal/steerer"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

// countedRest counts how often it is closed.
type countedRest struct{ closed int }

func (r *countedRest) Read([]byte) (int, error) { return 0, nil }

func (r *countedRest) Close() error {
	r.closed++
	return nil
}

func newCall(c *Carrier) *pendingCall {
	call := &pendingCall{final: make(chan traffic.Effect, 1), cancels: make(map[int]context.CancelFunc)}
	c.calls = map[uint64]*pendingCall{1: call}
	return call
}

// Guards against memory that is never given back: a caller may leave between the decision to
// deliver its response and the delivery.
func TestCallerThatLeavesBeforeItsResponse(t *testing.T) {
	c := &Carrier{Steerer: &steerer.Steerer{}, Clock: clock.System(), Record: func(traffic.Record) {}}
	call := newCall(c)
	r := &countedRest{}
	call.undelivered = append(call.undelivered, r)
	c.finish(1, traffic.Deliver{Call: 1, Reply: traffic.Reply{Rest: r}})
	assert.Equal(t, r.closed, 0, "the response is still to be delivered")
	c.callerLeft(1, call)
	assert.Equal(t, r.closed, 1)
	assert.Equal(t, len(c.calls), 0)
}

// Of several responses one is delivered; the others give back what they hold, also one that
// comes after it.
func TestResponsesThatAreNotDelivered(t *testing.T) {
	c := &Carrier{Steerer: &steerer.Steerer{}, Clock: clock.System(), Record: func(traffic.Record) {}}
	call := newCall(c)
	former, delivered, later := &countedRest{}, &countedRest{}, &countedRest{}
	call.cancels[3] = func() {}
	call.undelivered = append(call.undelivered, former, delivered)
	c.finish(1, traffic.Deliver{Call: 1, Reply: traffic.Reply{Rest: delivered}})
	c.attemptEnded(call, traffic.Send{Call: 1, Attempt: 3}, traffic.Outcome{Fate: traffic.Ran, Reply: traffic.Reply{Rest: later}})
	assert.DeepEqual(t, []int{former.closed, delivered.closed, later.closed}, []int{1, 0, 1})
	assert.Equal(t, len(c.calls), 0)
}
