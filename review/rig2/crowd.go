//go:build review

package main

import (
	"fmt"
	"net"
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
	return w.playRounds(284, w.throwCrowd)
}

// throwCrowd throws the crowd at an instance, and lets it leave after some seconds.
func (w *world) throwCrowd(i *instance) {
	w.note("%d clients connect to %s", crowdSize, i.name)
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
	w.note("%d clients have connected to %s and sent a head of %d bytes, and 90 of 100 bytes of their bodies", len(connections), i.name, headBytes-1)
	time.Sleep(6 * time.Second)
	for _, conn := range connections {
		conn.Close()
	}
	time.Sleep(time.Second)
}
