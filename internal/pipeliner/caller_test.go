package pipeliner

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// caller is a client's connection.
type caller struct {
	t testing.TB
	*net.TCPConn
	reader *bufio.Reader
}

func call(t testing.TB, address, bytes string) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(patience)))
	c := &caller{t: t, TCPConn: conn.(*net.TCPConn), reader: bufio.NewReader(conn)}
	c.send(bytes)
	return c
}

func (c *caller) send(bytes string) {
	c.t.Helper()
	_, err := io.WriteString(c.TCPConn, bytes)
	assert.NilError(c.t, err)
}

// receive reads a response to its end.
func (c *caller) receive() (*http.Response, string) {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	assert.NilError(c.t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(c.t, err)
	return response, string(body)
}

// rest reads to the end of the connection.
func (c *caller) rest() string {
	c.t.Helper()
	rest, err := io.ReadAll(c.reader)
	assert.NilError(c.t, err)
	return string(rest)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: shop.example\r\n\r\n" }

func post(path string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 4\r\n\r\nbody"
}

// gatedHandler is a handler whose requests wait until the test lets them go on by their path.
type gatedHandler struct {
	t       testing.TB
	begun   chan string
	running atomic.Int64
	left    atomic.Int64
	mutex   sync.Mutex
	gates   map[string]chan struct{}
}

func newGatedHandler(t testing.TB) *gatedHandler {
	return &gatedHandler{t: t, begun: make(chan string, 1000), gates: make(map[string]chan struct{})}
}

func (d *gatedHandler) gate(path string) chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.gates[path] == nil {
		d.gates[path] = make(chan struct{})
	}
	return d.gates[path]
}

func (d *gatedHandler) release(paths ...string) {
	for _, path := range paths {
		close(d.gate(path))
	}
}

func (d *gatedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.running.Add(1)
	defer d.running.Add(-1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, "unread", http.StatusBadRequest)
		return
	}
	d.begun <- r.URL.Path
	select {
	case <-d.gate(r.URL.Path):
	case <-r.Context().Done():
		d.left.Add(1)
		panic(http.ErrAbortHandler)
	}
	switch {
	case strings.HasPrefix(r.URL.Path, "/abort"):
		panic(http.ErrAbortHandler)
	case strings.HasPrefix(r.URL.Path, "/panic"):
		panic("odd request")
	case strings.HasPrefix(r.URL.Path, "/close"):
		w.Header().Set("Connection", "close")
	case strings.HasPrefix(r.URL.Path, "/short"):
		w.Header().Set("Content-Length", "1000")
	}
	fmt.Fprintf(w, "%s%s", r.URL.Path, body)
}

// await waits for the start of as many requests as paths, in any order.
func (d *gatedHandler) await(paths ...string) {
	d.t.Helper()
	wanted := make(map[string]bool)
	for _, path := range paths {
		wanted[path] = true
	}
	timeout := time.After(patience)
	for len(wanted) > 0 {
		select {
		case path := <-d.begun:
			assert.Assert(d.t, wanted[path], "%s was started", path)
			delete(wanted, path)
		case <-timeout:
			assert.Assert(d.t, false, "%v were not started", wanted)
		}
	}
}

// awaitNothing checks that no further request is started.
func (d *gatedHandler) awaitNothing() {
	d.t.Helper()
	select {
	case path := <-d.begun:
		assert.Assert(d.t, false, "%s was started", path)
	case <-time.After(quiet):
	}
}

func eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), what)
	}
}
