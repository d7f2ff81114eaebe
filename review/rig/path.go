//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["path"] = playPath }

// playPath sends orders whose last path segment holds an encoded slash. Their path, as
// sent, begins with the prefix of an unsafe route only. The answer to some of them is lost
// after the server has run them.
func playPath(r *rig) (bool, error) {
	const (
		clients  = 6
		orders   = 240
		deadline = 3 * time.Second
		// Three of five servers lose two in five of their answers, for four seconds.
		servers, losing = 5, 3
		losePeriod      = 4 * time.Second
	)
	var mutex sync.Mutex
	var loseUntil time.Time
	ran := map[string]int{}
	r.fleet.loseAnswer = func(server string) bool {
		mutex.Lock()
		defer mutex.Unlock()
		ran[server]++
		return server < fmt.Sprintf("i-%d", losing) && ran[server]%5 < 2 && time.Now().Before(loseUntil)
	}
	r.configure(1, map[string]any{
		"orders": route("/orders/", "unsafe", "bestel", deadline),
		"checks": route("/orders/fit/", "safe", "bestel", deadline),
	}, "bestel")
	for n := range servers {
		r.fleet.start(fmt.Sprintf("i-%d", n), "bestel", []string{"gent-a", "gent-b"}[n%2], 4)
	}
	if err := r.startInstances("front-gent-a-1", "front-gent-b-1"); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	conn, err := dial(r.instances[0].front)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	for n := range 300 {
		// The retry budget is earned by requests that need no retry.
		if a := conn.exchange(http.MethodGet, fmt.Sprintf("/orders/fit/%d?work=5", n), fmt.Sprintf("check-%d", n), deadline, nil); !a.whole {
			conn.Close()
			if conn, err = dial(r.instances[0].front); err != nil {
				return false, err
			}
		}
	}
	mutex.Lock()
	if r.trouble {
		loseUntil = time.Now().Add(losePeriod)
	}
	mutex.Unlock()
	var twice atomic.Int64
	var callers sync.WaitGroup
	for client := range clients {
		callers.Go(func() {
			for n := range orders / clients {
				id := fmt.Sprintf("order-%d-%d", client, n)
				conn, err := dial(r.instances[0].front)
				if err != nil {
					continue
				}
				a := conn.exchange(http.MethodPost, fmt.Sprintf("/orders/fit%%2F%d?work=50", n), id, deadline, []byte("2 x magnetic core"))
				conn.Close()
				runs := r.fleet.runsOf(id)
				r.logf("%s: %v; it ran %d times", id, a, len(runs))
				if len(runs) > 1 {
					twice.Add(1)
				}
			}
		})
	}
	callers.Wait()
	r.logf("TWICE: %d of %d requests of an unsafe route ran more than once", twice.Load(), orders)
	return twice.Load() > 0, nil
}
