package pipeliner

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"
)

const (
	bufferBytes = 4 << 10
	// lingerTime is how long a connection is still read after its last response, so that the
	// caller can read that response: what is closed with unread bytes is reset.
	lingerTime = 500 * time.Millisecond
)

// readers and writers hold buffers of connections that have ended, or that have no request in
// progress.
var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferBytes) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferBytes) }}
)

// past is a deadline that wakes a reader at once.
var past = time.Unix(1, 0)

// connection is one connection of a caller. Its goroutine reads requests; what is below mutex
// is shared with the goroutines of the handlers.
type connection struct {
	server  *Pipeliner
	conn    net.Conn
	remote  string
	context context.Context
	cancel  context.CancelFunc
	source  source
	// reader belongs to the goroutine of the connection, and to the handler of a request
	// while its body is read.
	reader *bufio.Reader
	// writer belongs to the exchange whose turn it is. handlerDeadline says that the handler
	// has set a write deadline.
	writer          *bufio.Writer
	handlerDeadline bool
	// lineEnds is how many more bytes of line ends may be skipped before the next request.
	lineEnds int
	// firstDeadline ends the wait for the first request.
	firstDeadline time.Time
	// lingers says that the caller may still be sending what is not read any more, and unreadable
	// that the connection can't be read any more.
	lingers    bool
	unreadable bool

	mutex sync.Mutex
	// turned is signalled when the line has changed or the connection is severed.
	turned sync.Cond
	line   line
	// hasRead is set when the first request has been started.
	hasRead bool
	// stopping lets the next response without another one behind it announce the end, after
	// which nothing is started.
	stopping  bool
	announced bool
	severed   bool
	// peeking is set while the goroutine waits for bytes, and wakes says that it must also
	// learn when the line gets shorter. deadline ends the wait.
	peeking  bool
	wakes    bool
	deadline time.Time
}

func (p *Pipeliner) newConnection(conn net.Conn) *connection {
	ctx := context.WithValue(context.Background(), http.LocalAddrContextKey, conn.LocalAddr())
	if p.ConnContext != nil {
		ctx = p.ConnContext(ctx, conn)
	}
	c := &connection{server: p, conn: conn, remote: conn.RemoteAddr().String(), source: source{conn: conn}}
	c.context, c.cancel = context.WithCancel(ctx)
	c.turned.L = &c.mutex
	c.reader = readers.Get().(*bufio.Reader)
	c.reader.Reset(&c.source)
	if p.ReadHeaderTimeout > 0 {
		c.firstDeadline = time.Now().Add(p.ReadHeaderTimeout)
	}
	p.setState(conn, http.StateNew)
	p.add(c)
	return c
}

// serve reads the next request, and lets another goroutine go on behind it while it runs the
// handler. The request before it is ahead, or nil; its body is read first.
func (c *connection) serve(ahead *exchange) {
	defer func() {
		if failure := recover(); failure != nil {
			c.server.logf("pipeliner: panic reading from %s: %v\n%s", c.remote, failure, debug.Stack())
			c.end()
		}
	}()
	if ahead != nil {
		c.awaitBody(ahead)
	}
	if x := c.next(); x != nil {
		c.server.workers.run(turn{connection: c, ahead: x})
		x.run()
		return
	}
	if c.awaitLine(c.line.isEmpty) && (c.lingers || c.reader.Buffered() > 0) {
		c.linger()
	}
	c.end()
}

// next returns the next request, or nil if the connection must end.
func (c *connection) next() *exchange {
	if !c.awaitRequest() {
		return nil
	}
	x, err := c.read()
	if err != nil {
		c.answerUnread(err)
		return nil
	}
	if !c.start(x) {
		return nil
	}
	return x
}

// end closes the connection and waits for its handlers.
func (c *connection) end() {
	c.sever()
	c.mutex.Lock()
	for !c.line.isEmpty() {
		c.turned.Wait()
	}
	c.mutex.Unlock()
	c.reader.Reset(nil)
	readers.Put(c.reader)
	c.server.setState(c.conn, http.StateClosed)
	c.server.remove(c)
}

// sever closes the connection at once and cancels all of its requests.
func (c *connection) sever() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.severLocked()
}

func (c *connection) severLocked() {
	if c.severed {
		return
	}
	c.severed = true
	c.cancel()
	c.conn.Close()
	c.turned.Broadcast()
}

// stop lets the connection end with the last response in progress.
func (c *connection) stop() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.stopping = true
	c.wake()
}

// wake makes the goroutine of the connection look at the line if it waits for bytes. It is
// called with the mutex held.
func (c *connection) wake() {
	if c.peeking {
		// It fails only if the connection is closed, which wakes the goroutine too.
		_ = c.conn.SetReadDeadline(past)
	}
}

// awaitRequest waits for the first byte of a request that may be read. It returns false if
// the connection must end.
func (c *connection) awaitRequest() bool {
	ready := func() bool { return c.mayBegin() || c.announced || c.stopping && c.line.isEmpty() && !c.isNew() }
	if !c.await(ready, false) {
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.mayBegin()
}

// isNew reports whether the first request may still come: a caller that has just connected is
// not turned away without an answer.
func (c *connection) isNew() bool {
	return !c.hasRead && !c.firstDeadline.IsZero()
}

// mayBegin reports whether the next request may be read. It is called with the mutex held by
// the goroutine of the connection.
func (c *connection) mayBegin() bool {
	if c.announced || c.unreadable {
		return false
	}
	c.skipLineEnds()
	if c.reader.Buffered() == 0 {
		return false
	}
	return c.line.isEmpty() || !c.stopping && c.line.hasRoom(c.server)
}

// start puts a request in line, unless it is behind a response that closes the connection. A
// request that can't share the connection waits until nothing is ahead of it.
func (c *connection) start(x *exchange) bool {
	if !c.awaitLine(func() bool { return c.announced || c.line.isEmpty() || x.mayShare() }) {
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.severed || c.announced {
		return false
	}
	c.hasRead = true
	if x.body != nil {
		// What bounded the wait for the head does not bound the body. It fails only if the
		// connection is closed, which the read of the body reports.
		_ = c.conn.SetReadDeadline(time.Time{})
	}
	ctx, cancel := context.WithCancel(c.context)
	x.request, x.cancel = x.request.WithContext(ctx), cancel
	c.line.add(x)
	return true
}

// awaitBody waits until the body of a request was read, so that the next one can be.
func (c *connection) awaitBody(x *exchange) {
	if x.body != nil {
		<-x.body.ended
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if x.body != nil && x.body.unread {
		if x.body.broken && c.line.first != x {
			// The caller has left what is ahead too.
			c.severLocked()
		}
		c.stopping, c.announced, c.unreadable, c.lingers = true, true, true, true
		return
	}
	c.line.charge(x, c.position()-x.position)
}

// position is the number of bytes of the connection that were taken from the buffer.
func (c *connection) position() int64 {
	return c.source.total - int64(c.reader.Buffered())
}

// leaveLine takes a finished exchange out of the line, which is the next one's turn.
func (c *connection) leaveLine(x *exchange) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.severed && c.handlerDeadline {
		c.handlerDeadline = false
		_ = c.conn.SetWriteDeadline(time.Time{})
	}
	c.line.remove(x)
	c.turned.Broadcast()
	if c.line.isEmpty() && c.writer != nil {
		c.writer.Reset(nil)
		writers.Put(c.writer)
		c.writer = nil
	}
	switch {
	case !c.peeking:
	case c.wakes || c.stopping:
		c.wake()
	case c.line.isEmpty():
		c.setPeekDeadline()
	}
}

// awaitTurn waits until all responses before that of x are out. It returns false if x can't
// be answered any more.
func (c *connection) awaitTurn(x *exchange) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for !c.severed && !x.cut && c.line.first != x {
		c.turned.Wait()
	}
	if c.severed || x.cut {
		return false
	}
	c.openWriter()
	return true
}

func (c *connection) openWriter() {
	if c.writer == nil {
		c.writer = writers.Get().(*bufio.Writer)
		c.writer.Reset(timedWriter{c})
	}
}

// announce reports whether the response of x, whose turn it is, is the last one. wants says
// that its handler or its request wants that; where other requests are in progress behind x,
// the last of them is meant.
func (c *connection) announce(x *exchange, wants bool) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.stopping = c.stopping || wants
	last := c.stopping && x.behind == nil
	c.announced = c.announced || last
	return last
}

// abort ends the connection with x, whose response can't be whole: what is behind it is
// cancelled, and what is ahead of it goes out first.
func (c *connection) abort(x *exchange) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.stopping, c.announced = true, true
	for behind := x.behind; behind != nil; behind = behind.behind {
		behind.cut = true
		behind.cancel()
	}
	c.turned.Broadcast()
	// Nothing more is read as a request. It fails only if the connection is closed.
	_ = c.conn.SetReadDeadline(past)
	for !c.severed && c.line.first != x {
		c.turned.Wait()
	}
	c.lingers = true
	if !c.severed && !c.closeWrite() {
		c.severLocked()
	}
}

// linger gives the caller time to read the last response while it still sends.
func (c *connection) linger() {
	if !c.closeWrite() {
		return
	}
	if c.conn.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		// How it ends does not matter.
		_, _ = io.Copy(io.Discard, c.conn)
	}
}

// closeWrite ends what the caller receives, and reports whether more can be read.
func (c *connection) closeWrite() bool {
	half, ok := c.conn.(interface{ CloseWrite() error })
	return ok && half.CloseWrite() == nil
}

// timedWriter bounds the time in which the caller must take what is written.
type timedWriter struct{ connection *connection }

func (w timedWriter) Write(p []byte) (int, error) {
	c := w.connection
	if !c.handlerDeadline && c.server.IdleTimeout > 0 {
		if err := c.conn.SetWriteDeadline(time.Now().Add(c.server.IdleTimeout)); err != nil {
			return 0, err
		}
	}
	return c.conn.Write(p)
}
