//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// drainBound is the bound "drain" of the settings.
const drainBound = 2500 * time.Millisecond

// oddEntry lets a server drain. Later, while it still serves, another writer leaves an entry
// with missing fields under its id, until the server's next report.
func oddEntry(w *world) int {
	w.store.put("op/config", configuration(3, 16384))
	stays := w.server("i-stays", "bestel", 4, 360*time.Millisecond)
	leaves := w.server("i-leaves", "bestel", 4, 360*time.Millisecond)
	stays.start()
	leaves.start()
	i := startInstance(folder, "front-gent-a-1", "gent-a", w.store, 284)
	time.Sleep(2 * time.Second)

	var calls sync.WaitGroup
	var failed atomic.Int64
	stop := make(chan struct{})
	calls.Go(func() {
		ticker := time.NewTicker(100 * time.Millisecond)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ticker.C:
				object := http.Header{"Cookie": {fmt.Sprintf("Yuccathread-Affinity-Key=%d", n%24)}}
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
	acknowledged := leaves.drain()
	w.note("the store acknowledges that i-leaves is draining, at %s", w.at(acknowledged))
	time.Sleep(time.Until(acknowledged.Add(drainBound + 1500*time.Millisecond)))
	if w.trouble {
		w.store.put("servers/i-leaves", map[string]any{
			"address": leaves.address,
			"info":    map[string]any{"service": "bestel", "zone": "gent-a", "slots": 4},
			"status":  map[string]any{"state": "ready", "cold_left": "0ms"},
		})
		w.note("another writer leaves an entry of i-leaves without born, version and seq")
	}
	time.Sleep(time.Second)
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
