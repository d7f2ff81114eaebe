package receiver

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// connectionKey is the key of a caller's connection in the context of its requests.
type connectionKey struct{}

// ConnContext is the ConnContext of the http.Server whose handler is Serve.
func (r *Receiver) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// callerLeft reports whether the caller of a request that was read in full has closed its
// connection. net/http notices that too, but only after the handler has started: too late
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
	// Control does not wait for the goroutine of net/http that reads from the connection.
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waiting := errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
		left = n <= 0 && !waiting
	})
	return left || err != nil
}
