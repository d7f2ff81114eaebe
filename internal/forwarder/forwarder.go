package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/yuccathread/yuccathread/internal/clock"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

const (
	// connectTimeout is four times the delay between regions.
	connectTimeout = 450 * time.Millisecond
	// idleLimit bounds the age of idle connections where servers do not say how
	// long they keep them.
	idleLimit = 8500 * time.Millisecond
	// oncePercent of the limit applies to requests that must not run twice: a
	// connection that has ended unseen leaves their fate unknown.
	oncePercent = 75
	// idleRecovery is how long it takes until connections are again kept for
	// the full time after some were found ended.
	idleRecovery = 20 * time.Second
	// minIdle is the shortest pause that is taken for the cause of an end.
	minIdle = 300 * time.Millisecond
	// idleMargin is taken off the time that a server says it keeps connections.
	idleMargin = time.Second
)

var (
	errTooMany = errors.New("forwarder: all connections to the server are in use")
	errLate    = errors.New("forwarder: no time is left to send")
)

// Forwarder holds the connections to all servers. Set the exported fields
// before the first Exchange.
type Forwarder struct {
	Codec traffic.Codec
	Clock clock.Clock
	// MaxBodyBytes bounds an answer; a larger one counts as cut off.
	MaxBodyBytes int64
	// Opened is called for each new connection; it may be nil.
	Opened func()

	mutex   sync.Mutex
	servers map[string]*server
	// learned is the idle time after which a connection was found ended.
	learned   time.Duration
	learnedAt time.Time
}

// server is the set of connections to one server, the last used one last.
type server struct {
	idle []*connection
	open int
	// opening is the number of spare connections on their way.
	opening int
}

// Exchange sends a request to a server and waits for its whole answer, until
// the deadline or the end of ctx.
func (f *Forwarder) Exchange(ctx context.Context, request traffic.Request, send traffic.Send) traffic.Outcome {
	started := f.Clock.Now()
	outcome := f.exchange(ctx, request, send)
	outcome.Took = f.Clock.Now().Sub(started)
	return outcome
}

func (f *Forwarder) exchange(ctx context.Context, request traffic.Request, send traffic.Send) traffic.Outcome {
	c, err := f.connect(ctx, send)
	if err != nil {
		busy := errors.Is(err, errTooMany) || ctx.Err() != nil
		return traffic.Outcome{Fate: traffic.NotRun, Unreachable: !busy, Err: err}
	}
	left := send.Deadline.Sub(f.Clock.Now())
	if left <= 0 || ctx.Err() != nil {
		f.put(c)
		return traffic.Outcome{Fate: traffic.NotRun, Err: errLate}
	}
	idle := c.idle(f.Clock.Now())
	reply, err := c.exchange(ctx, request, f.Codec.Header(request, send.Upstream, left), left)
	if err != nil {
		c.close()
		if errors.Is(err, errClosed) && idle > 0 {
			f.foundEnded(idle)
		}
		return traffic.Outcome{Fate: traffic.Unknown, Err: err}
	}
	if c.reusable(reply) {
		f.put(c)
	} else {
		c.close()
	}
	fate := traffic.Ran
	if reply.NotRun {
		fate = traffic.NotRun
	}
	return traffic.Outcome{Fate: fate, Reply: reply}
}

// connect takes an idle connection or opens a new one.
func (f *Forwarder) connect(ctx context.Context, send traffic.Send) (*connection, error) {
	key := send.Upstream.ID + " " + send.Upstream.Address
	c, err := f.take(key, send)
	f.prepare(key, send)
	if c != nil || err != nil {
		return c, err
	}
	timeout := min(connectTimeout, send.Deadline.Sub(f.Clock.Now()))
	if timeout <= 0 {
		f.released(key)
		return nil, errLate
	}
	return f.dial(ctx, key, send.Upstream.Address, timeout)
}

// dial opens a connection for which room has been made.
func (f *Forwarder) dial(ctx context.Context, key, address string, timeout time.Duration) (*connection, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		f.released(key)
		return nil, fmt.Errorf("forwarder: %w", err)
	}
	if f.Opened != nil {
		f.Opened()
	}
	c := newConnection(f, key, raw)
	go c.read()
	return c, nil
}

// prepare opens idle connections in the background where fewer than the spare
// ones are left.
func (f *Forwarder) prepare(key string, send traffic.Send) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	s := f.servers[key]
	if s == nil {
		return
	}
	for len(s.idle)+s.opening < send.Spare && (send.Connections <= 0 || s.open < send.Connections) {
		s.open++
		s.opening++
		go f.openSpare(key, s, send.Upstream.Address)
	}
}

func (f *Forwarder) openSpare(key string, s *server, address string) {
	c, err := f.dial(context.Background(), key, address, connectTimeout)
	f.mutex.Lock()
	s.opening--
	f.mutex.Unlock()
	if err == nil {
		f.put(c)
	}
}

// take returns an idle connection that is young enough, or nil after it has
// made room for a new one.
func (f *Forwarder) take(key string, send traffic.Send) (*connection, error) {
	now := f.Clock.Now()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	limit := f.idleBound(now)
	if !send.Idempotent {
		limit = limit * oncePercent / 100
	}
	if f.servers == nil {
		f.servers = make(map[string]*server)
	}
	s := f.servers[key]
	if s == nil {
		s = &server{}
		f.servers[key] = s
	}
	for len(s.idle) > 0 {
		c := s.idle[len(s.idle)-1]
		s.idle = s.idle[:len(s.idle)-1]
		if c.usable(now, limit) {
			return c, nil
		}
		go c.close()
	}
	if send.Connections > 0 && s.open >= send.Connections {
		return nil, errTooMany
	}
	s.open++
	return nil, nil
}

// idleBound is the idle time up to which connections are used again: less
// than that after which one was found ended without notice, for a while.
func (f *Forwarder) idleBound(now time.Time) time.Duration {
	since := now.Sub(f.learnedAt)
	if f.learned == 0 || since >= idleRecovery {
		return idleLimit
	}
	low := f.learned / 2
	return low + time.Duration(float64(idleLimit-low)*float64(since)/float64(idleRecovery))
}

// foundEnded takes in that a connection ended without an answer when it was
// used again after a pause.
func (f *Forwarder) foundEnded(idle time.Duration) {
	now := f.Clock.Now()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if idle < minIdle || idle > f.idleBound(now) {
		return
	}
	f.learned = idle
	f.learnedAt = now
}

// put keeps a connection for the next request.
func (f *Forwarder) put(c *connection) {
	c.idleSince = f.Clock.Now()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if s := f.servers[c.key]; s != nil && !c.dead.Load() {
		s.idle = append(s.idle, c)
		return
	}
	go c.close()
}

// released counts a connection that is gone.
func (f *Forwarder) released(key string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	s := f.servers[key]
	if s == nil {
		return
	}
	s.open--
	if s.open <= 0 && len(s.idle) == 0 {
		delete(f.servers, key)
	}
}

// Sweep closes connections that have been idle for too long.
func (f *Forwarder) Sweep() {
	now := f.Clock.Now()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, s := range f.servers {
		kept := s.idle[:0]
		for _, c := range s.idle {
			if c.usable(now, idleLimit) {
				kept = append(kept, c)
			} else {
				go c.close()
			}
		}
		s.idle = kept
	}
}

// Close closes all idle connections.
func (f *Forwarder) Close() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, s := range f.servers {
		for _, c := range s.idle {
			go c.close()
		}
		s.idle = nil
	}
}
