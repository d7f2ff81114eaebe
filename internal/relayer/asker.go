package relayer

import (
	"slices"
	"time"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// askReaders asks readers in turn for the changes after a revision. ok is false if none
// of those asked has them, or if no time is left to ask.
func (r *Relayer) askReaders(addresses []string, after int64) (changes traffic.Changes, ok bool) {
	hung := 0
	for _, address := range addresses {
		if r.suspected(address) {
			continue
		}
		if hung == maxHung || r.mustAskStore() {
			return traffic.Changes{}, false
		}
		asked := r.Clock.Now()
		reply, err := r.Call(address, traffic.ChangesQuery{After: after, Urgent: r.urgentRevision(), Wait: r.Times.RelayWait()})
		switch {
		case err != nil:
			// The record of a reader that has ended is gone after the time of a lease.
			r.suspect(address, r.Times.Lease(), err.Error())
			hung++
		case isOdd(reply):
			r.suspect(address, r.Times.Lease(), reasonOdd)
		case !reply.Available:
			r.suspect(address, r.Times.RelayWait(), reply.Reason)
		default:
			return r.accept(address, after, asked, reply), true
		}
	}
	return traffic.Changes{}, false
}

// mustAskStore reports whether what this instance knows is so old that a reader which does
// not respond would make it too old. If the store has failed, readers are all there is.
func (r *Relayer) mustAskStore() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return !r.storeFailed && r.Clock.Now().Sub(r.knownAt) > r.Times.RelayLimit()
}

// isOdd reports whether a reply can't be true: the instance that gave it has another build or
// a fault.
func isOdd(reply traffic.ChangesReply) bool {
	if len(reply.Events) != len(reply.Revisions) || reply.Age < 0 || reply.Waited < 0 {
		return true
	}
	return slices.Contains(reply.Events, nil) || slices.ContainsFunc(reply.Revisions, func(revision int64) bool { return revision < 0 })
}

// accept returns the changes in a reply.
func (r *Relayer) accept(address string, after int64, asked time.Time, reply traffic.ChangesReply) traffic.Changes {
	changes := r.withoutEarly(traffic.Changes{
		Events: reply.Events, Revisions: reply.Revisions, Revision: max(after, reply.Revision), More: reply.More, Source: address,
	})
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.pause = 0
	if !reply.More {
		// If this machine was suspended during the call, it took less time here than there.
		waited := min(reply.Waited, r.Clock.Now().Sub(asked))
		r.known(asked.Add(waited - reply.Age))
	}
	for i, e := range changes.Events {
		if revision := changes.Revisions[i]; revision > changes.Revision {
			r.remember(traffic.Key(e), revision)
		}
	}
	r.urgent = max(r.urgent, reply.Urgent, changes.Revision)
	return changes
}

// remember notes that the change of a record is known before older ones of others. It is
// called with the mutex held.
func (r *Relayer) remember(key string, revision int64) {
	if r.early == nil {
		r.early = make(map[string]int64)
	}
	r.early[key] = revision
}

// withoutEarly removes what is older than a change of the same record that is known
// already: it must not undo that change.
func (r *Relayer) withoutEarly(changes traffic.Changes) traffic.Changes {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.early) == 0 {
		return changes
	}
	events, revisions := changes.Events, changes.Revisions
	changes.Events, changes.Revisions = nil, nil
	for i, e := range events {
		if known, ok := r.early[traffic.Key(e)]; ok && revisions[i] <= known {
			continue
		}
		changes.Events = append(changes.Events, e)
		changes.Revisions = append(changes.Revisions, revisions[i])
	}
	for key, revision := range r.early {
		if revision <= changes.Revision {
			delete(r.early, key)
		}
	}
	return changes
}

func (r *Relayer) urgentRevision() int64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.urgent
}

func (r *Relayer) suspected(address string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.Clock.Now().Before(r.suspectUntil[address])
}

// suspect leaves out a reader for a while.
func (r *Relayer) suspect(address string, period time.Duration, reason string) {
	r.Logger.Info("reader left out", "address", address, "reason", reason, "period_ms", period.Milliseconds())
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.suspectUntil == nil {
		r.suspectUntil = make(map[string]time.Time)
	}
	r.suspectUntil[address] = r.Clock.Now().Add(period)
}
