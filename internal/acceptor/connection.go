package acceptor

import (
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

const (
	// usualLines is the number of lines of a head whose memory is counted elsewhere: with the
	// connection, and with the request once it is read.
	usualLines = 64
	// lineBytes is what a line of a head holds beyond its own bytes, in a map and its slices.
	lineBytes = 256
)

var errNoMemory = errors.New("acceptor: no memory is left for the head")

// Connection is a client's connection.
type Connection struct {
	*net.TCPConn
	listener *listener

	// used orders connections by their last use, and inProgress is the number of requests in
	// progress.
	used       atomic.Int64
	inProgress atomic.Int32
	// marked is set if the server tells when it reads a head, and reading while it does.
	marked, reading atomic.Bool
	// served is set once a request has been read.
	served atomic.Bool
	// writing is the number of the write in progress, or zero.
	writing atomic.Int64
	// stalledWrite is the write that Sweep saw at stalledSince. The acceptor's mutex guards them.
	stalledWrite int64
	stalledSince time.Time

	// mutex guards what heads hold: lent is for the one that is read, and loans are those of the
	// requests in progress, in their order.
	mutex sync.Mutex
	head  head
	lent  int64
	loans []int64
	ended bool
}

// Begin marks the start of a request whose head has been read.
func (c *Connection) Begin() {
	c.served.Store(true)
	if !c.marked.Load() {
		c.keepLoan()
	}
}

// BeginHead marks the start of a head, of which buffered has been read already. It returns
// false if there is no memory for that. A server that reads further requests while others are
// in progress calls it; the connection can't tell heads from bodies then.
func (c *Connection) BeginHead(buffered []byte) bool {
	c.used.Store(c.listener.acceptor.uses.Add(1))
	c.mutex.Lock()
	c.head = head{}
	if !c.marked.Load() {
		// What was read so far is counted with buffered.
		c.giveBack(c.lent)
		c.lent = 0
	}
	c.mutex.Unlock()
	c.marked.Store(true)
	c.reading.Store(true)
	return c.countHead(buffered)
}

// EndHead marks the end of a head. If it is whole, its request is in progress from now on.
func (c *Connection) EndHead(whole bool) {
	c.reading.Store(false)
	if whole {
		c.keepLoan()
	}
}

// keepLoan keeps the loan of the head that was read until its request has ended.
func (c *Connection) keepLoan() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.loans = append(c.loans, c.lent)
	c.lent = 0
	c.inProgress.Add(1)
}

// isBusy reports whether a request is in progress.
func (c *Connection) isBusy() bool {
	return c.inProgress.Load() > 0
}

// readsHead reports whether what is read belongs to a head.
func (c *Connection) readsHead() bool {
	if c.marked.Load() {
		return c.reading.Load()
	}
	return !c.isBusy()
}

// End marks the end of the request that has been in progress for the longest time, and gives
// back the memory of its head.
func (c *Connection) End() {
	c.used.Store(c.listener.acceptor.uses.Add(1))
	c.mutex.Lock()
	if !c.marked.Load() {
		c.head = head{}
	}
	if len(c.loans) > 0 {
		c.giveBack(c.loans[0])
		c.loans = slices.Delete(c.loans, 0, 1)
	}
	left := c.inProgress.Add(-1)
	c.mutex.Unlock()
	if a := c.listener.acceptor; left == 0 && a.waiting.Load() > 0 {
		a.mutex.Lock()
		a.signal()
		a.mutex.Unlock()
	}
}

// Read reads from the connection. It fails if there is no memory for the head that is read:
// nothing of its request has run.
func (c *Connection) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n <= 0 || !c.readsHead() {
		return n, err
	}
	c.used.Store(c.listener.acceptor.uses.Add(1))
	if !c.countHead(p[:n]) {
		// As from the socket: a server then closes the connection, without a response that
		// would say more than is known.
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: errNoMemory}
	}
	return n, err
}

// Write writes to the connection.
func (c *Connection) Write(p []byte) (int, error) {
	c.writing.Store(c.listener.acceptor.uses.Add(1))
	n, err := c.TCPConn.Write(p)
	c.writing.Store(0)
	return n, err
}

// Close closes the connection and gives back what it holds. It may be called again.
func (c *Connection) Close() error {
	c.mutex.Lock()
	c.ended = true
	for _, lent := range c.loans {
		c.giveBack(lent)
	}
	c.giveBack(c.lent)
	c.loans, c.lent = nil, 0
	c.mutex.Unlock()
	a := c.listener.acceptor
	a.mutex.Lock()
	a.remove(c)
	a.mutex.Unlock()
	return c.TCPConn.Close()
}

// countHead counts the lines of a head, and reports whether there is memory for them.
func (c *Connection) countHead(p []byte) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	before := c.head.lines
	c.head.add(p)
	more := int64(max(c.head.lines-usualLines, 0)-max(before-usualLines, 0)) * lineBytes
	if more == 0 {
		return true
	}
	a := c.listener.acceptor.Accountant
	if c.ended || !a.Borrow(traffic.Loan{Holder: traffic.HeadMemory, Bytes: more}) {
		return false
	}
	c.lent += more
	return true
}

func (c *Connection) giveBack(lent int64) {
	if lent > 0 {
		c.listener.acceptor.Accountant.Return(traffic.Loan{Holder: traffic.HeadMemory, Bytes: lent})
	}
}

// before reports whether a connection gives way before another.
func (c *Connection) before(other *Connection) bool {
	if served := c.served.Load(); served != other.served.Load() {
		return !served
	}
	return c.used.Load() < other.used.Load()
}

// stalled reports whether one write has been in progress for a time.
func (c *Connection) stalled(now time.Time, stallTimeout time.Duration) bool {
	writing := c.writing.Load()
	if writing == 0 || writing != c.stalledWrite {
		c.stalledWrite, c.stalledSince = writing, now
		return false
	}
	return now.Sub(c.stalledSince) >= stallTimeout
}
