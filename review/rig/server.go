//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one run of a request at a server.
type run struct {
	id, server, service, target string
	began                       time.Time
}

// fleet holds the stand-ins of the upstream servers. Each request says in its query how
// long its work takes (work, in milliseconds) and how long its answer is (size, in bytes).
type fleet struct {
	rig *rig
	// loseAnswer, if set, reports whether a server loses the answer to the request that it
	// has just run.
	loseAnswer func(server string) bool

	mutex sync.Mutex
	runs  map[string][]run
}

// start starts a server and registers it.
func (f *fleet) start(id, service, zone string, slots int) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	free := make(chan struct{}, slots)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.serve(w, r, id, service, free)
	})}
	go server.Serve(listener)
	f.register(id, service, zone, listener.Addr().String(), slots, 1)
}

func (f *fleet) register(id, service, zone, address string, slots, sequence int) {
	f.rig.store.put("servers/"+id, map[string]any{
		"address": address, "born": f.rig.started.UnixMilli(),
		"info":   map[string]any{"service": service, "version": "v1", "zone": zone, "slots": slots},
		"status": map[string]any{"state": "ready", "seq": sequence, "cold_left": "0ms"},
	})
}

func (f *fleet) serve(w http.ResponseWriter, r *http.Request, server, service string, free chan struct{}) {
	id := r.Header.Get("Yuccathread-Request-Id")
	w.Header().Set("Yuccathread-Request-Id", id)
	if r.Header.Get("Yuccathread-Expect-Instance") != server {
		w.Header().Set("Yuccathread-Instance-Id", server)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	select {
	case free <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-free }()
	f.mutex.Lock()
	f.runs[id] = append(f.runs[id], run{id: id, server: server, service: service, target: r.RequestURI, began: time.Now()})
	f.mutex.Unlock()
	f.rig.logf("server %s of %s runs %s %s, request %s", server, service, r.Method, r.RequestURI, id)
	if !work(r) {
		f.rig.logf("server %s drops request %s: its connection has closed", server, id)
		return
	}
	if f.loseAnswer != nil && f.loseAnswer(server) {
		f.rig.logf("server %s has run request %s, its answer is lost", server, id)
		panic(http.ErrAbortHandler)
	}
	size, _ := strconv.Atoi(r.FormValue("size"))
	w.Header().Set("Yuccathread-Response-Stamp", fmt.Sprintf("%s.%d", server, time.Now().UnixNano()))
	w.Header().Set("Content-Length", strconv.Itoa(max(size, 2)))
	_, _ = io.WriteString(w, "ok")
	filler := make([]byte, 16<<10)
	for left := size - 2; left > 0; {
		n, err := w.Write(filler[:min(left, len(filler))])
		if err != nil {
			return
		}
		left -= n
	}
}

// work waits for the time that the request asks for, and reports whether the connection
// has stayed open.
func work(r *http.Request) bool {
	ms, _ := strconv.Atoi(r.URL.Query().Get("work"))
	select {
	case <-time.After(time.Duration(ms) * time.Millisecond):
		return true
	case <-r.Context().Done():
		return false
	}
}

// runsOf returns the runs of a request.
func (f *fleet) runsOf(id string) []run {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]run(nil), f.runs[id]...)
}
