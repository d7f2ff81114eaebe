//go:build review

package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's store. It keeps everything in memory, serves
// linearizable reads and loses nothing.
type store struct {
	mutex    sync.Mutex
	changed  chan struct{}
	revision int64
	items    map[string]map[string]any
	history  []map[string]any
	leases   map[int64]*storeLease
	lastID   int64
}

type storeLease struct {
	ttl   time.Duration
	until time.Time
}

func newStore() *store {
	return &store{
		changed: make(chan struct{}), revision: 10, items: map[string]map[string]any{},
		leases: map[int64]*storeLease{},
	}
}

// put writes an item of the operator or of a server.
func (s *store) put(key string, value any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.write(key, base64.StdEncoding.EncodeToString(text), 0)
}

func (s *store) write(key, value string, lease int64) {
	s.revision++
	created := s.revision
	if old := s.items[key]; old != nil {
		created = old["create_revision"].(int64)
	}
	item := map[string]any{"key": key, "value": value, "revision": s.revision, "create_revision": created, "lease": lease}
	s.items[key] = item
	s.record(item)
}

func (s *store) remove(key string) {
	if s.items[key] == nil {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(map[string]any{"key": key, "revision": s.revision, "removed": true})
}

func (s *store) record(change map[string]any) {
	s.history = append(s.history, change)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the items of the leases that have ended, until stop is closed.
func (s *store) expire(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		s.mutex.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.until) {
				s.end(id)
			}
		}
		s.mutex.Unlock()
	}
}

func (s *store) end(id int64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item["lease"].(int64) == id {
			s.remove(key)
		}
	}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.handleKey)
	mux.HandleFunc("GET /-/kv-range", s.handleRange)
	mux.HandleFunc("GET /-/kv-watch", s.handleWatch)
	mux.HandleFunc("POST /-/kv-txn", s.handleTxn)
	mux.HandleFunc("POST /-/kv-lease", s.handleGrant)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.handleKeep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.handleEnd)
	return mux
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) handleKey(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	item := s.items[r.FormValue("key")]
	if item == nil {
		reply(w, http.StatusNotFound, map[string]any{"as_of": s.revision})
		return
	}
	reply(w, http.StatusOK, item)
}

func (s *store) handleRange(w http.ResponseWriter, r *http.Request) {
	const page = 500
	s.mutex.Lock()
	defer s.mutex.Unlock()
	keys := []string{}
	for key := range s.items {
		if strings.HasPrefix(key, r.FormValue("prefix")) && key > r.FormValue("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	found := []any{}
	for _, key := range keys[:min(len(keys), page)] {
		found = append(found, s.items[key])
	}
	reply(w, http.StatusOK, map[string]any{"items": found, "has_more": len(keys) > page, "as_of": s.revision})
}

func (s *store) handleWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mutex.Lock()
		events := []any{}
		for _, change := range s.history {
			if change["revision"].(int64) > after && strings.HasPrefix(change["key"].(string), r.FormValue("prefix")) {
				events = append(events, change)
			}
		}
		revision, changed := s.revision, s.changed
		s.mutex.Unlock()
		if len(events) > 0 || !waiting {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

type txn struct {
	Precondition []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"precondition"`
	Writes []struct {
		Key   string `json:"key"`
		Value string `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"writes"`
	Deletes []string `json:"deletes"`
}

func (s *store) handleTxn(w http.ResponseWriter, r *http.Request) {
	var x txn
	if json.NewDecoder(r.Body).Decode(&x) != nil || len(x.Precondition)+len(x.Writes)+len(x.Deletes) > 32 {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, p := range x.Precondition {
		current := int64(0)
		if item := s.items[p.Key]; item != nil {
			current = item["revision"].(int64)
		}
		if current != p.Revision {
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": []any{}})
			return
		}
	}
	for _, write := range x.Writes {
		if strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/") {
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, write := range x.Writes {
		s.write(write.Key, write.Value, write.Lease)
	}
	for _, key := range x.Deletes {
		s.remove(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) handleGrant(w http.ResponseWriter, r *http.Request) {
	var x struct {
		TTL string `json:"ttl_time"`
	}
	ttl := time.Duration(0)
	if json.NewDecoder(r.Body).Decode(&x) == nil {
		ttl, _ = time.ParseDuration(x.TTL)
	}
	if ttl < time.Second {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastID++
	s.leases[s.lastID] = &storeLease{ttl: ttl, until: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.lastID, "ttl_time": x.TTL})
}

func (s *store) handleKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.until = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttl_time": strconv.FormatInt(l.ttl.Milliseconds(), 10) + "ms"})
}

func (s *store) handleEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.leases[id] == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.end(id)
	reply(w, http.StatusOK, map[string]any{})
}
