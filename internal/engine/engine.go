// Package engine runs a reducer: it serializes events, gives them their time,
// and hands each effect to an executor.
//
// Usage:
//
//	e := engine.Engine{Reducer: r, Clock: clock.System(), Execute: execute}
//	reply := e.Do(message.LookedUp{...})
package engine

import (
	"sync"

	"github.com/yuccathread/yuccathread/internal/clock"
	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/reducer"
)

// Engine owns a reducer. Set the fields before the first event.
type Engine struct {
	Reducer *reducer.Reducer
	Clock   clock.Clock
	// Execute starts an effect. It is called with the engine locked: it must
	// not block and must not call the engine.
	Execute func(message.Effect)

	mutex sync.Mutex
}

// Do takes in an event. Answers to questions (look-ups, tickets, gossip) are
// returned; every other effect is executed.
func (e *Engine) Do(event message.Event) message.Effect {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var reply message.Effect
	for _, x := range e.Reducer.Reduce(e.Clock.Now(), event) {
		switch x.(type) {
		case message.AnswerLookUp, message.AnswerTicket, message.ReplyGossip:
			reply = x
		default:
			e.Execute(x)
		}
	}
	return reply
}

// View calls a function with the reducer, for reading only.
func (e *Engine) View(read func(*reducer.Reducer)) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	read(e.Reducer)
}
