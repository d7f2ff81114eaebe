package pipeliner

import (
	"errors"
	"io"
	"net"
	"sync"
)

// body is the body of a request. It tells the connection when it has been read.
type body struct {
	io.ReadCloser
	exchange *exchange
	// ended is closed when nothing more is read of the body, and unread says that the
	// connection can't be read any more since not all of it was. broken says that the caller's
	// bytes ended in it.
	ended  chan struct{}
	unread bool
	broken bool
	taken  int64
	once   sync.Once
}

func (b *body) Read(p []byte) (int, error) {
	if err := b.exchange.sendContinue(); err != nil {
		return 0, err
	}
	n, err := b.ReadCloser.Read(p)
	b.taken += int64(n)
	if err != nil {
		var failed *net.OpError
		broken := errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &failed) && !failed.Timeout()
		b.end(!errors.Is(err, io.EOF), broken)
	}
	return n, err
}

// Close does nothing: what was not read is skipped where that is possible at once.
func (b *body) Close() error { return nil }

func (b *body) end(unread, broken bool) {
	b.once.Do(func() {
		b.unread, b.broken = unread, broken
		close(b.ended)
	})
}

// skip reads the rest of a body that is in the connection's buffer, and reports whether the
// whole body was read.
func (b *body) skip() bool {
	select {
	case <-b.ended:
		return !b.unread
	default:
	}
	left := b.exchange.request.ContentLength - b.taken
	if b.exchange.request.ContentLength < 0 || left > int64(b.exchange.connection.reader.Buffered()) {
		return false
	}
	_, err := io.Copy(io.Discard, b.ReadCloser)
	b.end(err != nil, false)
	return err == nil
}
