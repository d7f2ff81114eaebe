//go:build review

package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// largeServers is the number of servers of the service in the region of the instance.
	largeServers = 384
	// objectsSent is the number of requests of the crowd, each for another object, and keyBytes the
	// length of the cookie's value.
	objectsSent = 22_000
	keyBytes    = 15_500
	crowdLinks  = 48
)

// objects lets clients that nobody controls send legal requests, each with a long value of its
// own in the cookie for objects. They leave, and the memory is looked at when they have gone.
func objects(w *world) int {
	w.store.put("op/config", configuration(3, headBytes))
	for n := range largeServers {
		w.server(fmt.Sprintf("i-%d", n), "voorraad", 9, 5*time.Millisecond).start()
	}
	w.startOrderServers()
	i := startInstance(folder, "front-gent-a-1", "gent-a", w.store, 184)
	time.Sleep(4 * time.Second)
	i.guardMemory(w.record)
	w.quiet.Store(true)
	lost := w.orderDuring(i, w.sendObjects)
	a := w.ask(i, http.MethodGet, "/stock/1", 4*time.Second, "", nil)
	w.note("an ordinary request then gets %d", a.status)
	if lost > lostAllowed {
		return exitBroken
	}
	return exitHeld
}

// sendObjects sends the requests to an instance.
func (w *world) sendObjects(i *instance) {
	length := 16
	if w.trouble {
		length = keyBytes
	}
	w.note("%d clients send %d requests, each for another object with a key of %d bytes", crowdLinks, objectsSent, length)
	client := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: crowdLinks}}
	var answered, next atomic.Int64
	var crowd sync.WaitGroup
	end := time.Now().Add(60 * time.Second)
	for range crowdLinks {
		crowd.Go(func() {
			for n := next.Add(1); n <= objectsSent && time.Now().Before(end); n = next.Add(1) {
				request, err := http.NewRequest(http.MethodGet, "http://"+i.front+"/stock/1", nil)
				if err != nil {
					cannotRun(err)
				}
				key := strconv.FormatInt(n, 10)
				request.Host = host
				request.Header.Set("Yuccathread-Request-Id", w.newID())
				request.Header.Set("Yuccathread-Request-Deadline", "4000")
				request.Header.Set("Cookie", "Yuccathread-Affinity-Key="+strings.Repeat("k", length-len(key))+key)
				response, err := client.Do(request)
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					answered.Add(1)
				}
			}
		})
	}
	crowd.Wait()
	client.CloseIdleConnections()
	w.note("%d of them were answered with 200; the clients have left", answered.Load())
	time.Sleep(5 * time.Second)
	w.note("5 s later the process holds %d MB", i.memory()>>20)
}
