package acceptor

import (
	"context"
	"net"
	"net/http"
)

// connectionKey is the key of a connection in the context of its requests.
type connectionKey struct{}

// ConnContext is the ConnContext of an http.Server whose handler is tracked.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// Track returns a handler that marks its connections while it is at work. A CONNECT takes over
// its connection, which is then idle for most of its life.
func Track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connectionKey{}).(*Connection); ok && r.Method != http.MethodConnect {
			c.Begin()
			defer c.End()
		}
		next.ServeHTTP(w, r)
	})
}
