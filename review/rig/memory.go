//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["readers"] = playReaders
	cases["leavers"] = playLeavers
}

// orderDeadline is the deadline of the orders that run beside the disruption.
const orderDeadline = 6 * time.Second

// bystanders are clients that order one part after the other on connections that they
// keep. They count the orders that a server ran and whose connection ended without an
// answer.
type bystanders struct {
	rig   *rig
	front *instance
	wait  sync.WaitGroup
	stop  chan struct{}
	sent  atomic.Int64
	lost  atomic.Int64
	mutex sync.Mutex
	// took holds how long the orders that were answered took.
	took []time.Duration
}

func (b *bystanders) start(count int) {
	b.stop = make(chan struct{})
	for n := range count {
		b.wait.Go(func() { b.order(n) })
	}
}

func (b *bystanders) order(client int) {
	var conn *connection
	used := 0
	for n := 0; ; n++ {
		select {
		case <-b.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		if conn == nil {
			opened, err := dial(b.front.front)
			if err != nil {
				continue
			}
			conn, used = opened, 0
		}
		id := fmt.Sprintf("order-%d-%d", client, n)
		begin := time.Now()
		a := conn.exchange(http.MethodPost, "/orders/new?work=600", id, orderDeadline, []byte("2 x magnetic core"))
		b.sent.Add(1)
		used++
		if a.whole {
			b.mutex.Lock()
			b.took = append(b.took, time.Since(begin))
			b.mutex.Unlock()
			continue
		}
		conn.Close()
		conn = nil
		runs := len(b.rig.fleet.runsOf(id))
		b.rig.logf("%s, request %d on its connection, after %v: %v; it ran %d times", id, used, time.Since(begin), a, runs)
		if runs > 0 && used > 1 && time.Since(begin) < orderDeadline-500*time.Millisecond {
			b.lost.Add(1)
		}
	}
}

// end ends the clients and reports whether the rule was broken: more than three requests
// from kept connections were passed on to a sound server and got no answer.
func (b *bystanders) end() bool {
	const allowed = 3
	close(b.stop)
	b.wait.Wait()
	slices.Sort(b.took)
	if n := len(b.took); n > 0 {
		b.rig.logf("%d orders were answered, half of them within %v, 99 in 100 within %v", n, b.took[n/2], b.took[n*99/100])
	}
	killed, peakMB := b.front.memory()
	b.rig.logf("%s was killed %d times because of its memory; it held %d MB at most", b.front.name, killed, peakMB)
	b.rig.logf("LOST: of %d orders on kept connections %d were passed on to a server and got no answer; %d are allowed",
		b.sent.Load(), b.lost.Load(), allowed)
	return b.lost.Load() > allowed
}

// playReaders lets many clients download at the same time. With the disruption they read
// slowly.
func playReaders(r *rig) (bool, error) {
	const (
		downloads = 160
		sizeBytes = 4 << 20
		spacing   = 40 * time.Millisecond
		deadline  = 15 * time.Second
		// pause follows each chunk that a slow client reads: it takes about half of its
		// deadline for a whole bundle.
		chunkBytes = 64 << 10
		pause      = 120 * time.Millisecond
	)
	r.configure(1, map[string]any{
		"orders":  route("/orders/", "unsafe", "orders", orderDeadline),
		"bundles": route("/bundles/", "download", "assets", deadline),
	}, "orders", "assets")
	for n := range 4 {
		r.fleet.start(fmt.Sprintf("o-%d", n), "orders", []string{"gent-a", "gent-b"}[n%2], 9)
		r.fleet.start(fmt.Sprintf("a-%d", n), "assets", []string{"gent-a", "gent-b"}[n%2], 9)
	}
	if err := r.startInstances("front-gent-a-1", "front-gent-b-1"); err != nil {
		return false, err
	}
	front := r.instances[0]
	b := &bystanders{rig: r, front: front}
	time.Sleep(5 * time.Second)
	b.start(12)
	time.Sleep(2 * time.Second)
	read := discard
	if r.trouble {
		read = func(body io.Reader) error {
			buffer := make([]byte, chunkBytes)
			for {
				_, err := io.ReadFull(io.LimitReader(body, chunkBytes), buffer)
				if err == io.EOF {
					return nil
				}
				if err != nil {
					return err
				}
				time.Sleep(pause)
			}
		}
	}
	r.logf("%d downloads of %d bytes begin", downloads*r.dose, sizeBytes)
	var clients sync.WaitGroup
	var whole atomic.Int64
	statuses := sync.Map{}
	for n := range downloads * r.dose {
		time.Sleep(spacing / time.Duration(r.dose))
		clients.Go(func() {
			conn, err := dialSlow(front.front)
			if err != nil {
				return
			}
			defer conn.Close()
			id := fmt.Sprintf("bundle-%d", n)
			if conn.send(http.MethodGet, fmt.Sprintf("/bundles/%d?work=10&size=%d", n, sizeBytes), id, deadline, nil) != nil {
				return
			}
			a := conn.receive(http.MethodGet, read)
			counter, _ := statuses.LoadOrStore(a.status, new(atomic.Int64))
			counter.(*atomic.Int64).Add(1)
			if a.whole && a.status == http.StatusOK {
				whole.Add(1)
			}
		})
	}
	clients.Wait()
	r.logf("%d of %d downloads were complete", whole.Load(), downloads*r.dose)
	statuses.Range(func(status, count any) bool {
		r.logf("downloads with status %v (0: no answer): %d", status, count.(*atomic.Int64).Load())
		return true
	})
	return b.end(), nil
}

// playLeavers sends large orders. With the disruption their clients leave before the
// answer.
func playLeavers(r *rig) (bool, error) {
	const (
		// One client in five leaves.
		uploads, staying = 12, 48
		sizeBytes        = 28 << 20
		spacing          = 400 * time.Millisecond
		leaveMS          = 700
		workMS           = 3900
	)
	r.configure(1, map[string]any{"orders": route("/orders/", "unsafe", "orders", orderDeadline)}, "orders")
	for n := range 8 {
		r.fleet.start(fmt.Sprintf("o-%d", n), "orders", []string{"gent-a", "gent-b"}[n%2], 9)
	}
	if err := r.startInstances("front-gent-a-1", "front-gent-b-1"); err != nil {
		return false, err
	}
	front := r.instances[0]
	b := &bystanders{rig: r, front: front}
	time.Sleep(5 * time.Second)
	b.start(staying)
	time.Sleep(2 * time.Second)
	var clients sync.WaitGroup
	for n := range uploads * r.dose {
		clients.Go(func() {
			time.Sleep(time.Duration(n) * spacing / time.Duration(r.dose))
			conn, err := dial(front.front)
			if err != nil {
				return
			}
			defer conn.Close()
			id := fmt.Sprintf("large-%d", n)
			begin := time.Now()
			if err := conn.send(http.MethodPost, fmt.Sprintf("/orders/large?work=%d", workMS), id, orderDeadline, make([]byte, sizeBytes)); err != nil {
				r.logf("%s: not sent: %v", id, err)
				return
			}
			if r.trouble {
				_ = conn.SetReadDeadline(time.Now().Add(leaveMS * time.Millisecond))
			}
			a := conn.receive(http.MethodPost, discard)
			r.logf("%s of %d bytes, after %v: %v; it ran %d times", id, sizeBytes, time.Since(begin), a, len(r.fleet.runsOf(id)))
		})
	}
	clients.Wait()
	time.Sleep(3 * time.Second)
	return b.end(), nil
}
