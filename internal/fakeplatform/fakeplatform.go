// Package fakeplatform stands in for the platform's store and instance list in
// tests and in the demonstration. It keeps everything in memory and can be
// made to fail.
//
// Usage:
//
//	p := &fakeplatform.Platform{Clock: clock.System()}
//	http.ListenAndServe(address, p.Handler())
//
// POST /admin/faults takes a model.PlatformFaults, PUT /admin/listing?domain=
// a model.Listing, GET /admin/calls returns the number of store calls.
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
	maxBytes = 1 << 20
	// pollInterval is how often a waiting watch looks for a change.
	pollInterval = 10 * time.Millisecond
	// maxWait bounds a waiting watch.
	maxWait = 30 * time.Second
)

// Platform is the stand-in. Set Clock before the first call.
type Platform struct {
	Clock clock.Clock

	mutex    sync.Mutex
	faults   model.PlatformFaults
	values   map[string]value
	revision int64
	listings map[string]model.Listing
	reads    int
	writes   int
}

type value struct {
	model.StoreValue

	expires time.Time
}

// Handler returns the platform's HTTP surface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/keys/{key...}", p.get)
	mux.HandleFunc("PUT /v1/keys/{key...}", p.put)
	mux.HandleFunc("GET /v1/instances", p.list)
	mux.HandleFunc("POST /admin/faults", p.setFaults)
	mux.HandleFunc("PUT /admin/listing", p.putListing)
	mux.HandleFunc("GET /admin/calls", p.calls)
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

// Break sets what goes wrong from now on.
func (p *Platform) Break(faults model.PlatformFaults) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.faults = faults
}

// down delays a call and reports whether it is to fail.
func (p *Platform) down(list bool) bool {
	p.mutex.Lock()
	faults := p.faults
	p.mutex.Unlock()
	time.Sleep(faults.Delay.Duration)
	if list {
		return faults.ListDown
	}
	return faults.StoreDown
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	if p.down(false) {
		http.Error(w, "the store is away", http.StatusServiceUnavailable)
		return
	}
	p.mutex.Lock()
	p.reads++
	p.mutex.Unlock()
	newerThan, _ := strconv.ParseInt(r.FormValue("newer_than"), 10, 64)
	waitMS, _ := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	end := time.Now().Add(min(maxWait, time.Duration(waitMS)*time.Millisecond))
	v, ok := p.find(r.PathValue("key"))
	for ok && v.Revision <= newerThan && time.Now().Before(end) && r.Context().Err() == nil {
		time.Sleep(pollInterval)
		v, ok = p.find(r.PathValue("key"))
	}
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case v.Revision <= newerThan:
		w.WriteHeader(http.StatusNotModified)
	default:
		writeJSON(w, http.StatusOK, v.StoreValue)
	}
}

func (p *Platform) find(key string) (value, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.current(key)
}

// current returns an unexpired value; the mutex is held.
func (p *Platform) current(key string) (value, bool) {
	v, ok := p.values[key]
	if ok && !v.expires.IsZero() && p.Clock.Now().After(v.expires) {
		delete(p.values, key)
		return value{}, false
	}
	return v, ok
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	if p.down(false) {
		http.Error(w, "the store is away", http.StatusServiceUnavailable)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	if err != nil || !json.Valid(data) {
		http.Error(w, "not a JSON value of at most a megabyte", http.StatusBadRequest)
		return
	}
	expect, _ := strconv.ParseInt(r.FormValue("expect"), 10, 64)
	ttlMS, _ := strconv.ParseInt(r.FormValue("ttl_ms"), 10, 64)
	revision, conflict, lost := p.write(r.PathValue("key"), data, expect, time.Duration(ttlMS)*time.Millisecond)
	switch {
	case lost:
		panic(http.ErrAbortHandler)
	case conflict:
		writeJSON(w, http.StatusConflict, model.StoreValue{Revision: revision})
	default:
		writeJSON(w, http.StatusOK, model.StoreValue{Revision: revision})
	}
}

func (p *Platform) write(key string, data []byte, expect int64, ttl time.Duration) (revision int64, conflict, lost bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.writes++
	v, _ := p.current(key)
	if v.Revision != expect {
		return v.Revision, true, false
	}
	p.revision++
	v = value{StoreValue: model.StoreValue{Revision: p.revision, Data: data}}
	if ttl > 0 {
		v.expires = p.Clock.Now().Add(ttl)
	}
	if p.values == nil {
		p.values = make(map[string]value)
	}
	p.values[key] = v
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
		return v.Revision, false, true
	}
	return v.Revision, false, false
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	if p.down(true) {
		http.Error(w, "the list is away", http.StatusServiceUnavailable)
		return
	}
	p.mutex.Lock()
	listing := p.listings[r.FormValue("domain")]
	p.mutex.Unlock()
	writeJSON(w, http.StatusOK, listing)
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults model.PlatformFaults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Break(faults)
}

func (p *Platform) putListing(w http.ResponseWriter, r *http.Request) {
	var listing model.Listing
	if err := json.NewDecoder(r.Body).Decode(&listing); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetListing(r.FormValue("domain"), listing)
}

// calls are counters of store calls.
type calls struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
}

func (p *Platform) calls(w http.ResponseWriter, _ *http.Request) {
	p.mutex.Lock()
	c := calls{Reads: p.reads, Writes: p.writes}
	p.mutex.Unlock()
	writeJSON(w, http.StatusOK, c)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
