// Package acceptor accepts connections of clients that nobody controls, and bounds what they
// hold before a request of theirs has been read: descriptors, and the memory of heads with very
// many fields.
//
// Connections on which no request is in progress give way to new ones: first those that never
// had a request, then the others, the least recently used first. Where none can give way, new
// ones wait to be accepted. Connections to servers are counted too, and callers give way to
// them.
//
// Usage:
//
//	a := &acceptor.Acceptor{Limit: 3500, Accountant: accountant}
//	listener := a.Listen(tcpListener, 2000, true)
//	server := &http.Server{Handler: acceptor.Track(handler), ConnContext: acceptor.ConnContext}
//	a.Sweep(now, idleTimeout)   // now and then
package acceptor

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccathread/yuccathread/internal/accountant"
)

// Acceptor counts connections. Set the exported fields before the first connection.
type Acceptor struct {
	// Limit is the number of connections from clients and to servers that may be open.
	Limit int
	// Accountant lends the memory of heads.
	Accountant *accountant.Accountant

	mutex sync.Mutex
	// changed is signalled when a connection has been closed or may give way.
	changed *sync.Cond
	// waiting is the number of new connections for which there is no room.
	waiting     atomic.Int32
	connections map[*Connection]bool
	// servers is the number of connections to servers.
	servers int
	// uses grows with each use of a connection and orders them.
	uses   atomic.Int64
	closed atomic.Int64
}

// Listen returns a listener whose connections are counted. At most most of them are open at
// once. If they yield, they give way to all other connections as well.
func (a *Acceptor) Listen(inner net.Listener, most int, yields bool) net.Listener {
	return &listener{Listener: inner, acceptor: a, most: most, yields: yields}
}

// ReserveServer counts a connection to a server, for which an idle one may have to give way. It
// returns false if there is no room.
func (a *Acceptor) ReserveServer() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.total() >= a.Limit && !a.giveWay(nil) {
		return false
	}
	a.servers++
	return true
}

// ReleaseServer uncounts a connection to a server.
func (a *Acceptor) ReleaseServer() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.servers--
	a.signal()
}

// Open returns the number of connections from clients and to servers.
func (a *Acceptor) Open() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.total()
}

// GaveWay returns how many connections were closed to make room, or since their clients took
// nothing.
func (a *Acceptor) GaveWay() int64 {
	return a.closed.Load()
}

// Sweep closes the connections whose clients have taken nothing of what is written to them for
// a time.
func (a *Acceptor) Sweep(now time.Time, stallTimeout time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for c := range a.connections {
		if c.stalled(now, stallTimeout) {
			a.cut(c)
		}
	}
}

// add counts a new connection, once there is room. It returns false if its listener has been
// closed meanwhile.
func (a *Acceptor) add(c *Connection) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.connections == nil {
		a.connections = make(map[*Connection]bool)
	}
	l := c.listener
	for !l.closed && !a.makeRoom(l) {
		a.wait()
	}
	if l.closed {
		return false
	}
	l.open++
	a.connections[c] = true
	return true
}

// makeRoom reports whether a listener may have one more connection; another one gives way if
// need be.
func (a *Acceptor) makeRoom(l *listener) bool {
	if l.open >= l.most && !a.giveWay(l) {
		return false
	}
	return a.total() < a.Limit || a.giveWay(nil)
}

func (a *Acceptor) wait() {
	if a.changed == nil {
		a.changed = sync.NewCond(&a.mutex)
	}
	a.waiting.Add(1)
	a.changed.Wait()
	a.waiting.Add(-1)
}

func (a *Acceptor) signal() {
	if a.changed != nil {
		a.changed.Broadcast()
	}
}

// giveWay closes the connection that can best be done without: of a listener, or, if that is
// nil, of all that yield.
func (a *Acceptor) giveWay(l *listener) bool {
	var best *Connection
	for c := range a.connections {
		if c.isBusy() || l != nil && c.listener != l || l == nil && !c.listener.yields {
			continue
		}
		if best == nil || c.before(best) {
			best = c
		}
	}
	if best == nil {
		return false
	}
	a.cut(best)
	return true
}

// cut closes a connection. What its server still does with it fails.
func (a *Acceptor) cut(c *Connection) {
	a.closed.Add(1)
	a.remove(c)
	// What is written on it is lost on purpose.
	_ = c.TCPConn.Close()
}

// remove uncounts a connection; it may be called again.
func (a *Acceptor) remove(c *Connection) {
	if !a.connections[c] {
		return
	}
	delete(a.connections, c)
	c.listener.open--
	a.signal()
}

func (a *Acceptor) total() int {
	return len(a.connections) + a.servers
}
