//go:build review

package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = playStop }

// playStop stops an instance while clients still use a look-up that names it. Their
// requests are sent later than 3 s after the SIGTERM, while its listener is still open, and
// are at work at a server when it ends.
func playStop(r *rig) (bool, error) {
	const (
		orders    = 6
		sendAfter = 3040 * time.Millisecond
		workMS    = 2800
		deadline  = 6 * time.Second
		// useFactor is how many times the ttl of a look-up some clients use it.
		useFactor = 3
	)
	r.configure(1, map[string]any{"orders": route("/orders/", "unsafe", "bestel", deadline)}, "bestel")
	for n := range 3 {
		r.fleet.start(fmt.Sprintf("i-%d", n), "bestel", []string{"gent-a", "gent-b"}[n%2], 4)
	}
	if err := r.startInstances("front-gent-a-1", "front-gent-b-1"); err != nil {
		return false, err
	}
	stopped, other := r.instances[0], r.instances[1]
	time.Sleep(5 * time.Second)
	// A server joins: the instances wait a while before they follow the store again.
	r.fleet.start("i-new", "bestel", "gent-b", 4)
	r.logf("server i-new joined")
	time.Sleep(100 * time.Millisecond)
	begin := time.Now()
	if r.trouble {
		stopped.signal(syscall.SIGTERM)
		r.logf("SIGTERM for %s", stopped.name)
	}
	time.Sleep(350 * time.Millisecond)
	looked := time.Now()
	addresses, ttl, err := other.lookUp("gent-a")
	if err != nil {
		return false, err
	}
	r.logf("look-up at %s, %v after the SIGTERM: %v, ttl %v", other.name, looked.Sub(begin), addresses, ttl)
	if !slices.Contains(addresses, stopped.front) {
		return false, fmt.Errorf("the look-up does not name %s", stopped.name)
	}
	time.Sleep(time.Until(begin.Add(sendAfter)))
	if age := time.Since(looked); age > useFactor*min(ttl, 5*time.Second) {
		return false, fmt.Errorf("the look-up is too old: %v", age)
	}
	answers := make([]answer, orders)
	var clients sync.WaitGroup
	for n := range orders {
		clients.Go(func() {
			id := fmt.Sprintf("order-%d", n)
			conn, err := dial(stopped.front)
			if err != nil {
				answers[n] = answer{err: err}
				r.logf("%s: %v", id, err)
				return
			}
			defer conn.Close()
			answers[n] = conn.exchange(http.MethodPost, fmt.Sprintf("/orders/new?work=%d", workMS), id, deadline, []byte("2 x magnetic core"))
			r.logf("%s, sent %v after the SIGTERM, ended %v after it: %v", id, answers[n].sent.Sub(begin), answers[n].ended.Sub(begin), answers[n])
		})
	}
	clients.Wait()
	lost := 0
	for n, a := range answers {
		runs := r.fleet.runsOf(fmt.Sprintf("order-%d", n))
		// Not counted: the deadline or the route's timeout was reached.
		if len(runs) > 0 && !a.whole && a.sent.Sub(begin) > 3*time.Second && a.ended.Sub(a.sent) < deadline-500*time.Millisecond {
			lost++
		}
	}
	r.logf("LOST: %d of %d requests were passed on to a server and their connections ended without an answer", lost, orders)
	return lost > 0, nil
}
