package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/yuccathread/yuccathread/internal/clock"
	"github.com/yuccathread/yuccathread/internal/collector"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

const (
	// connectTimeout is about four network round trips to another region.
	connectTimeout = 450 * time.Millisecond
	// idleLimit is the longest time that a connection may stay idle and be reused;
	// a shorter time announced by the server takes precedence.
	idleLimit = 8500 * time.Millisecond
	// nonIdempotentIdlePercent is the part of the idle limit that applies to requests
	// that must not run twice: if the server has closed the connection unnoticed, it
	// remains unknown whether the request ran.
	nonIdempotentIdlePercent = 75
	// idleRecovery is the time in which the idle limit grows back to idleLimit
	// after a connection was found closed.
	idleRecovery = 20 * time.Second
	// minLearnedIdle is the shortest idle time that may explain why the server closed
	// a connection.
	minLearnedIdle = 300 * time.Millisecond
	// idleMargin is subtracted from the idle time that a server announces.
	idleMargin = time.Second
)

var (
	errTooMany = errors.New("forwarder: all connections to the server are in use")
	errTooLate = errors.New("forwarder: no time is left to send the request")
	// errWithdrawn means that nothing was written, since mayStart did not allow it.
	errWithdrawn = errors.New("forwarder: the request was withdrawn before it was sent")
)

// Forwarder holds the connections to all servers. Set the exported fields
// before the first Exchange.
type Forwarder struct {
	Codec traffic.Codec
	Clock clock.Clock
	// MaxBodyBytes limits the body of a response; an exchange with a larger one fails.
	MaxBodyBytes int64
	// Bodies reads the bodies of responses.
	Bodies *collector.Collector
	// Reserve is asked before each new connection whether there is a descriptor for it, and
	// Release is called when it has been closed or could not be opened; they may be nil.
	Reserve func() bool
	Release func()
	// Opened is called for each new connection; it may be nil.
	Opened func()
	// RestEnded is called when what was passed on of a response while it was read has ended, with
	// the reason if it is not whole; it may be nil.
	RestEnded func(upstream traffic.Upstream, err error)
	// Undecoded is called with each header of a response that could not be decoded in
	// full; it may be nil.
	Undecoded func(header string)

	mutex sync.Mutex
	pools map[string]*pool
	// learnedIdle is the idle time after which a connection was last found closed.
	learnedIdle time.Duration
	learnedAt   time.Time
}

// pool holds the connections to one server; the last element of idle was used
// most recently.
type pool struct {
	idle []*connection
	open int
	// opening is the number of spare connections being opened.
	opening int
}

// Exchange sends a request to a server and waits for the response, at most until the
// deadline or the end of ctx. The response is complete unless there is no memory for it; the
// caller must close its Rest. mayStart is called just before the first byte
// is written; if it returns false, nothing is sent. It may be nil.
func (f *Forwarder) Exchange(ctx context.Context, request traffic.Request, send traffic.Send, mayStart func() bool) traffic.Outcome {
	started := f.Clock.Now()
	outcome := f.exchange(ctx, request, send, mayStart)
	outcome.Took = f.Clock.Now().Sub(started)
	return outcome
}

// exchange repeats an exchange on another connection if an idle one has ended
// before the request was sent.
func (f *Forwarder) exchange(ctx context.Context, request traffic.Request, send traffic.Send, mayStart func() bool) traffic.Outcome {
	for {
		c, err := f.connect(ctx, send)
		if err != nil {
			busy := errors.Is(err, errTooMany) || ctx.Err() != nil || outOfDescriptors(err)
			return traffic.Outcome{Fate: traffic.NotRun, Unreachable: !busy, Err: err}
		}
		reused := !c.idleSince.IsZero()
		outcome := f.exchangeOn(ctx, c, request, send, mayStart)
		if !reused {
			outcome.Connected = c.connected
		}
		if !reused || !errors.Is(outcome.Err, errNotSent) || ctx.Err() != nil {
			return outcome
		}
	}
}

// outOfDescriptors reports whether a connection could not be opened for a reason on this
// instance's side.
func outOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// exchangeOn exchanges a request and its response on a connection, and then returns
// the connection to its pool or closes it.
func (f *Forwarder) exchangeOn(ctx context.Context, c *connection, request traffic.Request, send traffic.Send, mayStart func() bool) traffic.Outcome {
	remaining := send.Deadline.Sub(f.Clock.Now())
	if remaining <= 0 || ctx.Err() != nil {
		f.put(c)
		return traffic.Outcome{Fate: traffic.NotRun, Err: errTooLate}
	}
	idle := c.idleTime(f.Clock.Now())
	m := encode(request, f.Codec.RequestHeader(request, send, remaining))
	reply, err := c.exchange(ctx, request, m, remaining, responseLoan(send), mayStart)
	if errors.Is(err, errWithdrawn) {
		f.put(c)
		return traffic.Outcome{Fate: traffic.NotRun, Err: err}
	}
	if err != nil {
		c.close()
		return f.failedOutcome(err, idle)
	}
	f.reportUndecoded(reply)
	// Without an ID, a response can't be told from one that the server repeats. A connection
	// on which a response is still to be read is closed when that is over.
	stream := streamOf(reply)
	switch {
	case stream != nil:
		stream.ended = func(err error) { f.reportRest(send, err) }
	case request.ID != "" && c.reusable(reply):
		f.put(c)
	default:
		c.close()
	}
	fate := traffic.Ran
	if reply.NotRun {
		fate = traffic.NotRun
	}
	return traffic.Outcome{Fate: fate, Reply: reply}
}

// responseLoan returns the loan for the response to an attempt.
func responseLoan(send traffic.Send) traffic.Loan {
	if send.Idempotent {
		return traffic.Loan{Holder: traffic.ResponseMemory}
	}
	return traffic.Loan{Holder: traffic.OnceResponseMemory}
}

func (f *Forwarder) reportUndecoded(reply traffic.Reply) {
	if f.Undecoded == nil {
		return
	}
	for _, header := range reply.Undecoded {
		f.Undecoded(header)
	}
}

// reportRest reports the end of a response that was passed on. A break after the deadline says
// nothing of the server, which may stop then: the caller may have read slowly.
func (f *Forwarder) reportRest(send traffic.Send, err error) {
	late := err != nil && !f.Clock.Now().Before(send.Deadline)
	if f.RestEnded != nil && !late {
		f.RestEnded(send.Upstream, err)
	}
}

// failedOutcome returns the outcome of an exchange without a complete response.
// idle is how long the connection had been idle before.
func (f *Forwarder) failedOutcome(err error, idle time.Duration) traffic.Outcome {
	if errors.Is(err, errNotSent) {
		return traffic.Outcome{Fate: traffic.NotRun, Err: err}
	}
	if errors.Is(err, errConnectionClosed) && idle > 0 {
		f.learnIdle(idle)
	}
	return traffic.Outcome{Fate: traffic.Unknown, Err: err}
}

// connect returns an idle connection or opens a new one.
func (f *Forwarder) connect(ctx context.Context, send traffic.Send) (*connection, error) {
	key := send.Upstream.ID + " " + send.Upstream.Address
	c, err := f.takeIdle(key, send)
	f.ensureSpares(key, send)
	if c != nil || err != nil {
		return c, err
	}
	timeout := min(connectTimeout, send.Deadline.Sub(f.Clock.Now()))
	if timeout <= 0 {
		f.uncount(key)
		return nil, errTooLate
	}
	return f.dial(ctx, key, send.Upstream.Address, timeout)
}

// dial opens a connection that its pool already counts as open, and uncounts it
// if that fails.
func (f *Forwarder) dial(ctx context.Context, key, address string, timeout time.Duration) (*connection, error) {
	if f.Reserve != nil && !f.Reserve() {
		f.uncount(key)
		return nil, errTooMany
	}
	started := f.Clock.Now()
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		f.uncount(key)
		f.release()
		return nil, fmt.Errorf("forwarder: %w", err)
	}
	if f.Opened != nil {
		f.Opened()
	}
	c := newConnection(f, key, conn)
	c.connected = f.Clock.Now().Sub(started)
	go c.read()
	return c, nil
}

func (f *Forwarder) release() {
	if f.Release != nil {
		f.Release()
	}
}

// ensureSpares opens connections in the background if fewer than send.Spare are
// idle.
func (f *Forwarder) ensureSpares(key string, send traffic.Send) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	p := f.pools[key]
	if p == nil {
		return
	}
	for len(p.idle)+p.opening < send.Spare && (send.Connections <= 0 || p.open < send.Connections) {
		p.open++
		p.opening++
		go f.openSpare(key, p, send.Upstream.Address)
	}
}

func (f *Forwarder) openSpare(key string, p *pool, address string) {
	c, err := f.dial(context.Background(), key, address, connectTimeout)
	f.mutex.Lock()
	p.opening--
	f.mutex.Unlock()
	if err == nil {
		f.put(c)
	}
}

// takeIdle returns a connection that has not been idle for too long. If there is
// none, it counts a new connection as open, for the caller to dial, and returns
// nil.
func (f *Forwarder) takeIdle(key string, send traffic.Send) (*connection, error) {
	now := f.Clock.Now()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	limit := f.currentIdleLimit(now)
	if !send.Idempotent {
		limit = limit * nonIdempotentIdlePercent / 100
	}
	if f.pools == nil {
		f.pools = make(map[string]*pool)
	}
	p := f.pools[key]
	if p == nil {
		p = &pool{}
		f.pools[key] = p
	}
	if send.Connections > 0 {
		p.closeIdle(p.open - send.Connections)
	}
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if c.usable(now, limit) {
			return c, nil
		}
		go c.close()
	}
	if send.Connections > 0 && p.open >= send.Connections {
		return nil, errTooMany
	}
	p.open++
	return nil, nil
}

// closeIdle closes up to n idle connections, the least recently used first.
func (p *pool) closeIdle(n int) {
	n = min(max(n, 0), len(p.idle))
	for _, c := range p.idle[:n] {
		go c.close()
	}
	p.idle = p.idle[n:]
}

// currentIdleLimit returns the idle time up to which connections are reused.
// After one was found closed, the limit falls to half of its idle time and
// grows back to idleLimit during idleRecovery.
func (f *Forwarder) currentIdleLimit(now time.Time) time.Duration {
	since := now.Sub(f.learnedAt)
	if f.learnedIdle == 0 || since >= idleRecovery {
		return idleLimit
	}
	reduced := f.learnedIdle / 2
	return reduced + time.Duration(float64(idleLimit-reduced)*float64(since)/float64(idleRecovery))
}

// learnIdle lowers the idle limit after a reused connection was closed without a
// response. idle is how long the connection had been idle before the request.
func (f *Forwarder) learnIdle(idle time.Duration) {
	now := f.Clock.Now()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if idle < minLearnedIdle || idle > f.currentIdleLimit(now) {
		return
	}
	f.learnedIdle = idle
	f.learnedAt = now
}

// put returns a connection to its pool for the next request.
func (f *Forwarder) put(c *connection) {
	c.idleSince = f.Clock.Now()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if p := f.pools[c.key]; p != nil && !c.closed.Load() {
		p.idle = append(p.idle, c)
		return
	}
	go c.close()
}

// uncount decrements the number of open connections of a pool.
func (f *Forwarder) uncount(key string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	p := f.pools[key]
	if p == nil {
		return
	}
	p.open--
	if p.open <= 0 && len(p.idle) == 0 {
		delete(f.pools, key)
	}
}

// Sweep closes connections that have been idle for too long.
func (f *Forwarder) Sweep() {
	now := f.Clock.Now()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, p := range f.pools {
		kept := p.idle[:0]
		for _, c := range p.idle {
			if c.usable(now, idleLimit) {
				kept = append(kept, c)
			} else {
				go c.close()
			}
		}
		p.idle = kept
	}
}

// Close closes all idle connections.
func (f *Forwarder) Close() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, p := range f.pools {
		for _, c := range p.idle {
			go c.close()
		}
		p.idle = nil
	}
}
