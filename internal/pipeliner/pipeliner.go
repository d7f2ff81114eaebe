// Package pipeliner serves HTTP/1.1 on connections whose callers send further requests before
// the first one is answered. Their handlers run side by side, and the responses go out in the
// order of the requests, each as soon as those before it are out.
//
// One goroutine of a connection reads. When it has a request, it leaves the reading to a new
// one and runs the handler. The first WriteHeader or Write of a response waits until the
// responses before it are out, so that nothing is buffered for it here. A request that may not
// run twice is started only when nothing is ahead of it, and nothing behind it is read until its
// response is out: a caller sends everything again that was sent behind a response that closes
// the connection.
//
// Where a handler asks for the end of the connection while requests behind its own are in
// progress, the last of their responses says so, and nothing else is read.
//
// Usage:
//
//	p := &pipeliner.Pipeliner{Handler: handler, MayRepeat: mayRepeat, IdleTimeout: 15 * time.Second}
//	go p.Serve(listener)
//	...
//	err := p.Shutdown(ctx)
package pipeliner

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxRequests    = 16
	defaultMaxBytes       = 1 << 20
	// The pause after a failed accept doubles from the first to the last value.
	firstAcceptPause = 5 * time.Millisecond
	lastAcceptPause  = time.Second
)

// Pipeliner is a server. Set the exported fields before Serve. Fields named as those of
// http.Server mean the same.
type Pipeliner struct {
	// Handler must not change a request's header, which is also read for MayRepeat, and must
	// not use a request after its return.
	Handler http.Handler
	// MayRepeat reports whether a request may run more than once. It is asked only about
	// requests that share their connection with others in progress. If it is nil, requests of
	// the methods GET and HEAD may.
	MayRepeat   func(*http.Request) bool
	ConnContext func(ctx context.Context, conn net.Conn) context.Context
	// ConnState is called with http.StateNew and http.StateClosed.
	ConnState         func(conn net.Conn, state http.ConnState)
	ReadHeaderTimeout time.Duration
	// IdleTimeout also bounds the time in which a caller must take a part of a response for
	// which the handler has set no deadline.
	IdleTimeout    time.Duration
	MaxHeaderBytes int
	// MaxRequests limits the requests of one connection that are in progress, and MaxBytes is
	// what they may hold before another one is read.
	MaxRequests int
	MaxBytes    int64
	// ReadsAhead reports whether requests may be read behind others in progress. If it is nil,
	// they may. It is asked again when a response is out.
	ReadsAhead func() bool
	ErrorLog   *log.Logger

	mutex       sync.Mutex
	listeners   map[net.Listener]struct{}
	connections map[*connection]struct{}
	stopping    bool
	closed      bool
	workers     *workers
	// ended is closed when the last connection has ended after a Shutdown.
	ended chan struct{}
}

// Serve accepts connections until Shutdown or Close, and then returns http.ErrServerClosed.
func (p *Pipeliner) Serve(listener net.Listener) error {
	if !p.addListener(listener) {
		// It fails only if the listener is closed already.
		_ = listener.Close()
		return http.ErrServerClosed
	}
	pause := firstAcceptPause
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			pause = firstAcceptPause
			p.workers.run(turn{connection: p.newConnection(conn)})
		case p.isStopping():
			return http.ErrServerClosed
		case isTemporary(err):
			p.logf("pipeliner: accept: %v; next try in %v", err, pause)
			time.Sleep(pause)
			pause = min(2*pause, lastAcceptPause)
		default:
			return err
		}
	}
}

// isTemporary reports whether a later accept may succeed.
func isTemporary(err error) bool {
	var number syscall.Errno
	return errors.As(err, &number) && (number.Temporary() || errors.Is(number, syscall.ECONNABORTED))
}

// Shutdown closes the listeners and all connections without a request in progress, and waits
// until the others have ended. Their last responses say that they close.
func (p *Pipeliner) Shutdown(ctx context.Context) error {
	ended := p.stop((*connection).stop, false)
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close closes the listeners and all connections at once.
func (p *Pipeliner) Close() error {
	p.stop((*connection).sever, true)
	return nil
}

// stop ends each connection with end, and returns a channel that is closed when all have ended.
func (p *Pipeliner) stop(end func(*connection), closed bool) <-chan struct{} {
	p.mutex.Lock()
	p.stopping = true
	p.closed = p.closed || closed
	for listener := range p.listeners {
		// It fails only if the listener is closed already.
		_ = listener.Close()
	}
	clear(p.listeners)
	if p.ended == nil {
		p.ended = make(chan struct{})
		p.closeIfEnded()
	}
	ended := p.ended
	connections := make([]*connection, 0, len(p.connections))
	for c := range p.connections {
		connections = append(connections, c)
	}
	p.mutex.Unlock()
	for _, c := range connections {
		end(c)
	}
	return ended
}

func (p *Pipeliner) addListener(listener net.Listener) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.stopping {
		return false
	}
	if p.listeners == nil {
		p.listeners = make(map[net.Listener]struct{})
		p.connections = make(map[*connection]struct{})
		p.workers = newWorkers()
	}
	p.listeners[listener] = struct{}{}
	return true
}

func (p *Pipeliner) isStopping() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.stopping
}

// add registers a connection, which may just have been accepted when the server was stopped.
func (p *Pipeliner) add(c *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	c.stopping = p.stopping
	if p.closed {
		c.sever()
	}
	p.connections[c] = struct{}{}
}

func (p *Pipeliner) remove(c *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.connections, c)
	p.closeIfEnded()
}

// closeIfEnded is called with the mutex held.
func (p *Pipeliner) closeIfEnded() {
	if p.ended == nil || len(p.connections) > 0 {
		return
	}
	select {
	case <-p.ended:
	default:
		close(p.ended)
		if p.workers != nil {
			close(p.workers.quit)
		}
	}
}

func (p *Pipeliner) setState(conn net.Conn, state http.ConnState) {
	if p.ConnState != nil {
		p.ConnState(conn, state)
	}
}

func (p *Pipeliner) mayRepeat(request *http.Request) bool {
	if p.MayRepeat != nil {
		return p.MayRepeat(request)
	}
	return request.Method == http.MethodGet || request.Method == http.MethodHead
}

func (p *Pipeliner) readsAhead() bool {
	return p.ReadsAhead == nil || p.ReadsAhead()
}

func (p *Pipeliner) maxHeaderBytes() int64 {
	return int64(orDefault(p.MaxHeaderBytes, defaultMaxHeaderBytes))
}

func (p *Pipeliner) maxRequests() int { return orDefault(p.MaxRequests, defaultMaxRequests) }

func (p *Pipeliner) maxBytes() int64 { return orDefault(p.MaxBytes, defaultMaxBytes) }

func orDefault[T int | int64](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

func (p *Pipeliner) logf(format string, arguments ...any) {
	if p.ErrorLog != nil {
		p.ErrorLog.Printf(format, arguments...)
		return
	}
	log.Printf(format, arguments...)
}
