package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

const (
	readBufferBytes = 4 << 10
	// writeGrace is the time between an answer and the writer's return.
	writeGrace = 10 * time.Millisecond
)

var (
	errClosed   = errors.New("forwarder: the connection ended before the answer was whole")
	errTooLarge = errors.New("forwarder: the answer exceeds its bound")
	errUnnamed  = errors.New("forwarder: the answer names no request")
)

// connection is one kept connection. A goroutine reads it at all times, so
// that its end and bytes that nobody asked for are seen while it is idle.
type connection struct {
	forwarder *Forwarder
	key       string
	raw       net.Conn
	reader    *bufio.Reader
	idleSince time.Time
	// keepIdle is how long the server keeps the connection; zero if not told.
	keepIdle time.Duration

	dead   atomic.Bool
	closed sync.Once

	mutex   sync.Mutex
	current *exchange
	// soiled connections have carried bytes of another request.
	soiled bool
}

// exchange is the request that waits for its answer on a connection.
type exchange struct {
	id     string
	method string
	done   chan result
	// written is closed once the whole request has been written.
	written chan struct{}
}

type result struct {
	reply traffic.Reply
	err   error
}

func newConnection(f *Forwarder, key string, raw net.Conn) *connection {
	return &connection{forwarder: f, key: key, raw: raw, reader: bufio.NewReaderSize(raw, readBufferBytes)}
}

func (c *connection) usable(now time.Time, limit time.Duration) bool {
	if c.keepIdle > 0 {
		limit = min(limit, max(c.keepIdle-idleMargin, 0))
	}
	return !c.dead.Load() && now.Sub(c.idleSince) < limit
}

// idle is the time since the last exchange; zero for a new connection.
func (c *connection) idle(now time.Time) time.Duration {
	if c.idleSince.IsZero() {
		return 0
	}
	return now.Sub(c.idleSince)
}

func (c *connection) reusable(reply traffic.Reply) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.keepIdle = reply.KeepIdle
	return !reply.Leaving && !c.soiled && !c.dead.Load()
}

func (c *connection) close() {
	c.closed.Do(func() {
		c.dead.Store(true)
		c.raw.Close()
		c.forwarder.released(c.key)
	})
}

// exchange writes a request and waits for its answer.
func (c *connection) exchange(ctx context.Context, request traffic.Request, header http.Header, left time.Duration) (traffic.Reply, error) {
	x := &exchange{id: request.ID, method: request.Method, done: make(chan result, 1), written: make(chan struct{})}
	c.mutex.Lock()
	c.current = x
	c.mutex.Unlock()
	defer c.finish()
	timer := time.NewTimer(left)
	defer timer.Stop()
	go c.write(x, encode(request, header), left)
	select {
	case r := <-x.done:
		c.awaitWritten(x)
		return r.reply, r.err
	case <-timer.C:
		return traffic.Reply{}, context.DeadlineExceeded
	case <-ctx.Done():
		return traffic.Reply{}, ctx.Err()
	}
}

func (c *connection) finish() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.current = nil
}

func (c *connection) write(x *exchange, content []byte, left time.Duration) {
	err := c.raw.SetWriteDeadline(time.Now().Add(left))
	if err == nil {
		_, err = c.raw.Write(content)
	}
	if err != nil {
		x.end(result{err: fmt.Errorf("forwarder: %w", err)})
		return
	}
	close(x.written)
}

// awaitWritten gives the writer a moment to return. A connection whose server
// has answered before it has read the whole request is not used again.
func (c *connection) awaitWritten(x *exchange) {
	timer := time.NewTimer(writeGrace)
	defer timer.Stop()
	select {
	case <-x.written:
	case <-timer.C:
		c.mutex.Lock()
		c.soiled = true
		c.mutex.Unlock()
	}
}

// end hands over the first result; later ones are dropped.
func (x *exchange) end(r result) {
	select {
	case x.done <- r:
	default:
	}
}

// encode writes a request as it goes over the connection.
func encode(request traffic.Request, header http.Header) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(request.Body))
	b.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut {
		header.Set("Content-Length", strconv.Itoa(len(request.Body)))
	}
	// A bytes.Buffer takes every write.
	_ = header.Write(&b)
	b.WriteString("\r\n")
	b.Write(request.Body)
	return b.Bytes()
}

// read takes in answers until the connection ends.
func (c *connection) read() {
	defer c.close()
	for c.readOne() {
	}
}

// readOne takes in one answer and reports whether the connection may go on.
func (c *connection) readOne() bool {
	_, err := c.reader.Peek(1)
	c.mutex.Lock()
	x := c.current
	c.mutex.Unlock()
	if x == nil {
		return false
	}
	if err != nil {
		x.end(result{err: errClosed})
		return false
	}
	reply, err := c.answer(x)
	if err != nil {
		x.end(result{err: err})
		return false
	}
	if reply == nil {
		return true
	}
	c.mutex.Lock()
	c.soiled = c.soiled || c.reader.Buffered() > 0
	c.mutex.Unlock()
	x.end(result{reply: *reply})
	return !reply.Leaving
}

// answer reads one whole answer; nil where it belongs to another request.
func (c *connection) answer(x *exchange) (*traffic.Reply, error) {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: x.method})
	if err != nil {
		return nil, fmt.Errorf("forwarder: %w", err)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, c.forwarder.MaxBodyBytes+1))
	if err != nil {
		return nil, fmt.Errorf("forwarder: %w", err)
	}
	if int64(len(body)) > c.forwarder.MaxBodyBytes {
		return nil, errTooLarge
	}
	if response.StatusCode < http.StatusOK {
		return nil, nil
	}
	reply := c.forwarder.Codec.Reply(response)
	reply.Body = body
	if reply.Echo == x.id {
		return &reply, nil
	}
	if reply.Echo == "" {
		return nil, errUnnamed
	}
	c.mutex.Lock()
	c.soiled = true
	c.mutex.Unlock()
	return nil, nil
}
