package receiver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// connectionKey is the key of a caller's connection in the context of its requests.
type connectionKey struct{}

// ConnContext is the ConnContext of the server whose handler is Serve.
func (r *Receiver) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// ConnectionBytes is what a caller's connection holds while no request is in progress.
const ConnectionBytes = 20 << 10

// ConnState is the ConnState of the server whose handler is Serve. It counts the memory
// of connections.
func (r *Receiver) ConnState(_ net.Conn, state http.ConnState) {
	loan := traffic.Loan{Holder: traffic.ConnectionMemory, Bytes: ConnectionBytes}
	switch state {
	case http.StateNew:
		r.Bodies.Accountant.Charge(loan)
	case http.StateClosed:
		r.Bodies.Accountant.Return(loan)
	}
}

// callerLeft reports whether the caller of a request that was read in full has closed its
// connection. The server notices that too, but only after the handler has started: too late
// for a request that has waited long to be read.
func callerLeft(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	conn, ok := ctx.Value(connectionKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	left := false
	// Control does not wait for the goroutine of the server that reads from the connection.
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waiting := errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
		left = n <= 0 && !waiting
	})
	return left || err != nil
}

// tracked is a connection that is told when a request on it is in progress.
type tracked interface {
	Begin()
	End()
}

// track tells a caller's connection that a request is in progress. The function that it
// returns tells it the end.
func track(ctx context.Context) func() {
	conn, ok := ctx.Value(connectionKey{}).(tracked)
	if !ok {
		return func() {}
	}
	conn.Begin()
	return conn.End
}
