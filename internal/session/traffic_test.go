package session

import (
	"fmt"
	"time"

	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
)

type outcome struct {
	id     string
	kind   string
	key    string
	home   string
	due    time.Time
	at     time.Time
	result model.Result
}

// cross counts bytes between two regions.
func (w *world) cross(from, to string, bytes int64) {
	pair := [2]string{w.regions[from], w.regions[to]}
	if pair[0] == pair[1] {
		return
	}
	if w.crossed[pair] == nil {
		w.crossed[pair] = make(map[int64]int64)
	}
	w.crossed[pair][w.now.Unix()] += bytes
}

// send sends a request to an instance and returns its id.
func (w *world) send(name, kind, key string) string {
	return w.sendFrom(w.nodes[name].Domain, name, kind, key)
}

// sendFrom sends the request of a client near a failure domain.
func (w *world) sendFrom(home, name, kind, key string) string {
	w.calls++
	id := fmt.Sprintf("r%d", w.calls)
	w.index[id] = len(w.results)
	w.results = append(w.results, outcome{id: id, kind: kind, key: key, home: home, due: w.now})
	n := w.nodes[name]
	request := model.Request{ID: id, Kind: kind, Key: key, Home: home, Digest: 7, BodyBytes: w.bodyBytes}
	w.after(clientDelay, func() { w.deliver(n, message.Arrived{Request: request}) })
	return id
}

// stream sends requests of one kind at a rate, in equal steps, for a time.
func (w *world) stream(kind string, rate float64, d time.Duration, names ...string) {
	w.streamFrom("", kind, rate, d, names...)
}

// streamFrom is stream for clients near one failure domain.
func (w *world) streamFrom(home, kind string, rate float64, d time.Duration, names ...string) {
	step := time.Duration(float64(time.Second) / rate)
	end := w.now.Add(d)
	i := 0
	var next func()
	next = func() {
		if w.now.Before(end) {
			name := names[i%len(names)]
			from := home
			if from == "" {
				from = w.nodes[name].Domain
			}
			w.sendFrom(from, name, kind, "")
			i++
			w.after(step, next)
		}
	}
	w.after(time.Duration(w.random.Int64N(int64(step)+1)), next)
}

// checkTruth holds the outcomes against what the servers did.
func (w *world) checkTruth() {
	w.t.Helper()
	for _, r := range w.results {
		n := w.ran[r.id]
		if r.result.Outcome == model.NotRun && n > 0 {
			w.t.Errorf("request %s (%s) was told not_run (%s) and ran", r.id, r.kind, r.result.Code)
		}
		if r.result.Outcome == model.Ran && r.key == "" && n == 0 {
			w.t.Errorf("request %s (%s) was told ran and did not run", r.id, r.kind)
		}
	}
	for _, r := range w.results {
		last, ran := w.ranLast[r.key]
		if ran && r.result.Outcome == model.NotRun && w.denied[r.id].After(last) {
			w.t.Errorf("request %s was told not_run (%s) after its key %s had run", r.id, r.result.Code, r.key)
		}
	}
	for key, n := range w.ranKey {
		if n > 1 {
			w.t.Errorf("key %s ran %d times", key, n)
		}
	}
	for _, name := range sortedKeys(w.servers) {
		if u := w.servers[name]; u.over > 0 {
			w.t.Errorf("server %s was given work beyond its %d slots %d times", name, u.slots, u.over)
		}
	}
}
