//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	crowdSize = 500
	// headBytes is max_header_bytes of the configuration.
	headBytes = 16384
)

// pathOf returns a path of a length. Its tail can be read in many ways if it is encoded.
func pathOf(length int, encoded bool) string {
	tail := "/plain"
	if encoded {
		tail = `/b;c/d\e//f%23y%3Fz%00w%25252525252525252541`
	}
	return "/none/" + strings.Repeat("a", length-len(tail)-len("/none/")) + tail
}

// paths lets a crowd of clients send requests of legal size to a path without a route, and stop
// ten bytes short of the end of their bodies.
func paths(w *world) int {
	w.store.put("op/config", configuration(3, headBytes))
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
		w.server(id, "voorraad", 9, 100*time.Millisecond).start()
	}
	i := startInstance(folder, "front-gent-a-1", w.store, 284)
	time.Sleep(2 * time.Second)
	memory := i.guardMemory(w.record)
	for range 5 {
		if a := w.ask(i, http.MethodGet, "/stock/1", 4*time.Second, "", nil); a.status != http.StatusOK {
			cannotRun(fmt.Errorf("an ordinary request got %d, %v before the crowd", a.status, a.err))
		}
	}
	w.note("%d clients connect", crowdSize)
	var connections []net.Conn
	var mutex sync.Mutex
	var crowd sync.WaitGroup
	for n := range crowdSize {
		time.Sleep(4 * time.Millisecond)
		crowd.Go(func() {
			conn, err := i.dial()
			if err != nil {
				return
			}
			mutex.Lock()
			connections = append(connections, conn)
			mutex.Unlock()
			rest := fmt.Sprintf(" HTTP/1.1\r\nHost: %s\r\nYuccathread-Request-Id: %016x\r\nYuccathread-Request-Deadline: 4000\r\nContent-Length: 100\r\n\r\n", host, 0x900000+n)
			_ = conn.SetWriteDeadline(time.Now().Add(10 * time.Second))
			_, _ = fmt.Fprint(conn, "POST "+pathOf(headBytes-len("POST ")-len(rest)-1, w.trouble)+rest+strings.Repeat("x", 90))
		})
	}
	crowd.Wait()
	w.note("%d clients have connected, sent a head of %d bytes and 90 of 100 bytes of their bodies", len(connections), headBytes-1)
	time.Sleep(8 * time.Second)
	peak, killed := memory()
	w.note("memory at its peak: %d MB", peak>>20)
	for _, conn := range connections {
		conn.Close()
	}
	time.Sleep(time.Second)
	a := w.ask(i, http.MethodGet, "/stock/1", 4*time.Second, "", nil)
	if killed || a.status != http.StatusOK {
		return exitBroken
	}
	return exitHeld
}
