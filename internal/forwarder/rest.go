package forwarder

import (
	"errors"
	"io"
	"sync"
	"time"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// rest is what a response holds until it has been delivered: the memory of its body and, if
// the body is not whole, the connection on which the other part arrives.
type rest struct {
	// release gives back the memory of the body.
	release func()
	// reader reads what follows the body; it is nil if the body is whole.
	reader     io.Reader
	connection *connection
	// stallTimeout bounds the time without a byte from the server.
	stallTimeout time.Duration
	// ended, if set, is called once when the rest has been read, or can't be: with the reason,
	// or nil if the response was whole.
	ended     func(err error)
	endedOnce sync.Once
	once      sync.Once
	// closed is closed by Close.
	closed chan struct{}
}

// Read reads what follows the body.
func (r *rest) Read(p []byte) (int, error) {
	if r.reader == nil {
		return 0, io.EOF
	}
	if err := r.connection.conn.SetReadDeadline(time.Now().Add(r.stallTimeout)); err != nil {
		return 0, err
	}
	n, err := r.reader.Read(p)
	if err != nil && r.ended != nil {
		r.endedOnce.Do(func() { r.ended(unlessEOF(err)) })
	}
	return n, err
}

func unlessEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// Close gives back the memory of the body and lets the connection be closed. It does not
// block and may be called again.
func (r *rest) Close() error {
	r.once.Do(func() {
		r.release()
		close(r.closed)
	})
	return nil
}

// streamOf returns the rest of a response of which a part is still to be read, or nil.
func streamOf(reply traffic.Reply) *rest {
	if r, ok := reply.Rest.(*rest); ok && r.reader != nil {
		return r
	}
	return nil
}

// closeReply gives back what a response holds that is not delivered.
func closeReply(reply traffic.Reply) {
	if reply.Rest != nil {
		// Closing a rest does not fail.
		_ = reply.Rest.Close()
	}
}
