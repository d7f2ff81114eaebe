// Package fakeplatform is an in-memory fake of the platform's store and its list
// of instances and servers, for tests and the demonstration. Faults can be
// injected into it.
//
// Usage:
//
//	p := &fakeplatform.Platform{Clock: clock.System()}
//	http.ListenAndServe(address, p.Handler())
//
// POST /admin/faults takes a model.PlatformFaults and PUT /admin/listing?domain=
// takes a model.Listing. GET /admin/calls returns the number of store calls.
package fakeplatform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/yuccathread/yuccathread/internal/clock"
	"github.com/yuccathread/yuccathread/internal/model"
)

const (
	maxValueBytes = 1 << 20
	// pollInterval is how often a long-polling read checks for a change.
	pollInterval = 10 * time.Millisecond
	// maxWait is the longest time that a long-polling read waits.
	maxWait = 30 * time.Second
)

// Platform is the fake platform. Set Clock before the first call.
type Platform struct {
	Clock clock.Clock

	mutex    sync.Mutex
	faults   model.PlatformFaults
	values   map[string]storedValue
	revision int64
	listings map[string]model.Listing
	reads    int
	writes   int
}

type storedValue struct {
	model.StoreValue

	expires time.Time
}

// Handler returns the HTTP handler of the platform.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/keys/{key...}", p.handleGet)
	mux.HandleFunc("PUT /v1/keys/{key...}", p.handlePut)
	mux.HandleFunc("GET /v1/instances", p.handleList)
	mux.HandleFunc("POST /admin/faults", p.handleSetFaults)
	mux.HandleFunc("PUT /admin/listing", p.handlePutListing)
	mux.HandleFunc("GET /admin/calls", p.handleCalls)
	return mux
}

// SetListing replaces the listing of a failure domain.
func (p *Platform) SetListing(domain string, listing model.Listing) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.listings == nil {
		p.listings = make(map[string]model.Listing)
	}
	p.listings[domain] = listing
}

// SetFaults replaces the injected faults. They apply to all later calls.
func (p *Platform) SetFaults(faults model.PlatformFaults) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.faults = faults
}

// injectFault applies the injected delay and reports whether the call must
// fail. isList is true for a call to the list and false for a call to the store.
func (p *Platform) injectFault(isList bool) bool {
	p.mutex.Lock()
	faults := p.faults
	p.mutex.Unlock()
	time.Sleep(faults.Delay.Duration)
	if isList {
		return faults.ListDown
	}
	return faults.StoreDown
}

func (p *Platform) handleGet(w http.ResponseWriter, r *http.Request) {
	if p.injectFault(false) {
		http.Error(w, "the store is unavailable", http.StatusServiceUnavailable)
		return
	}
	p.mutex.Lock()
	p.reads++
	p.mutex.Unlock()
	newerThan, _ := strconv.ParseInt(r.FormValue("newer_than"), 10, 64)
	waitMS, _ := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	deadline := time.Now().Add(min(maxWait, time.Duration(waitMS)*time.Millisecond))
	stored, ok := p.get(r.PathValue("key"))
	for ok && stored.Revision <= newerThan && time.Now().Before(deadline) && r.Context().Err() == nil {
		time.Sleep(pollInterval)
		stored, ok = p.get(r.PathValue("key"))
	}
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case stored.Revision <= newerThan:
		w.WriteHeader(http.StatusNotModified)
	default:
		writeJSON(w, http.StatusOK, stored.StoreValue)
	}
}

func (p *Platform) get(key string) (storedValue, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.getLocked(key)
}

// getLocked returns the value of a key unless it has expired. The caller must
// hold the mutex.
func (p *Platform) getLocked(key string) (storedValue, bool) {
	stored, ok := p.values[key]
	if ok && !stored.expires.IsZero() && p.Clock.Now().After(stored.expires) {
		delete(p.values, key)
		return storedValue{}, false
	}
	return stored, ok
}

func (p *Platform) handlePut(w http.ResponseWriter, r *http.Request) {
	if p.injectFault(false) {
		http.Error(w, "the store is unavailable", http.StatusServiceUnavailable)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil || !json.Valid(data) {
		http.Error(w, "the body must be a JSON value of at most 1 MiB", http.StatusBadRequest)
		return
	}
	expected, _ := strconv.ParseInt(r.FormValue("expect"), 10, 64)
	ttlMS, _ := strconv.ParseInt(r.FormValue("ttl_ms"), 10, 64)
	revision, conflict, loseAnswer := p.compareAndSwap(r.PathValue("key"), data, expected, time.Duration(ttlMS)*time.Millisecond)
	switch {
	case loseAnswer:
		panic(http.ErrAbortHandler)
	case conflict:
		writeJSON(w, http.StatusConflict, model.StoreValue{Revision: revision})
	default:
		writeJSON(w, http.StatusOK, model.StoreValue{Revision: revision})
	}
}

// compareAndSwap writes a value if the key is at the expected revision, and
// returns the revision that the key then has. loseAnswer tells the handler to
// close the connection instead of answering.
func (p *Platform) compareAndSwap(key string, data []byte, expected int64, ttl time.Duration) (revision int64, conflict, loseAnswer bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.writes++
	stored, _ := p.getLocked(key)
	if stored.Revision != expected {
		return stored.Revision, true, false
	}
	p.revision++
	stored = storedValue{StoreValue: model.StoreValue{Revision: p.revision, Data: data}}
	if ttl > 0 {
		stored.expires = p.Clock.Now().Add(ttl)
	}
	if p.values == nil {
		p.values = make(map[string]storedValue)
	}
	p.values[key] = stored
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
		return stored.Revision, false, true
	}
	return stored.Revision, false, false
}

func (p *Platform) handleList(w http.ResponseWriter, r *http.Request) {
	if p.injectFault(true) {
		http.Error(w, "the instance list is unavailable", http.StatusServiceUnavailable)
		return
	}
	p.mutex.Lock()
	listing := p.listings[r.FormValue("domain")]
	p.mutex.Unlock()
	writeJSON(w, http.StatusOK, listing)
}

func (p *Platform) handleSetFaults(w http.ResponseWriter, r *http.Request) {
	var faults model.PlatformFaults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(faults)
}

func (p *Platform) handlePutListing(w http.ResponseWriter, r *http.Request) {
	var listing model.Listing
	if err := json.NewDecoder(r.Body).Decode(&listing); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetListing(r.FormValue("domain"), listing)
}

// callCounts is the number of calls to the store.
type callCounts struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
}

func (p *Platform) handleCalls(w http.ResponseWriter, _ *http.Request) {
	p.mutex.Lock()
	counts := callCounts{Reads: p.reads, Writes: p.writes}
	p.mutex.Unlock()
	writeJSON(w, http.StatusOK, counts)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
