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
// The rule is broken if a process goes beyond its memory, or an ordinary request is not served
// afterwards.
func (w *world) playRounds(memoryMB int64, play func(i *instance)) int {
	code := exitHeld
	kills := map[string]int{}
	for round := range rounds {
		var instances []*instance
		for _, m := range machines {
			instances = append(instances, startInstance(folder, m[0], m[1], w.store, memoryMB))
		}
		time.Sleep(4 * time.Second)
		var played sync.WaitGroup
		for _, i := range instances {
			i.guardMemory(w.record)
			played.Go(func() { play(i) })
		}
		played.Wait()
		for _, i := range instances {
			killed := i.killed.Load()
			w.note("round %d, %s: %d MB at the peak, killed: %v", round+1, i.name, i.peak.Load()>>20, killed)
			a := w.ask(i, http.MethodGet, "/stock/1", 4*time.Second, "", nil)
			if killed {
				kills[i.name]++
			}
			if killed || a.status != http.StatusOK {
				code = exitBroken
			}
			i.kill()
		}
	}
	w.note("processes killed since they held more than %d MB, by machine: %v", memoryMB, kills)
	return code
}
