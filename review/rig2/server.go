//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the time between two reports of a server.
const heartbeat = 1500 * time.Millisecond

// entry is what a server says of itself in the store.
type entry struct {
	Address string      `json:"address"`
	Born    int64       `json:"born"`
	Info    entryInfo   `json:"info"`
	Status  entryStatus `json:"status"`
}

type entryInfo struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
}

type entryStatus struct {
	State    string `json:"state"`
	Seq      int64  `json:"seq"`
	ColdLeft string `json:"cold_left"`
}

// server is a stand-in of a back end that runs each request for a time.
type server struct {
	id      string
	service string
	zone    string
	slots   int
	work    time.Duration
	store   *store
	record  *record
	// instead, if set, takes over requests before they run.
	instead func(w http.ResponseWriter, r *http.Request) bool

	address  string
	born     int64
	listener net.Listener
	http     *http.Server
	running  atomic.Int32

	mutex    sync.Mutex
	seq      int64
	draining bool
	ended    bool
}

func (s *server) start() {
	s.listener = listen()
	s.address = s.listener.Addr().String()
	s.born = time.Now().UnixMilli()
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go s.http.Serve(s.listener)
	s.beat()
	go func() {
		for range time.Tick(heartbeat) {
			s.mutex.Lock()
			ended := s.ended
			s.mutex.Unlock()
			if ended {
				return
			}
			s.beat()
		}
	}()
}

// report returns the next report of the server.
func (s *server) report() entry {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.nextReport()
}

func (s *server) nextReport() entry {
	state := "ready"
	if s.draining {
		state = "draining"
	}
	s.seq++
	return entry{
		Address: s.address, Born: s.born,
		Info:   entryInfo{Service: s.service, Version: "v1", Zone: s.zone, Slots: s.slots},
		Status: entryStatus{State: state, Seq: s.seq, ColdLeft: "0ms"},
	}
}

func (s *server) beat() time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.ended {
		return time.Time{}
	}
	e := s.nextReport()
	plain := e
	plain.Status.Seq = 0
	return s.store.beat("servers/"+s.id, e, plain)
}

// drain reports that the server is draining and returns when the store acknowledged it, and the
// number of the report.
func (s *server) drain() (acknowledged time.Time, seq int64) {
	s.mutex.Lock()
	s.draining = true
	s.mutex.Unlock()
	acknowledged = s.beat()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return acknowledged, s.seq
}

// awaitReport waits for the next report of the server.
func (s *server) awaitReport() {
	reports := func() int64 {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		return s.seq
	}
	for former := reports(); reports() == former; {
		time.Sleep(5 * time.Millisecond)
	}
}

// end ends the server at once, after it has removed its entry.
func (s *server) end() {
	s.mutex.Lock()
	s.ended = true
	s.mutex.Unlock()
	s.store.remove("servers/" + s.id)
	s.http.Close()
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Yuccathread-Request-Id")
	s.mutex.Lock()
	draining := s.draining
	s.mutex.Unlock()
	if draining {
		w.Header().Set("Server-Leaving", "1")
	}
	reject := func(status int) {
		w.Header().Set("Yuccathread-Request-Id", id)
		w.Header().Set("Yuccathread-Not-Executed", "1")
		w.WriteHeader(status)
	}
	expected := r.Header.Get("Yuccathread-Expect-Instance")
	switch {
	case expected != "" && expected != s.id:
		reject(http.StatusMisdirectedRequest)
		return
	case id == "":
		reject(http.StatusBadRequest)
		return
	}
	if s.instead != nil && s.instead(w, r) {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	arrived := time.Now()
	if int(s.running.Add(1)) > 3*s.slots {
		s.running.Add(-1)
		reject(http.StatusServiceUnavailable)
		return
	}
	s.record.ran(id, s.id, arrived)
	time.Sleep(s.work)
	running := s.running.Add(-1)
	w.Header().Set("Yuccathread-Request-Id", id)
	w.Header().Set("Yuccathread-Response-Stamp", "stamp."+id)
	w.Header().Set("Yuccathread-Server-Load", fmt.Sprintf("%d,0,%d", running, s.slots))
	body := "done " + id
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}
