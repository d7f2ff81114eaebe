// Package fakeupstream stands in for an upstream server in tests and in the
// demonstration. It has slots, a time that work takes, a cold start, and can
// be made to drain, lie, fail, hang, cut answers short or refuse.
//
// Usage:
//
//	u := &fakeupstream.Upstream{UpstreamStandIn: settings}
//	http.ListenAndServe(address, u.Handler())
//
// POST /admin/faults takes a model.UpstreamFaults, GET /admin/report returns a
// model.UpstreamReport.
package fakeupstream

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/yuccathread/yuccathread/internal/model"
)

const (
	maxBodyBytes = 8 << 20
	// missingBytes is what a cut answer promises and does not send.
	missingBytes = 10
)

// Upstream is the stand-in. Set UpstreamStandIn before the first call.
type Upstream struct {
	model.UpstreamStandIn

	mutex   sync.Mutex
	started time.Time
	busy    int
	faults  model.UpstreamFaults
	report  model.UpstreamReport
}

// Handler returns the server's HTTP surface.
func (u *Upstream) Handler() http.Handler {
	u.started = time.Now()
	u.report.ByKey = make(map[string]int)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", u.run)
	mux.HandleFunc("GET /load", u.load)
	mux.HandleFunc("POST /admin/faults", u.setFaults)
	mux.HandleFunc("GET /admin/report", u.getReport)
	return mux
}

// Break sets what goes wrong from now on.
func (u *Upstream) Break(faults model.UpstreamFaults) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.faults = faults
}

// Report returns what the server saw.
func (u *Upstream) Report() model.UpstreamReport {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	report := u.report
	report.ByKey = maps.Clone(u.report.ByKey)
	return report
}

func (u *Upstream) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	mode, ok := u.enter()
	defer u.leave()
	if u.draining() {
		w.Header().Set(model.HeaderDraining, "true")
	}
	if !ok {
		w.Header().Set(model.HeaderOutcome, string(model.NotRun))
		http.Error(w, "no free slot", http.StatusServiceUnavailable)
		return
	}
	if !u.work(r, mode) {
		return
	}
	u.executed(r.Header.Get(model.HeaderKey))
	u.answer(w, r, mode, body)
}

// enter takes a slot and returns false if the server refuses.
func (u *Upstream) enter() (string, bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.busy++
	u.report.Peak = max(u.report.Peak, u.busy)
	u.report.LastArrivalMS = time.Now().UnixMilli()
	if u.busy > u.Slots || u.faults.Mode == "refuse" {
		u.report.Refused++
		return u.faults.Mode, false
	}
	return u.faults.Mode, true
}

func (u *Upstream) leave() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.busy--
}

func (u *Upstream) draining() bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.faults.Draining
}

// work takes its time and returns false if the request was cancelled.
func (u *Upstream) work(r *http.Request, mode string) bool {
	took := u.Work.Duration
	if time.Since(u.started) < u.Warming.Duration {
		took += u.Cold.Duration
	}
	if mode == "hang" {
		took = time.Hour
	}
	timer := time.NewTimer(took)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		u.mutex.Lock()
		u.report.Cancelled++
		u.mutex.Unlock()
		return false
	}
}

func (u *Upstream) executed(key string) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.report.Executions++
	if key != "" {
		u.report.ByKey[key]++
	}
}

// answer names the request and the server, and repeats the body.
func (u *Upstream) answer(w http.ResponseWriter, r *http.Request, mode string, body []byte) {
	if mode == "fail" {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	id := r.Header.Get(model.HeaderRequestID)
	text := fmt.Sprintf("%s %s %s\n%s", u.Name, r.Header.Get(model.HeaderKind), id, body)
	w.Header().Set(model.HeaderRequestID, id)
	w.Header().Set("Content-Type", "text/plain")
	if mode == "truncate" {
		w.Header().Set("Content-Length", strconv.Itoa(len(text)+missingBytes))
		_, _ = io.WriteString(w, text)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

// loadReport is what the server says of itself.
type loadReport struct {
	Slots    int  `json:"slots"`
	Busy     int  `json:"busy"`
	Draining bool `json:"draining"`
}

func (u *Upstream) load(w http.ResponseWriter, _ *http.Request) {
	u.mutex.Lock()
	report := loadReport{Slots: u.Slots, Busy: u.busy, Draining: u.faults.Draining}
	if u.faults.Lie {
		report = loadReport{Slots: u.Slots}
	}
	u.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

func (u *Upstream) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults model.UpstreamFaults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.Break(faults)
}

func (u *Upstream) getReport(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(u.Report())
}
