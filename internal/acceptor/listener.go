package acceptor

import (
	"net"
)

type listener struct {
	net.Listener
	acceptor *Acceptor
	most     int
	yields   bool
	// open and closed are guarded by the acceptor's mutex.
	open   int
	closed bool
}

// Accept waits for the next connection, and until there is room for it.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	c := &Connection{TCPConn: tcp, listener: l}
	c.used.Store(l.acceptor.uses.Add(1))
	if !l.acceptor.add(c) {
		conn.Close()
		return nil, net.ErrClosed
	}
	return c, nil
}

// Close closes the listener, not its connections.
func (l *listener) Close() error {
	l.acceptor.mutex.Lock()
	l.closed = true
	l.acceptor.signal()
	l.acceptor.mutex.Unlock()
	return l.Listener.Close()
}
