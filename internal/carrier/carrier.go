// Package carrier gives the reducer its events and time, and acts on its
// effects: it sends requests to servers and brings the answers back.
//
// Usage:
//
//	c := &carrier.Carrier{Steerer: s, Forwarder: f, Clock: clock.System(), Record: record}
//	answer := c.Carry(ctx, request, read)   // ctx ends: the caller has gone
//	c.Do(traffic.Ticked{})
package carrier

import (
	"context"
	"sync"
	"time"

	"github.com/yuccathread/yuccathread/internal/clock"
	"github.com/yuccathread/yuccathread/internal/forwarder"
	"github.com/yuccathread/yuccathread/internal/steerer"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

// Carrier is the shell of one reducer. Set the exported fields before the
// first event.
type Carrier struct {
	Steerer   *steerer.Steerer
	Forwarder *forwarder.Forwarder
	Clock     clock.Clock
	// Record takes log lines; it must not block.
	Record func(traffic.Record)
	// Reannounce is called when this instance's record is missing; it must not
	// block.
	Reannounce func()

	mutex sync.Mutex
	last  uint64
	calls map[uint64]*exchange
}

// exchange is a request under way.
type exchange struct {
	request traffic.Request
	until   time.Time
	final   chan traffic.Effect
	// cancels end the attempts under way.
	cancels map[int]context.CancelFunc
	done    bool
}

// Carry serves one request and returns its final answer: a Deliver or an
// Answer, or nil if the caller has gone.
func (c *Carrier) Carry(ctx context.Context, request traffic.Request, read time.Time) traffic.Effect {
	x := &exchange{request: request, final: make(chan traffic.Effect, 1), cancels: make(map[int]context.CancelFunc)}
	number := c.arrive(x, read)
	timer := time.NewTimer(x.until.Sub(c.Clock.Now()))
	defer timer.Stop()
	for {
		select {
		case e := <-x.final:
			return e
		case <-timer.C:
			c.Do(traffic.Expired{Call: number})
		case <-ctx.Done():
			c.leave(number, x)
			return nil
		}
	}
}

func (c *Carrier) arrive(x *exchange, read time.Time) uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.calls == nil {
		c.calls = make(map[uint64]*exchange)
	}
	c.last++
	number := c.last
	c.calls[number] = x
	c.reduce(traffic.Arrived{Call: number, Request: x.request, Read: read})
	return number
}

// leave ends a call whose caller has gone.
func (c *Carrier) leave(number uint64, x *exchange) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reduce(traffic.Left{Call: number})
	x.done = true
	c.forget(number, x)
}

// Do takes in an event.
func (c *Carrier) Do(e traffic.Event) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reduce(e)
}

// Look answers a look-up.
func (c *Carrier) Look(q traffic.Query) traffic.Named {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var named traffic.Named
	for _, effect := range c.Steerer.Reduce(c.Clock.Now(), traffic.LookedUp{Query: q}) {
		if n, ok := effect.(traffic.Named); ok {
			named = n
		}
	}
	return named
}

// View calls a function with the reducer, for reading only.
func (c *Carrier) View(read func(*steerer.Steerer)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	read(c.Steerer)
}

func (c *Carrier) reduce(e traffic.Event) {
	for _, effect := range c.Steerer.Reduce(c.Clock.Now(), e) {
		c.execute(effect)
	}
}

// execute starts an effect; it is called with the mutex held and never blocks.
func (c *Carrier) execute(effect traffic.Effect) {
	switch e := effect.(type) {
	case traffic.Admit:
		if x := c.calls[e.Call]; x != nil {
			x.until = e.Until
		}
	case traffic.Send:
		c.send(e)
	case traffic.Cancel:
		if x := c.calls[e.Call]; x != nil && x.cancels[e.Attempt] != nil {
			x.cancels[e.Attempt]()
		}
	case traffic.Watch:
		time.AfterFunc(e.After, func() { c.Do(traffic.Overdue{Call: e.Call, Attempt: e.Attempt}) })
	case traffic.Deliver:
		c.finish(e.Call, e)
	case traffic.Answer:
		c.finish(e.Call, e)
	case traffic.Record:
		c.Record(e)
	case traffic.Reannounce:
		c.Reannounce()
	}
}

func (c *Carrier) finish(number uint64, e traffic.Effect) {
	x := c.calls[number]
	if x == nil || x.done {
		return
	}
	x.done = true
	x.final <- e
	c.forget(number, x)
}

// forget drops a call that has its answer and no attempt under way.
func (c *Carrier) forget(number uint64, x *exchange) {
	if x.done && len(x.cancels) == 0 {
		delete(c.calls, number)
	}
}

func (c *Carrier) send(e traffic.Send) {
	x := c.calls[e.Call]
	if x == nil {
		return
	}
	// The attempt outlives the caller where its work must be finished.
	ctx, cancel := context.WithCancel(context.Background())
	x.cancels[e.Attempt] = cancel
	go func() {
		outcome := c.Forwarder.Exchange(ctx, x.request, e)
		cancel()
		c.ended(x, e, outcome)
	}()
}

func (c *Carrier) ended(x *exchange, e traffic.Send, outcome traffic.Outcome) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(x.cancels, e.Attempt)
	c.reduce(traffic.Ended{Call: e.Call, Attempt: e.Attempt, Outcome: outcome})
	c.forget(e.Call, x)
}
