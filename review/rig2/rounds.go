//go:build review

package main

import (
	"net/http"
	"sync"
	"time"
)

// rounds is how often each machine meets the disruption, each time with a new process.
const rounds = 3

// machines are the names and zones of two machines.
var machines = [][2]string{{"front-gent-a-1", "gent-a"}, {"front-gent-b-1", "gent-b"}}

// playRounds plays a disruption on all machines at once, and starts them anew after each round.
// LOST is broken if a machine loses more orders than the rule allows.
func (w *world) playRounds(memoryMB int64, play func(i *instance)) int {
	w.startOrderServers()
	w.quiet.Store(true)
	var mutex sync.Mutex
	kills, lost := map[string]int{}, map[string]int64{}
	for round := range rounds {
		var instances []*instance
		for _, m := range machines {
			instances = append(instances, startInstance(folder, m[0], m[1], w.store, memoryMB))
		}
		w.note("round %d", round+1)
		time.Sleep(2 * time.Second)
		var played sync.WaitGroup
		for _, i := range instances {
			i.guardMemory(w.record)
			played.Go(func() {
				n := w.orderDuring(i, play)
				mutex.Lock()
				lost[i.name] += n
				if i.killed.Load() {
					kills[i.name]++
				}
				mutex.Unlock()
			})
		}
		played.Wait()
		for _, i := range instances {
			a := w.ask(i, http.MethodGet, "/stock/1", 4*time.Second, "", nil)
			w.note("an ordinary request at %s then gets %d", i.name, a.status)
			i.kill()
		}
	}
	w.note("processes killed since they held more than %d MB: %v; orders lost: %v", memoryMB, kills, lost)
	for _, n := range lost {
		if n > lostAllowed {
			return exitBroken
		}
	}
	return exitHeld
}
