// Package keeper remembers once-only work by its key, so that a second
// request with the same key joins the first or gets its result.
//
// Usage:
//
//	k := keeper.Keeper{Limit: 100000}
//	switch r, begun := k.Begin(key, digest, id, expires); {
//	case begun: // run it, then k.Finish(key, result)
//	case r == nil: // no room, or another body under this key
//	case r.Done: // answer with r.Result
//	default: // wait: id is in r.Waiters
//	}
package keeper

import (
	"time"

	"github.com/yuccathread/yuccathread/internal/model"
)

// Keeper holds the records. Limit bounds their number.
type Keeper struct {
	Limit int

	records map[string]*model.OnceRecord
}

// Begin starts work under a key. It returns the key's record and true if the
// caller is to run the work. Otherwise the caller has joined the waiters of
// the record, or the record is done. A nil record means that there is no room.
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
	r = &model.OnceRecord{Digest: digest, Runner: id, Expires: expires}
	k.records[key] = r
	return r, true
}

// Finish ends the work under a key and returns those who wait for it. Work
// that did not run leaves the key free for another try.
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

// Runner returns the request that runs or ran the work under a key.
func (k *Keeper) Runner(key string) (string, bool) {
	r, ok := k.records[key]
	if !ok {
		return "", false
	}
	return r.Runner, true
}

// Expire forgets finished records whose time is over and returns the requests
// that ran them.
func (k *Keeper) Expire(now time.Time) []string {
	var runners []string
	for key, r := range k.records {
		if r.Done && !r.Pinned && now.After(r.Expires) {
			delete(k.records, key)
			runners = append(runners, r.Runner)
		}
	}
	return runners
}

// Pin keeps a record from being forgotten until it is released.
func (k *Keeper) Pin(key string, pinned bool) {
	if r, ok := k.records[key]; ok {
		r.Pinned = pinned
	}
}

// Len returns the number of records.
func (k *Keeper) Len() int {
	return len(k.records)
}
