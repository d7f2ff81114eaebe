package session

import (
	"fmt"
	"time"

	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
)

type clientRequest struct {
	id         string
	kind       string
	key        string
	home       string
	sentAt     time.Time
	answeredAt time.Time
	result     model.Result
}

// countCrossRegion counts bytes sent between two failure domains if they are in
// different regions.
func (sim *simulation) countCrossRegion(from, to string, bytes int64) {
	pair := [2]string{sim.regionOf[from], sim.regionOf[to]}
	if pair[0] == pair[1] {
		return
	}
	if sim.crossRegionBytes[pair] == nil {
		sim.crossRegionBytes[pair] = make(map[int64]int64)
	}
	sim.crossRegionBytes[pair][sim.now.Unix()] += bytes
}

// send sends a request to an instance, from a client in the same failure
// domain, and returns the request ID.
func (sim *simulation) send(name, kind, key string) string {
	return sim.sendFrom(sim.instances[name].Domain, name, kind, key)
}

// sendFrom sends a request to an instance from a client whose home is the given
// failure domain, and returns the request ID.
func (sim *simulation) sendFrom(home, name, kind, key string) string {
	sim.requestCount++
	id := fmt.Sprintf("r%d", sim.requestCount)
	sim.requestIndex[id] = len(sim.requests)
	sim.requests = append(sim.requests, clientRequest{id: id, kind: kind, key: key, home: home, sentAt: sim.now})
	inst := sim.instances[name]
	request := model.Request{ID: id, Kind: kind, Key: key, Home: home, Digest: 7, BodyBytes: sim.bodyBytes}
	sim.after(clientDelay, func() { sim.deliver(inst, message.Arrived{Request: request}) })
	return id
}

// sendStream sends requests of one kind for a duration, at a constant rate and
// to the named instances in turn.
func (sim *simulation) sendStream(kind string, rate float64, d time.Duration, names ...string) {
	sim.sendStreamFrom("", kind, rate, d, names...)
}

// sendStreamFrom is sendStream for clients whose home is the given failure
// domain. If home is empty, it is the domain of the instance.
func (sim *simulation) sendStreamFrom(home, kind string, rate float64, d time.Duration, names ...string) {
	step := time.Duration(float64(time.Second) / rate)
	end := sim.now.Add(d)
	i := 0
	var next func()
	next = func() {
		if sim.now.Before(end) {
			name := names[i%len(names)]
			from := home
			if from == "" {
				from = sim.instances[name].Domain
			}
			sim.sendFrom(from, name, kind, "")
			i++
			sim.after(step, next)
		}
	}
	sim.after(time.Duration(sim.random.Int64N(int64(step)+1)), next)
}

// checkOutcomes compares the outcomes reported to callers with what the servers
// executed: not_run and ran must be true, no key may run twice, and no server may
// receive more concurrent requests than it has slots.
func (sim *simulation) checkOutcomes() {
	sim.t.Helper()
	for _, r := range sim.requests {
		count := sim.executions[r.id]
		if r.result.Outcome == model.NotRun && count > 0 {
			sim.t.Errorf("request %s (%s) was reported as not_run (%s) but was executed", r.id, r.kind, r.result.Code)
		}
		if r.result.Outcome == model.Ran && r.key == "" && count == 0 {
			sim.t.Errorf("request %s (%s) was reported as ran but was not executed", r.id, r.kind)
		}
	}
	for _, r := range sim.requests {
		lastRun, ran := sim.lastExecution[r.key]
		if ran && r.result.Outcome == model.NotRun && sim.deniedAt[r.id].After(lastRun) {
			sim.t.Errorf("request %s was reported as not_run (%s) after its key %s had been executed", r.id, r.result.Code, r.key)
		}
	}
	for key, count := range sim.executionsByKey {
		if count > 1 {
			sim.t.Errorf("key %s was executed %d times", key, count)
		}
	}
	for _, name := range sortedKeys(sim.servers) {
		if u := sim.servers[name]; u.overSlots > 0 {
			sim.t.Errorf("server %s received work beyond its %d slots %d times", name, u.slots, u.overSlots)
		}
	}
}
