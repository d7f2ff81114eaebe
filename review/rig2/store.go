//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the number of items in a page of a range and in the answer to a watch.
const pageItems = 400

// item is a stored key. Value is encoded as base64 by encoding/json.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Create   int64  `json:"create_revision,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

type storeLease struct {
	ttl   time.Duration
	until time.Time
}

// store is a stand-in of the platform's store: it is linearizable, loses nothing and is never
// slow.
type store struct {
	address string

	mutex     sync.Mutex
	revision  int64
	items     map[string]item
	history   []item
	leases    map[int64]*storeLease
	lastLease int64
	changed   chan struct{}
}

func startStore() *store {
	s := &store{revision: 10, items: map[string]item{}, leases: map[int64]*storeLease{}, changed: make(chan struct{})}
	listener := listen()
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.get)
	mux.HandleFunc("GET /-/kv-range", s.list)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	mux.HandleFunc("POST /-/kv-txn", s.transact)
	mux.HandleFunc("POST /-/kv-lease", s.grant)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.renew)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.endLease)
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Store-Era", "1")
		mux.ServeHTTP(w, r)
	}))
	go s.expire()
	return s
}

// listen listens on a free loopback port.
func listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun(err)
	}
	return listener
}

// put writes a key as the operator, a server or another writer does, and returns when it is
// acknowledged.
func (s *store) put(key string, value any) time.Time {
	encoded, err := json.Marshal(value)
	if err != nil {
		cannotRun(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.write(key, encoded, 0)
	return time.Now()
}

func (s *store) remove(key string) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.delete(key)
	return time.Now()
}

// beat is a server's report: the entry changes only if more than seq does.
func (s *store) beat(key string, value, withoutSeq any) time.Time {
	encoded, _ := json.Marshal(value)
	plain, _ := json.Marshal(withoutSeq)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if stored, ok := s.items[key]; !ok || !bytes.Equal(dropSeq(stored.Value), plain) {
		s.write(key, encoded, 0)
	}
	return time.Now()
}

func dropSeq(value []byte) []byte {
	var e entry
	if json.Unmarshal(value, &e) != nil {
		return nil
	}
	e.Status.Seq = 0
	plain, _ := json.Marshal(e)
	return plain
}

func (s *store) write(key string, value []byte, lease int64) {
	s.revision++
	create := s.revision
	if former, ok := s.items[key]; ok {
		create = former.Create
	}
	i := item{Key: key, Value: value, Revision: s.revision, Create: create, Lease: lease}
	s.items[key] = i
	s.history = append(s.history, i)
	s.notify()
}

func (s *store) delete(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Removed: true})
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends leases that were not renewed.
func (s *store) expire() {
	for range time.Tick(100 * time.Millisecond) {
		s.mutex.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.until) {
				s.dropLease(id)
			}
		}
		s.mutex.Unlock()
	}
}

func (s *store) dropLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.delete(key)
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	i, ok := s.items[r.FormValue("key")]
	s.mutex.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, i)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, r.FormValue("prefix")) && key > r.FormValue("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	found := []item{}
	for _, key := range keys[:min(len(keys), pageItems)] {
		found = append(found, s.items[key])
	}
	reply(w, http.StatusOK, map[string]any{"items": found, "has_more": len(keys) > pageItems, "as_of": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mutex.Lock()
		events, asOf, changed := []item{}, s.revision, s.changed
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, r.FormValue("prefix")) && len(events) < pageItems {
				events = append(events, i)
				asOf = i.Revision
			}
		}
		if len(events) < pageItems {
			asOf = s.revision
		}
		s.mutex.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var x struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"precondition"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"writes"`
		Deletes []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&x) != nil || len(x.Precondition)+len(x.Writes)+len(x.Deletes) > 32 {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, p := range x.Precondition {
		if s.items[p.Key].Revision != p.Revision {
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": []item{}})
			return
		}
	}
	for _, p := range x.Writes {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, http.StatusForbidden, struct{}{})
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	for _, p := range x.Writes {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range x.Deletes {
		s.delete(key)
	}
	reply(w, http.StatusOK, map[string]int64{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var asked struct {
		TTL string `json:"ttl_time"`
	}
	_ = json.NewDecoder(r.Body).Decode(&asked)
	ttl, err := time.ParseDuration(asked.TTL)
	if err != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = &storeLease{ttl: ttl, until: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.lastLease, "ttl_time": asked.TTL})
}

func (s *store) renew(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	l.until = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_time": strconv.FormatInt(l.ttl.Milliseconds(), 10) + "ms"})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.leases[id] == nil {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	s.dropLease(id)
	reply(w, http.StatusOK, struct{}{})
}
