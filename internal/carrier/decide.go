package carrier

import (
	"fmt"
	"log/slog"
	"runtime/debug"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// maxStackBytes bounds the stack in a log line.
const maxStackBytes = 4 << 10

// decide returns the reducer's effects for an event. A panic loses that event only: an event
// that comes from the store reaches all instances, and they must not all end again and again.
func (c *Carrier) decide(e traffic.Event) (effects []traffic.Effect) {
	defer func() {
		if failure := recover(); failure != nil {
			effects = c.effectsOfPanic(e, failure)
		}
	}()
	return c.Steerer.Reduce(c.Clock.Now(), e)
}

// effectsOfPanic logs a panic and ends the call that it concerns. Whether that has run is not
// known any more.
func (c *Carrier) effectsOfPanic(e traffic.Event, failure any) []traffic.Effect {
	c.RecordPanic("panic in a decision", failure, slog.String("event", fmt.Sprintf("%T", e)))
	number, ok := callOf(e)
	if !ok {
		return nil
	}
	c.Steerer.Forget(number)
	return []traffic.Effect{traffic.Refuse{Call: number, Reason: traffic.Interrupted, Fate: traffic.Unknown}}
}

// RecordPanic logs a panic with its stack. It must be called while the panic is recovered.
func (c *Carrier) RecordPanic(message string, failure any, attributes ...slog.Attr) {
	stack := debug.Stack()
	c.Record(traffic.Record{
		Level:   slog.LevelError,
		Message: message,
		Attributes: append(attributes, slog.String("error", fmt.Sprint(failure)),
			slog.String("stack", string(stack[:min(len(stack), maxStackBytes)]))),
	})
}

// callOf returns the number of the call that an event is about.
func callOf(e traffic.Event) (number uint64, ok bool) {
	switch e := e.(type) {
	case traffic.Arrived:
		return e.Call, true
	case traffic.Starting:
		return e.Call, true
	case traffic.Ended:
		return e.Call, true
	case traffic.Overdue:
		return e.Call, true
	case traffic.Expired:
		return e.Call, true
	case traffic.CallerLeft:
		return e.Call, true
	}
	return 0, false
}
