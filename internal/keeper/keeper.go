// Package keeper holds the records of once-only work by idempotency key, so that a
// repeated request waits for the first one with its key or gets its result.
//
// Usage:
//
//	k := keeper.Keeper{Limit: 100000}
//	switch r, begun := k.Begin(key, digest, id, expires); {
//	case begun: // run the work, then call k.Finish(key, result)
//	case r == nil: // the limit is reached
//	case r.Mismatch: // the key was used with another body
//	case r.Done: // answer with r.Result
//	default: // wait: id was added to r.Waiters
//	}
package keeper

import (
	"time"

	"github.com/yuccathread/yuccathread/internal/model"
)

// Keeper holds the records. Limit is their maximum number.
type Keeper struct {
	Limit int

	records map[string]*model.OnceRecord
}

// Begin looks up the record of a key and creates it if there is none. It returns
// the record, and true if it was created and the request must run the work.
// Otherwise the record is done, or the request was added to its waiters, or the
// record has only Mismatch set because the key was used with another body digest.
// The record is nil if the limit is reached.
func (k *Keeper) Begin(key string, digest uint64, id string, expires time.Time) (*model.OnceRecord, bool) {
	if k.records == nil {
		k.records = make(map[string]*model.OnceRecord)
	}
	r, ok := k.records[key]
	if ok && r.Digest != digest {
		return &model.OnceRecord{Mismatch: true}, false
	}
	if ok {
		if !r.Done {
			r.Waiters = append(r.Waiters, id)
		}
		return r, false
	}
	if len(k.records) >= k.Limit {
		return nil, false
	}
	r = &model.OnceRecord{Digest: digest, RunningRequestID: id, Expires: expires}
	k.records[key] = r
	return r, true
}

// Finish stores the result of a key's work and returns the requests that wait for
// it. If the work did not run, the key can be used again.
func (k *Keeper) Finish(key string, result model.Result) []string {
	r, ok := k.records[key]
	if !ok {
		return nil
	}
	waiters := r.Waiters
	r.Waiters = nil
	r.Done = true
	r.Result = result
	if result.Outcome == model.NotRun {
		delete(k.records, key)
	}
	return waiters
}

// RunningRequestID returns the ID of the request that runs or ran the work of a key.
func (k *Keeper) RunningRequestID(key string) (string, bool) {
	r, ok := k.records[key]
	if !ok {
		return "", false
	}
	return r.RunningRequestID, true
}

// Expire deletes finished records that have expired and are not pinned. It returns
// the IDs of the requests that ran their work.
func (k *Keeper) Expire(now time.Time) []string {
	var requestIDs []string
	for key, r := range k.records {
		if r.Done && !r.Pinned && now.After(r.Expires) {
			delete(k.records, key)
			requestIDs = append(requestIDs, r.RunningRequestID)
		}
	}
	return requestIDs
}

// Pin sets whether a record is pinned. A record is pinned while its result is not
// yet in the store, and does not expire until it is unpinned.
func (k *Keeper) Pin(key string, pinned bool) {
	if r, ok := k.records[key]; ok {
		r.Pinned = pinned
	}
}

// Len returns the number of records.
func (k *Keeper) Len() int {
	return len(k.records)
}
