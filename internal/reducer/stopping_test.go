package reducer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
	"github.com/yuccathread/yuccathread/internal/reducer"
)

// Guards against an instance that never ends after a stop request since it lacks a
// configuration, servers or a table at that moment.
func TestStopFromEmptyStates(t *testing.T) {
	first := message.ConfigurationReceived{Head: model.Head{Change: model.Change{Version: 1}}, Configuration: configuration(currentFleet)}
	for name, prepare := range map[string]func(r *reducer.Reducer){
		"no event before":          func(*reducer.Reducer) {},
		"no configuration":         func(r *reducer.Reducer) { r.Reduce(startTime, message.Ticked{}) },
		"only a configuration":     func(r *reducer.Reducer) { r.Reduce(startTime, first) },
		"requested twice":          func(r *reducer.Reducer) { r.Reduce(startTime, message.StopRequested{}) },
		"configuration in between": func(r *reducer.Reducer) { r.Reduce(startTime, message.StopRequested{}); r.Reduce(startTime, first) },
	} {
		r := &reducer.Reducer{Self: instance(0, 0), StopLimit: 15 * time.Second}
		prepare(r)
		r.Reduce(startTime, message.StopRequested{})
		var exits []message.Exit
		for now := startTime; now.Before(startTime.Add(20 * time.Second)); now = now.Add(100 * time.Millisecond) {
			for _, e := range r.Reduce(now, message.Ticked{}) {
				if exit, ok := e.(message.Exit); ok {
					exits = append(exits, exit)
					assert.Assert(t, now.Before(startTime.Add(7*time.Second)), "%s: it took %v", name, now.Sub(startTime))
				}
			}
		}
		assert.DeepEqual(t, exits, []message.Exit{{WaitedFor: message.WaitedForLookUps}})
	}
}
