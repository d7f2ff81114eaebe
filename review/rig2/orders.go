//go:build review

package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// orderClients is the number of clients that order at one instance, each on one connection
	// that it keeps, and orderServers that of the sound servers for them.
	orderClients = 12
	orderServers = 8
	orderLimit   = 3 * time.Second
	// lostAllowed is what the rule LOST allows a machine.
	lostAllowed = 3
)

func (w *world) startOrderServers() {
	for n := range orderServers {
		w.server(fmt.Sprintf("i-order-%d", n), "bestel", 4, 600*time.Millisecond).start()
	}
}

// sendOrders lets the clients order at an instance, one order after the other, until stop is
// closed or the process has ended. It returns how many orders on kept connections had been passed
// on to a sound server when their connections ended without an answer.
func (w *world) sendOrders(i *instance, stop <-chan struct{}) (lost, answered int64) {
	var lostOrders, answeredOrders atomic.Int64
	var clients sync.WaitGroup
	for range orderClients {
		clients.Go(func() {
			client := http.Client{Timeout: orderLimit, Transport: &http.Transport{MaxConnsPerHost: 1}}
			defer client.CloseIdleConnections()
			for {
				select {
				case <-stop:
					return
				case <-i.ended:
					return
				case <-time.After(50 * time.Millisecond):
				}
				id := w.newID()
				kept, err := w.order(&client, i, id)
				var failed net.Error
				switch timedOut := errors.As(err, &failed) && failed.Timeout(); {
				case err == nil:
					answeredOrders.Add(1)
				case kept && !timedOut && w.hasRun(id):
					lostOrders.Add(1)
					w.note("order %s at %s ran, and its connection ended without an answer", id, i.name)
				}
			}
		})
	}
	clients.Wait()
	return lostOrders.Load(), answeredOrders.Load()
}

// order sends one order, and reports whether that was on a connection that was used before.
func (w *world) order(client *http.Client, i *instance, id string) (kept bool, err error) {
	request, err := http.NewRequest(http.MethodPut, "http://"+i.front+"/order/1", strings.NewReader("2 x magnetic core"))
	if err != nil {
		cannotRun(err)
	}
	trace := &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { kept = c.Reused }}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	request.Host = host
	request.Header.Set("Yuccathread-Request-Id", id)
	request.Header.Set("Yuccathread-Request-Deadline", fmt.Sprint(orderLimit.Milliseconds()))
	response, err := client.Do(request)
	if err != nil {
		return kept, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return kept, err
}

func (w *world) hasRun(id string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.runs[id]) > 0
}

// orderDuring lets clients order at an instance while play runs, and notes what came of it. It
// returns how many orders were lost.
func (w *world) orderDuring(i *instance, play func(i *instance)) int64 {
	stop := make(chan struct{})
	var lost, answered int64
	var orders sync.WaitGroup
	orders.Go(func() { lost, answered = w.sendOrders(i, stop) })
	time.Sleep(3 * time.Second)
	play(i)
	close(stop)
	orders.Wait()
	w.note("%s: %d MB at the peak, killed: %v; %d orders answered, %d lost", i.name, i.peak.Load()>>20, i.killed.Load(), answered, lost)
	return lost
}
