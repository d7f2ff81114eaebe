package keeper_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/keeper"
	"github.com/yuccathread/yuccathread/internal/model"
)

var startTime = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func TestOneRequestRunsPerKey(t *testing.T) {
	k := keeper.Keeper{Limit: 2}
	_, begun := k.Begin("key", 7, "first", startTime)
	assert.Assert(t, begun)
	record, begun := k.Begin("key", 7, "second", startTime)
	assert.Assert(t, !begun && !record.Done)
	record, _ = k.Begin("key", 8, "third", startTime)
	assert.Assert(t, record.Mismatch)
	assert.DeepEqual(t, k.Finish("key", model.Result{Outcome: model.Ran}), []string{"second"})
	record, begun = k.Begin("key", 7, "fourth", startTime)
	assert.Assert(t, !begun && record.Done && record.RunningRequestID == "first")
}

func TestWorkThatDidNotRunFreesKey(t *testing.T) {
	k := keeper.Keeper{Limit: 2}
	k.Begin("key", 7, "first", startTime)
	k.Finish("key", model.Result{Outcome: model.NotRun})
	_, begun := k.Begin("key", 7, "second", startTime)
	assert.Assert(t, begun)
}

func TestUnknownOutcomeKeepsKey(t *testing.T) {
	k := keeper.Keeper{Limit: 2}
	k.Begin("key", 7, "first", startTime)
	k.Finish("key", model.Result{Outcome: model.Unknown})
	record, begun := k.Begin("key", 7, "second", startTime)
	assert.Assert(t, !begun && record.Result.Outcome == model.Unknown)
}

func TestRecordsExpireAndAreLimited(t *testing.T) {
	k := keeper.Keeper{Limit: 1}
	k.Begin("key", 7, "first", startTime)
	record, begun := k.Begin("other", 7, "second", startTime)
	assert.Assert(t, record == nil && !begun, "limit exceeded")
	assert.Equal(t, len(k.Expire(startTime.Add(time.Hour))), 0, "expired while its work was running")
	k.Pin("key", true)
	k.Finish("key", model.Result{Outcome: model.Ran})
	assert.Equal(t, len(k.Expire(startTime.Add(time.Hour))), 0, "expired although it was pinned")
	k.Pin("key", false)
	assert.DeepEqual(t, k.Expire(startTime.Add(time.Hour)), []string{"first"})
	assert.Equal(t, k.Len(), 0)
}
