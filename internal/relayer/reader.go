package relayer

import (
	"context"
	"time"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// followAsReader follows the store for the others too. Its calls are shorter than those
// of an instance that reads for itself only, since the others notice a failure later.
func (r *Relayer) followAsReader(ctx context.Context, after int64, wait, stallTimeout time.Duration) (traffic.Changes, error) {
	wait = min(wait, r.readerWait())
	stallTimeout = min(stallTimeout, wait+r.Times.ReaderTimeout())
	started := r.Clock.Now()
	changes, err := r.followStore(ctx, after, wait, stallTimeout, r.Times.ReaderPause())
	if err != nil {
		r.setUnavailable()
		r.suspectStore()
		return changes, err
	}
	r.keep(after, changes, r.freshness(changes, started, wait))
	return r.withoutEarly(changes), nil
}

// readerWait returns how long the next call to the store may wait, so that what this
// instance knows does not become too old for the others meanwhile.
func (r *Relayer) readerWait() time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	wait := r.Times.ReaderWait()
	if r.available {
		wait = min(wait, r.Times.ReaderAge()-r.age()-r.Times.ReaderTimeout())
	}
	return max(wait, minWait)
}

// freshness returns a time up to which a call's result tells all changes, or zero if there
// are more. When within the call a change was sent is not known: the response may have
// taken long.
func (r *Relayer) freshness(changes traffic.Changes, started time.Time, wait time.Duration) time.Time {
	switch {
	case changes.More:
		return time.Time{}
	case len(changes.Events) == 0 && r.Clock.Now().Sub(started) >= wait:
		return started.Add(wait)
	}
	return started
}

// age returns how old what this instance knows may be. It is called with the mutex held.
func (r *Relayer) age() time.Duration {
	return r.Clock.Now().Sub(r.freshAt)
}

// keep keeps the changes after a revision for the others. They are complete up to freshAt
// unless that is zero.
func (r *Relayer) keep(after int64, changes traffic.Changes, freshAt time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if after != r.revision {
		// This instance got the changes up to here from another one.
		r.kept.Reset(after)
	}
	r.kept.Max = keptChanges
	for i, e := range changes.Events {
		r.kept.Add(traffic.Key(e), changes.Revisions[i], e)
	}
	r.revision = changes.Revision
	if freshAt.After(r.freshAt) {
		r.freshAt = freshAt
	}
	if !r.available || len(changes.Events) > 0 {
		r.wake()
	}
	r.available = true
}

func (r *Relayer) setUnavailable() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.available {
		r.available = false
		r.wake()
	}
}

// storeSuspected reports whether a reader should ask the others before the store.
func (r *Relayer) storeSuspected() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.Clock.Now().Before(r.storeSuspectUntil)
}

func (r *Relayer) suspectStore() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.storeSuspectUntil = r.Clock.Now().Add(r.Times.Lease())
}

// wake ends the waits of Changes. It is called with the mutex held.
func (r *Relayer) wake() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// Changes answers a query of another instance. It has the form of a method of net/rpc.
func (r *Relayer) Changes(query traffic.ChangesQuery, reply *traffic.ChangesReply) error {
	if !r.admit() {
		*reply = traffic.ChangesReply{Reason: reasonBusy}
		return nil
	}
	defer r.release()
	asked := r.Clock.Now()
	timer := time.NewTimer(min(query.Wait, r.Times.RelayWait()))
	defer timer.Stop()
	for expired := false; ; {
		var changed <-chan struct{}
		*reply, changed = r.reply(query)
		reply.Waited = r.Clock.Now().Sub(asked)
		if expired || !reply.Available || len(reply.Events) > 0 {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		}
	}
}

// admit counts a query that is being answered, unless there are too many.
func (r *Relayer) admit() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.askers >= maxAskers {
		return false
	}
	r.askers++
	return true
}

func (r *Relayer) release() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.askers--
}

// reply returns the reply to a query, and a channel that is closed when there is more.
func (r *Relayer) reply(query traffic.ChangesQuery) (traffic.ChangesReply, <-chan struct{}) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	if reason := r.obstacle(query); reason != "" {
		return traffic.ChangesReply{Reason: reason}, r.changed
	}
	reply := traffic.ChangesReply{Available: true, Age: r.age()}
	r.addUrgent(&reply, query)
	r.addOthers(&reply, query)
	reply.More = reply.Revision < r.revision
	return reply, r.changed
}

// obstacle returns why this instance can't answer a query, or an empty string if it can.
func (r *Relayer) obstacle(query traffic.ChangesQuery) string {
	switch {
	case !r.available:
		return reasonNoReader
	case r.age() > r.Times.ReaderAge():
		return reasonOld
	case query.After < r.kept.From():
		return reasonHistory
	}
	return ""
}

// addUrgent adds the urgent changes that the asking instance does not know.
func (r *Relayer) addUrgent(reply *traffic.ChangesReply, query traffic.ChangesQuery) {
	reply.Urgent = max(query.After, query.Urgent)
	for revision, e := range r.kept.After(reply.Urgent) {
		if !traffic.IsUrgent(e) {
			continue
		}
		if !addToPage(reply, revision, e) {
			return
		}
		reply.Urgent = revision
	}
	reply.Urgent = max(reply.Urgent, r.revision)
}

// addOthers adds the other changes.
func (r *Relayer) addOthers(reply *traffic.ChangesReply, query traffic.ChangesQuery) {
	reply.Revision = query.After
	for revision, e := range r.kept.After(query.After) {
		if traffic.IsUrgent(e) {
			continue
		}
		if !addToPage(reply, revision, e) {
			return
		}
		reply.Revision = revision
	}
	reply.Revision = max(reply.Revision, min(r.revision, reply.Urgent))
}

// addToPage adds a change to a reply unless that is full. All changes of one revision are
// in the same reply.
func addToPage(reply *traffic.ChangesReply, revision int64, e traffic.Event) bool {
	if n := len(reply.Events); n >= pageSize && reply.Revisions[n-1] != revision {
		return false
	}
	reply.Events = append(reply.Events, e)
	reply.Revisions = append(reply.Revisions, revision)
	return true
}
