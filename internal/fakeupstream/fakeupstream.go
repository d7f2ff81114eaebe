// Package fakeupstream is a fake upstream server for tests and the demonstration.
// It has a number of slots, a service time and a cold start. Faults can be
// injected: it then drains, reports a false load, fails, hangs, truncates its
// answers or refuses requests.
//
// Usage:
//
//	u := &fakeupstream.Upstream{UpstreamStandIn: settings}
//	http.ListenAndServe(address, u.Handler())
//
// POST /admin/faults takes a model.UpstreamFaults. GET /admin/report returns a
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
	// missingBytes is by how much the Content-Length of a truncated answer exceeds
	// the bytes sent.
	missingBytes = 10
)

// Upstream is the fake server. Set UpstreamStandIn before the first call.
type Upstream struct {
	model.UpstreamStandIn

	mutex    sync.Mutex
	started  time.Time
	inFlight int
	faults   model.UpstreamFaults
	report   model.UpstreamReport
}

// Handler returns the HTTP handler of the server. The server is cold from this
// call until WarmUp has passed.
func (u *Upstream) Handler() http.Handler {
	u.started = time.Now()
	u.report.ByKey = make(map[string]int)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", u.handleRun)
	mux.HandleFunc("GET /load", u.handleLoad)
	mux.HandleFunc("POST /admin/faults", u.handleSetFaults)
	mux.HandleFunc("GET /admin/report", u.handleReport)
	return mux
}

// SetFaults replaces the injected faults. They apply to all later calls.
func (u *Upstream) SetFaults(faults model.UpstreamFaults) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.faults = faults
}

// Report returns the request counts so far.
func (u *Upstream) Report() model.UpstreamReport {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	report := u.report
	report.ByKey = maps.Clone(u.report.ByKey)
	return report
}

func (u *Upstream) handleRun(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	mode, accepted := u.acquireSlot()
	defer u.releaseSlot()
	if u.draining() {
		w.Header().Set(model.HeaderDraining, "true")
	}
	if !accepted {
		w.Header().Set(model.HeaderOutcome, string(model.NotRun))
		http.Error(w, "no free slot", http.StatusServiceUnavailable)
		return
	}
	if !u.simulateWork(r, mode) {
		return
	}
	u.countExecution(r.Header.Get(model.HeaderKey))
	u.writeAnswer(w, r, mode, body)
}

// acquireSlot counts a request as in flight, even if it is refused. It returns
// the fault mode, and false if no slot is free or refusals are injected.
func (u *Upstream) acquireSlot() (string, bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.inFlight++
	u.report.Peak = max(u.report.Peak, u.inFlight)
	u.report.LastArrivalMS = time.Now().UnixMilli()
	if u.inFlight > u.Slots || u.faults.Mode == "refuse" {
		u.report.Refused++
		return u.faults.Mode, false
	}
	return u.faults.Mode, true
}

func (u *Upstream) releaseSlot() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.inFlight--
}

func (u *Upstream) draining() bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.faults.Draining
}

// simulateWork waits for the service time. It returns false if the request was
// cancelled first.
func (u *Upstream) simulateWork(r *http.Request, mode string) bool {
	serviceTime := u.ServiceTime.Duration
	if time.Since(u.started) < u.WarmUp.Duration {
		serviceTime += u.ColdDelay.Duration
	}
	if mode == "hang" {
		serviceTime = time.Hour
	}
	timer := time.NewTimer(serviceTime)
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

func (u *Upstream) countExecution(key string) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.report.Executions++
	if key != "" {
		u.report.ByKey[key]++
	}
}

// writeAnswer answers with the names of the server, the kind and the request,
// followed by the body of the request.
func (u *Upstream) writeAnswer(w http.ResponseWriter, r *http.Request, mode string, body []byte) {
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

// loadReport is the answer of GET /load.
type loadReport struct {
	Slots    int  `json:"slots"`
	Busy     int  `json:"busy"`
	Draining bool `json:"draining"`
}

func (u *Upstream) handleLoad(w http.ResponseWriter, _ *http.Request) {
	u.mutex.Lock()
	report := loadReport{Slots: u.Slots, Busy: u.inFlight, Draining: u.faults.Draining}
	if u.faults.FalseLoad {
		report = loadReport{Slots: u.Slots}
	}
	u.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

func (u *Upstream) handleSetFaults(w http.ResponseWriter, r *http.Request) {
	var faults model.UpstreamFaults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.SetFaults(faults)
}

func (u *Upstream) handleReport(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(u.Report())
}
