// Package engine runs a reducer. It serializes events, passes the current time with
// each of them, and passes each effect to an executor.
//
// Usage:
//
//	e := engine.Engine{Reducer: r, Clock: clock.System(), Execute: execute}
//	reply := e.Handle(message.LookUpRequested{...})
package engine

import (
	"sync"

	"github.com/yuccathread/yuccathread/internal/clock"
	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/reducer"
)

// Engine runs a reducer. Set the exported fields before the first event.
type Engine struct {
	Reducer *reducer.Reducer
	Clock   clock.Clock
	// Execute starts an effect. It is called with the engine locked, so it must not
	// block and must not call the engine.
	Execute func(message.Effect)

	mutex sync.Mutex
}

// Handle passes an event to the reducer. It returns the reply to an event that asks
// for one (look-up, ticket or gossip) and executes every other effect.
func (e *Engine) Handle(event message.Event) message.Effect {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var reply message.Effect
	for _, effect := range e.Reducer.Reduce(e.Clock.Now(), event) {
		switch effect.(type) {
		case message.AnswerLookUp, message.AnswerTicket, message.ReplyGossip:
			reply = effect
		default:
			e.Execute(effect)
		}
	}
	return reply
}

// View calls read with the reducer while no event is being handled. read must not
// modify the reducer.
func (e *Engine) View(read func(*reducer.Reducer)) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	read(e.Reducer)
}
