//go:build review

package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	services      = 22
	faultyServers = 13
	// An endless head begins with firstLines lines, and then comes line by line.
	firstLines = 9000
	linePace   = 100 * time.Millisecond
)

// endlessHead answers with bytes that are no answer: short header fields, one after the other,
// without an end.
func endlessHead(rw http.ResponseWriter, _ *http.Request) bool {
	conn, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return true
	}
	defer conn.Close()
	out := bufio.NewWriter(conn)
	fmt.Fprint(out, "HTTP/1.1 200 OK\r\n")
	for n := 0; ; n++ {
		fmt.Fprintf(out, "A%s:\r\n", strconv.FormatInt(int64(n), 36))
		if n < firstLines {
			continue
		}
		if out.Flush() != nil {
			return true
		}
		time.Sleep(linePace)
	}
}

// heads lets some servers answer with heads without end while many users come at once.
func heads(w *world) int {
	w.store.put("op/config", configuration(3, headBytes))
	for n := range services {
		s := w.server(fmt.Sprintf("i-%d", n), "voorraad", 9, 880*time.Millisecond)
		if w.trouble && n < faultyServers {
			s.instead = endlessHead
		}
		s.start()
	}
	w.note("%d of %d servers answer with heads without end: %v", faultyServers, services, w.trouble)
	return w.playRounds(184, w.sendMany)
}

// sendMany sends 200 requests a second to an instance for 8 s.
func (w *world) sendMany(i *instance) {
	var mutex sync.Mutex
	answers := map[int]int{}
	var calls sync.WaitGroup
	end := time.Now().Add(8 * time.Second)
	for time.Now().Before(end) {
		time.Sleep(5 * time.Millisecond)
		calls.Go(func() {
			a := w.ask(i, http.MethodGet, "/stock/1", 4*time.Second, "", nil)
			mutex.Lock()
			answers[a.status]++
			mutex.Unlock()
		})
	}
	calls.Wait()
	w.note("answers of %s by status, 0 for none: %v", i.name, answers)
}
