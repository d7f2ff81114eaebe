//go:build review

package main

import (
	"net/http"
	"strings"
	"time"
)

// headers lets the operator raise max_header_bytes. Clients use what is allowed now.
func headers(w *world) int {
	w.store.put("op/config", configuration(3, 8192))
	for _, id := range []string{"i-1", "i-2"} {
		w.server(id, "voorraad", 9, 20*time.Millisecond).start()
	}
	i := startInstance(folder, "front-gent-a-1", "gent-a", w.store, 284)
	time.Sleep(time.Second)
	size := 6000
	if w.trouble {
		size = 24000
		w.note("the store acknowledges version 5 with max_header_bytes 32768, at %s", w.at(w.store.put("op/config", configuration(5, 32768))))
	}
	time.Sleep(5 * time.Second)
	refused := 0
	for range 30 {
		a := w.ask(i, http.MethodGet, "/stock/1", 4*time.Second, "", http.Header{"X-Session": {strings.Repeat("s", size)}})
		if a.status >= 300 && a.status < 500 && a.status != 408 && a.status != 421 && a.status != 429 {
			refused++
		}
	}
	w.note("%d of 30 proper requests were ended with a 3xx or 4xx of the instance's own", refused)
	if refused > 5 {
		return exitBroken
	}
	return exitHeld
}
