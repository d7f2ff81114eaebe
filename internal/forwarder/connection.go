package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
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
	// writeGrace is how long the write of a request may still take after its response has arrived.
	writeGrace = 10 * time.Millisecond
	// usualHeadBytes is the size of most requests' heads.
	usualHeadBytes = 512
	// smallBodyBytes is the size up to which a body is sent in one write with the head.
	smallBodyBytes = 16 << 10
)

var (
	errConnectionClosed = errors.New("forwarder: the connection ended before the answer was whole")
	errNotSent          = errors.New("forwarder: the connection ended before the request was sent")
)

// connection is one persistent connection. A goroutine reads from it at all
// times, so that a close by the server and unsolicited bytes are noticed while
// it is idle.
type connection struct {
	forwarder *Forwarder
	key       string
	conn      net.Conn
	// limiter bounds what reader may read from conn.
	limiter   *limiter
	reader    *bufio.Reader
	idleSince time.Time
	// connected is how long opening the connection took.
	connected time.Duration
	// keepIdle is how long the server keeps an idle connection; zero if it did not say.
	keepIdle time.Duration

	closed    atomic.Bool
	closeOnce sync.Once

	mutex   sync.Mutex
	current *exchange
	// ended is set once no request may be written any more.
	ended bool
	// outOfSync is set once the connection has carried bytes that do not belong to the current
	// response, or a request that was not fully written; it is then not reused.
	outOfSync bool
}

// exchange is a request that waits for its response on a connection.
type exchange struct {
	id     string
	method string
	// skipped counts the responses on the connection that were not the one to this
	// request.
	skipped int
	// mayStart is asked just before the first byte; it may be nil.
	mayStart func() bool
	// timeout is how long the exchange may take, and loan is for the response's body.
	timeout time.Duration
	loan    traffic.Loan
	done    chan result
	// over is set once there is a result, or none is wanted any more. mutex guards it.
	mutex sync.Mutex
	over  bool
	// started is set before the first byte of the request is written. The
	// connection's mutex guards it.
	started bool
	// written is closed once the whole request has been written.
	written chan struct{}
}

type result struct {
	reply traffic.Reply
	err   error
}

func newConnection(f *Forwarder, key string, conn net.Conn) *connection {
	l := &limiter{reader: conn}
	return &connection{forwarder: f, key: key, conn: conn, limiter: l, reader: bufio.NewReaderSize(l, readBufferBytes)}
}

func (c *connection) usable(now time.Time, limit time.Duration) bool {
	if c.keepIdle > 0 {
		limit = min(limit, max(c.keepIdle-idleMargin, 0))
	}
	return !c.closed.Load() && now.Sub(c.idleSince) < limit
}

// idleTime returns the time since the last exchange; zero for a new connection.
func (c *connection) idleTime(now time.Time) time.Duration {
	if c.idleSince.IsZero() {
		return 0
	}
	return now.Sub(c.idleSince)
}

func (c *connection) reusable(reply traffic.Reply) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.keepIdle = reply.IdleTimeout
	return !reply.CloseConnection && !c.outOfSync && !c.closed.Load()
}

func (c *connection) close() {
	c.closeOnce.Do(func() {
		c.closed.Store(true)
		c.conn.Close()
		c.forwarder.uncount(c.key)
		c.forwarder.release()
	})
}

// exchange writes a request and waits for its response. The error wraps
// errNotSent if no byte of the request was written, and is errWithdrawn if mayStart did not
// allow it: the connection is then as it was.
func (c *connection) exchange(ctx context.Context, request traffic.Request, m message, timeout time.Duration, loan traffic.Loan, mayStart func() bool) (traffic.Reply, error) {
	x := &exchange{
		id: request.ID, method: request.Method, mayStart: mayStart, timeout: timeout, loan: loan,
		done: make(chan result, 1), written: make(chan struct{}),
	}
	c.mutex.Lock()
	c.current = x
	c.mutex.Unlock()
	defer c.finish()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	go c.write(x, m, timeout)
	select {
	case r := <-x.done:
		c.awaitWritten(x)
		return r.reply, r.err
	case <-timer.C:
		x.leave()
		return traffic.Reply{}, c.abandon(x, context.DeadlineExceeded)
	case <-ctx.Done():
		x.leave()
		return traffic.Reply{}, c.abandon(x, ctx.Err())
	}
}

// start marks an exchange as started, before its first byte is written. It returns
// false if the connection has ended.
func (c *connection) start(x *exchange) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	x.started = !c.ended
	return x.started
}

// abandon ends the connection for a reason and returns that reason, wrapped with
// errNotSent if the exchange had not started.
func (c *connection) abandon(x *exchange, reason error) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.ended = true
	if x.started {
		return reason
	}
	return fmt.Errorf("%w: %w", errNotSent, reason)
}

// takeCurrent returns the exchange that waits for a response. If there is none, it
// ends the connection, so that none can start any more.
func (c *connection) takeCurrent() *exchange {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.current == nil {
		c.ended = true
	}
	return c.current
}

func (c *connection) finish() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.current = nil
}

func (c *connection) write(x *exchange, m message, timeout time.Duration) {
	if x.mayStart != nil && !x.mayStart() {
		x.complete(result{err: errWithdrawn})
		return
	}
	if !c.start(x) {
		x.complete(result{err: errNotSent})
		return
	}
	if err := c.conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		x.complete(result{err: fmt.Errorf("%w: %w", errNotSent, err)})
		return
	}
	n, err := m.writeTo(c.conn)
	switch {
	case err == nil:
		close(x.written)
	case n == 0:
		x.complete(result{err: fmt.Errorf("%w: %w", errNotSent, err)})
	default:
		x.complete(result{err: fmt.Errorf("forwarder: %w", err)})
	}
}

// awaitWritten waits up to writeGrace for the write of the request to return. A
// connection whose server responded before reading the whole request is not
// reused.
func (c *connection) awaitWritten(x *exchange) {
	timer := time.NewTimer(writeGrace)
	defer timer.Stop()
	select {
	case <-x.written:
	case <-timer.C:
		c.mutex.Lock()
		c.outOfSync = true
		c.mutex.Unlock()
	}
}

// complete delivers the first result; later ones are dropped.
func (x *exchange) complete(r result) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.over {
		closeReply(r.reply)
		return
	}
	x.over = true
	x.done <- r
}

// leave drops the result, also one that comes later.
func (x *exchange) leave() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.over = true
	select {
	case r := <-x.done:
		closeReply(r.reply)
	default:
	}
}

// message is a request in its wire format. A large body is apart, so that it is not copied.
type message struct{ head, body []byte }

// writeTo writes the message and returns the number of bytes written.
func (m message) writeTo(conn net.Conn) (int, error) {
	n, err := conn.Write(m.head)
	if err != nil || len(m.body) == 0 {
		return n, err
	}
	sent, err := conn.Write(m.body)
	return n + sent, err
}

// encode returns a request in its wire format.
func encode(request traffic.Request, header http.Header) message {
	var b bytes.Buffer
	b.Grow(usualHeadBytes + min(len(request.Body), smallBodyBytes))
	b.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut {
		header.Set("Content-Length", strconv.Itoa(len(request.Body)))
	}
	// Writing to a bytes.Buffer never fails.
	_ = header.Write(&b)
	b.WriteString("\r\n")
	if len(request.Body) > smallBodyBytes {
		return message{head: b.Bytes(), body: request.Body}
	}
	b.Write(request.Body)
	return message{head: b.Bytes()}
}
