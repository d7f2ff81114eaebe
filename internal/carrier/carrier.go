// Package carrier connects the reducer to the outside: it passes events to the
// reducer with the current time and executes the effects that the reducer
// returns, such as sending a request to a server or delivering its response.
//
// Usage:
//
//	c := &carrier.Carrier{Steerer: s, Forwarder: f, Clock: clock.System(), Record: record}
//	effect := c.Serve(ctx, request, receivedAt, ended)   // ctx is cancelled when the caller disconnects
//	c.Handle(traffic.Ticked{})
package carrier

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/yuccathread/yuccathread/internal/clock"
	"github.com/yuccathread/yuccathread/internal/forwarder"
	"github.com/yuccathread/yuccathread/internal/steerer"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

// Carrier runs one reducer. Set the exported fields before the first event.
type Carrier struct {
	Steerer   *steerer.Steerer
	Forwarder *forwarder.Forwarder
	Clock     clock.Clock
	// Record writes a log line; it must not block.
	Record func(traffic.Record)
	// Reannounce is called when this instance's record is missing from the store as of a
	// revision; it must not block.
	Reannounce func(revision int64)
	// AnnounceBusy is called when this instance becomes busy or is so no more; it must not
	// block.
	AnnounceBusy func(busy bool)
	// Publish is called with each traffic.PublishLimits and traffic.PublishFleetSize; it
	// must not block.
	Publish func(traffic.Effect)
	// AskLender asks the instance at an address for tokens of quotas.
	AskLender func(address string, query traffic.QuotaQuery) (traffic.QuotaReply, error)

	mutex    sync.Mutex
	lastCall uint64
	calls    map[uint64]*pendingCall
}

// pendingCall is a request in progress.
type pendingCall struct {
	request traffic.Request
	// ended is called once nothing uses the request any more; it may be nil.
	ended    func()
	deadline time.Time
	final    chan traffic.Effect
	// cancels holds the cancel functions of the attempts in progress, by number.
	cancels map[int]context.CancelFunc
	// undelivered holds what the responses of its attempts hold, but for the one that was
	// delivered.
	undelivered []io.Closer
	done        bool
}

// Serve handles one request and returns its final effect: a Deliver, whose Rest must be
// closed, or a Refuse, or nil if the caller has disconnected. Attempts may outlast it: ended, if not nil, is
// called once when nothing uses the request any more.
func (c *Carrier) Serve(ctx context.Context, request traffic.Request, receivedAt time.Time, ended func()) traffic.Effect {
	call := &pendingCall{request: request, ended: ended, final: make(chan traffic.Effect, 1), cancels: make(map[int]context.CancelFunc)}
	number := c.addCall(call, receivedAt)
	timer := time.NewTimer(call.deadline.Sub(c.Clock.Now()))
	defer timer.Stop()
	for {
		select {
		case e := <-call.final:
			return e
		case <-timer.C:
			c.Handle(traffic.Expired{Call: number})
		case <-ctx.Done():
			c.callerLeft(number, call)
			return nil
		}
	}
}

func (c *Carrier) addCall(call *pendingCall, receivedAt time.Time) uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.calls == nil {
		c.calls = make(map[uint64]*pendingCall)
	}
	c.lastCall++
	number := c.lastCall
	c.calls[number] = call
	c.reduce(traffic.Arrived{Call: number, Request: call.request, Read: receivedAt})
	return number
}

// callerLeft ends a call whose caller has disconnected.
func (c *Carrier) callerLeft(number uint64, call *pendingCall) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reduce(traffic.CallerLeft{Call: number})
	call.done = true
	select {
	case e := <-call.final:
		// The caller left just when its response had come.
		if deliver, ok := e.(traffic.Deliver); ok && deliver.Reply.Rest != nil {
			call.undelivered = append(call.undelivered, deliver.Reply.Rest)
		}
	default:
	}
	c.removeIfDone(number, call)
}

// Handle passes an event to the reducer and executes the resulting effects.
func (c *Carrier) Handle(e traffic.Event) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reduce(e)
}

// LookUp returns the result of a look-up.
func (c *Carrier) LookUp(q traffic.Query) traffic.LookUpResult {
	return ask[traffic.LookUpResult](c, traffic.LookUpRequested{Query: q})
}

// Explain tells where a request would go now, without sending it.
func (c *Carrier) Explain(request traffic.Request) traffic.Explanation {
	return ask[traffic.Explanation](c, traffic.ExplanationRequested{Request: request})
}

// ask returns the effect of one type with which the reducer replies to an event, or the zero
// value if there is none, and carries out the other effects.
func ask[T traffic.Effect](c *Carrier, e traffic.Event) T {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var reply T
	for _, effect := range c.decide(e) {
		if x, ok := effect.(T); ok {
			reply = x
			continue
		}
		c.execute(effect)
	}
	return reply
}

// View calls read with the reducer, which read must not modify.
func (c *Carrier) View(read func(*steerer.Steerer)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	read(c.Steerer)
}

func (c *Carrier) reduce(e traffic.Event) {
	for _, effect := range c.decide(e) {
		c.execute(effect)
	}
}

// execute carries out an effect. It is called with the mutex held and must not block.
func (c *Carrier) execute(effect traffic.Effect) {
	switch e := effect.(type) {
	case traffic.Admit:
		if call := c.calls[e.Call]; call != nil {
			call.deadline = e.Until
		}
	case traffic.Send:
		c.send(e)
	case traffic.Cancel:
		if call := c.calls[e.Call]; call != nil && call.cancels[e.Attempt] != nil {
			call.cancels[e.Attempt]()
		}
	case traffic.StartOverdueTimer:
		time.AfterFunc(e.After, func() { c.Handle(traffic.Overdue{Call: e.Call, Attempt: e.Attempt}) })
	case traffic.Deliver:
		c.finish(e.Call, e)
	case traffic.Refuse:
		c.finish(e.Call, e)
	case traffic.Record:
		c.Record(e)
	case traffic.Reannounce:
		c.Reannounce(e.Revision)
	case traffic.AnnounceBusy:
		c.AnnounceBusy(e.Busy)
	case traffic.PublishLimits, traffic.PublishFleetSize:
		c.Publish(e)
	case traffic.AskLender:
		c.askLender(e)
	}
}

func (c *Carrier) finish(number uint64, e traffic.Effect) {
	call := c.calls[number]
	if call == nil || call.done {
		return
	}
	call.done = true
	if deliver, ok := e.(traffic.Deliver); ok {
		call.undelivered = slices.DeleteFunc(call.undelivered, func(r io.Closer) bool { return r == deliver.Reply.Rest })
	}
	call.final <- e
	c.removeIfDone(number, call)
}

// removeIfDone removes a call that has its final effect and no attempt in progress.
func (c *Carrier) removeIfDone(number uint64, call *pendingCall) {
	if !call.done || len(call.cancels) > 0 {
		return
	}
	for _, r := range call.undelivered {
		// Closing what a response holds does not fail.
		_ = r.Close()
	}
	call.undelivered = nil
	if c.calls[number] != call {
		return
	}
	delete(c.calls, number)
	if call.ended != nil {
		call.ended()
	}
}

func (c *Carrier) send(e traffic.Send) {
	call := c.calls[e.Call]
	if call == nil {
		return
	}
	// The attempt does not use the caller's context, since a request that must not run
	// twice is left to finish after the caller has disconnected.
	ctx, cancel := context.WithCancel(context.Background())
	call.cancels[e.Attempt] = cancel
	go func() {
		outcome := c.Forwarder.Exchange(ctx, call.request, e, func() bool { return c.mayStart(e) })
		cancel()
		c.attemptEnded(call, e, outcome)
	}()
}

// mayStart reports whether an attempt may be sent, now that its first byte is due.
func (c *Carrier) mayStart(e traffic.Send) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	allowed := false
	for _, effect := range c.decide(traffic.Starting{Call: e.Call, Attempt: e.Attempt}) {
		if _, ok := effect.(traffic.Start); ok {
			allowed = true
			continue
		}
		c.execute(effect)
	}
	return allowed
}

func (c *Carrier) attemptEnded(call *pendingCall, e traffic.Send, outcome traffic.Outcome) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(call.cancels, e.Attempt)
	if outcome.Reply.Rest != nil {
		call.undelivered = append(call.undelivered, outcome.Reply.Rest)
	}
	c.reduce(traffic.Ended{Call: e.Call, Attempt: e.Attempt, Outcome: outcome})
	c.removeIfDone(e.Call, call)
}
