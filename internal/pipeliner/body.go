package pipeliner

import (
	"errors"
	"io"
	"sync"
)

// body is the body of a request. It tells the connection when it has been read.
type body struct {
	io.ReadCloser
	exchange *exchange
	// ended is closed when nothing more is read of the body, and unread says that the
	// connection can't be read any more since not all of it was.
	ended  chan struct{}
	unread bool
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
		b.end(!errors.Is(err, io.EOF))
	}
	return n, err
}

// Close does nothing: what was not read is skipped where that is possible at once.
func (b *body) Close() error { return nil }

func (b *body) end(unread bool) {
	b.once.Do(func() {
		b.unread = unread
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
	b.end(err != nil)
	return err == nil
}
