package keeper_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/keeper"
	"github.com/yuccathread/yuccathread/internal/model"
)

var begin = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func TestOneRunnerPerKey(t *testing.T) {
	k := keeper.Keeper{Limit: 2}
	_, begun := k.Begin("key", 7, "first", begin)
	assert.Assert(t, begun)
	record, begun := k.Begin("key", 7, "second", begin)
	assert.Assert(t, !begun && !record.Done)
	record, _ = k.Begin("key", 8, "third", begin)
	assert.Assert(t, record.Mismatch)
	assert.DeepEqual(t, k.Finish("key", model.Result{Outcome: model.Ran}), []string{"second"})
	record, begun = k.Begin("key", 7, "fourth", begin)
	assert.Assert(t, !begun && record.Done && record.Runner == "first")
}

func TestWorkThatDidNotRunFreesItsKey(t *testing.T) {
	k := keeper.Keeper{Limit: 2}
	k.Begin("key", 7, "first", begin)
	k.Finish("key", model.Result{Outcome: model.NotRun})
	_, begun := k.Begin("key", 7, "second", begin)
	assert.Assert(t, begun)
}

func TestUnknownWorkKeepsItsKey(t *testing.T) {
	k := keeper.Keeper{Limit: 2}
	k.Begin("key", 7, "first", begin)
	k.Finish("key", model.Result{Outcome: model.Unknown})
	record, begun := k.Begin("key", 7, "second", begin)
	assert.Assert(t, !begun && record.Result.Outcome == model.Unknown)
}

func TestRecordsEndAndAreBounded(t *testing.T) {
	k := keeper.Keeper{Limit: 1}
	k.Begin("key", 7, "first", begin)
	record, begun := k.Begin("other", 7, "second", begin)
	assert.Assert(t, record == nil && !begun, "no room")
	assert.Equal(t, len(k.Expire(begin.Add(time.Hour))), 0, "its work is under way")
	k.Pin("key", true)
	k.Finish("key", model.Result{Outcome: model.Ran})
	assert.Equal(t, len(k.Expire(begin.Add(time.Hour))), 0, "the store does not know its result")
	k.Pin("key", false)
	assert.DeepEqual(t, k.Expire(begin.Add(time.Hour)), []string{"first"})
	assert.Equal(t, k.Len(), 0)
}
