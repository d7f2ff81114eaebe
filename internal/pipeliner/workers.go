package pipeliner

import "sync/atomic"

// keptGoroutines limits the goroutines that wait for work.
const keptGoroutines = 64

// workers runs connections on goroutines that it keeps, so that not each request pays for the
// growth of a new stack.
type workers struct {
	turns chan turn
	idle  atomic.Int32
	// quit ends the goroutines that wait.
	quit chan struct{}
}

// turn is the reading of a connection behind a request, or of a new one.
type turn struct {
	connection *connection
	ahead      *exchange
}

func newWorkers() *workers {
	return &workers{turns: make(chan turn), quit: make(chan struct{})}
}

func (w *workers) run(t turn) {
	select {
	case w.turns <- t:
	default:
		go w.work(t)
	}
}

func (w *workers) work(t turn) {
	for kept := true; kept; t, kept = w.await() {
		t.connection.serve(t.ahead)
	}
}

// await waits for work. It returns false if the goroutine must end.
func (w *workers) await() (turn, bool) {
	defer w.idle.Add(-1)
	if w.idle.Add(1) > keptGoroutines {
		return turn{}, false
	}
	select {
	case t := <-w.turns:
		return t, true
	case <-w.quit:
		return turn{}, false
	}
}
