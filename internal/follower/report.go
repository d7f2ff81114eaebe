package follower

import (
	"slices"
	"time"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

const (
	// largeBatch is the number of changes from which on a batch is logged whatever is in
	// it.
	largeBatch = 100
	// storeSource stands for the store in log lines.
	storeSource = "store"
)

// applyAndReport applies the result of a call and logs what tells how late it was: where
// it came from, how long the changes may have waited for the call, how long the call took
// and how long the reducer.
func (f *Follower) applyAndReport(changes traffic.Changes, started time.Time) {
	received := time.Now()
	f.apply(changes)
	applied := time.Now()
	f.reportSource(changes)
	if len(changes.Events) >= largeBatch || slices.ContainsFunc(changes.Events, traffic.IsUrgent) {
		attributes := []any{
			"source", sourceName(changes), "events", len(changes.Events), "revision", changes.Revision,
			"more", changes.More, "call_ms", traffic.Milliseconds(received.Sub(started)), "apply_ms", traffic.Milliseconds(applied.Sub(received)),
		}
		if !f.upToDateAt.IsZero() {
			attributes = append(attributes, "waited_ms", traffic.Milliseconds(started.Sub(f.upToDateAt)))
		}
		f.Logger.Info("changes applied", attributes...)
	}
	f.upToDateAt = started
}

// reportSource logs where changes come from, if that has changed.
func (f *Follower) reportSource(changes traffic.Changes) {
	name := sourceName(changes)
	if name == f.source {
		return
	}
	f.source = name
	f.Logger.Info("source of changes", "source", name, "revision", changes.Revision)
}

func sourceName(changes traffic.Changes) string {
	if changes.Source == "" {
		return storeSource
	}
	return changes.Source
}
