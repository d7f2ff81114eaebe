//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// lastMoment is the time from the disruption to the end of the server.
const lastMoment = 600 * time.Millisecond

// drainBound is the bound "drain" of the settings.
const drainBound = 2500 * time.Millisecond

// oddEntry lets another writer leave an entry with missing fields of a server that drains and
// still serves.
func oddEntry(w *world) int {
	return w.drain(0, func(leaves *server) {
		w.store.put("servers/"+leaves.id, map[string]any{
			"address": leaves.address,
			"info":    map[string]any{"service": "bestel", "zone": "gent-a", "slots": 4},
			"status":  map[string]any{"state": "ready", "cold_left": "0ms"},
		})
		w.note("another writer leaves an entry of i-leaves without born, version and seq")
	})
}

// firstOrder is the time after which orders come in lateReport: no order is at the server while it
// begins to drain, so that no answer of it has told the instance that it leaves.
const firstOrder = 6500 * time.Millisecond

// lateReport lets the store carry out late what a server reported before it drained: the call had
// no answer.
func lateReport(w *world) int {
	var report entry
	reported := make(chan struct{})
	w.beforeDrain = func(leaves *server) {
		report = leaves.report()
		w.note("i-leaves reports %s with seq %d, and gets no answer", report.Status.State, report.Status.Seq)
		close(reported)
	}
	return w.drain(firstOrder, func(leaves *server) {
		<-reported
		w.store.put("servers/"+leaves.id, report)
		w.note("the store carries out the report with seq %d", report.Status.Seq)
	})
}

// drain lets one of three servers drain, disrupts that while it still serves, and ends it before its
// next report. Orders come after a time.
func (w *world) drain(quietFor time.Duration, disrupt func(leaves *server)) int {
	w.store.put("op/config", configuration(3, 16384))
	leaves := w.server("i-leaves", "bestel", 4, 600*time.Millisecond)
	leaves.start()
	for _, id := range []string{"i-stays-1", "i-stays-2"} {
		w.server(id, "bestel", 4, 600*time.Millisecond).start()
	}
	i := startInstance(folder, "front-gent-a-1", "gent-a", w.store, 284)
	time.Sleep(2 * time.Second)

	var calls sync.WaitGroup
	var failed atomic.Int64
	stop := make(chan struct{})
	calls.Go(func() {
		time.Sleep(quietFor)
		ticker := time.NewTicker(70 * time.Millisecond)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ticker.C:
				object := http.Header{"Cookie": {fmt.Sprintf("Yuccathread-Affinity-Key=%d", n%48)}}
				calls.Go(func() {
					a := w.ask(i, http.MethodPut, "/order/1", 3*time.Second, "2 x magnetic core", object)
					if a.status != http.StatusOK {
						failed.Add(1)
					}
				})
			case <-stop:
				return
			}
		}
	})
	time.Sleep(3 * time.Second)
	if w.trouble && w.beforeDrain != nil {
		w.beforeDrain(leaves)
	}
	time.Sleep(time.Second)
	acknowledged, seq := leaves.drain()
	w.note("the store acknowledges that i-leaves is draining, with seq %d, at %s", seq, w.at(acknowledged))
	time.Sleep(time.Until(acknowledged.Add(drainBound + 500*time.Millisecond)))
	leaves.awaitReport()
	if w.trouble {
		disrupt(leaves)
	}
	time.Sleep(lastMoment)
	leaves.end()
	w.note("i-leaves has ended, %v after the acknowledgement", time.Since(acknowledged).Round(time.Millisecond))
	time.Sleep(time.Second)
	close(stop)
	calls.Wait()

	late := 0
	w.mutex.Lock()
	for _, runs := range w.runs {
		for _, r := range runs {
			if r.server == leaves.id && r.at.After(acknowledged.Add(drainBound+200*time.Millisecond)) {
				late++
			}
		}
	}
	w.mutex.Unlock()
	w.note("%d requests reached i-leaves later than drain + 0.2 s after the acknowledgement", late)
	w.note("%d orders got no success", failed.Load())
	if late > 0 {
		return exitBroken
	}
	return exitHeld
}
