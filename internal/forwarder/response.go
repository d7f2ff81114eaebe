package forwarder

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

const (
	// maxHeadBytes bounds the status line and the headers of a response.
	maxHeadBytes = 64 << 10
	// maxSkipped bounds the interim responses and those to other requests that precede
	// the response to a request.
	maxSkipped = 16
)

var (
	errTooLarge    = errors.New("forwarder: the response exceeds the size limit")
	errTooMuch     = errors.New("forwarder: too many other responses precede the response")
	errNoRequestID = errors.New("forwarder: the response carries no request ID")
)

// read reads responses until the connection ends.
func (c *connection) read() {
	defer c.close()
	for c.readOne() {
	}
}

// readOne reads one response and reports whether the connection can be used further.
func (c *connection) readOne() bool {
	c.limiter.remaining = maxHeadBytes
	_, err := c.reader.Peek(1)
	x := c.takeCurrent()
	if x == nil {
		return false
	}
	if err != nil {
		x.complete(result{err: c.abandon(x, errConnectionClosed)})
		return false
	}
	reply, err := c.readReply(x)
	if err != nil {
		x.complete(result{err: c.abandon(x, err)})
		return false
	}
	if reply == nil {
		x.skipped++
		if x.skipped > maxSkipped {
			x.complete(result{err: c.abandon(x, errTooMuch)})
			return false
		}
		return true
	}
	c.mutex.Lock()
	c.outOfSync = c.outOfSync || c.reader.Buffered() > 0
	c.mutex.Unlock()
	x.complete(result{reply: *reply})
	return !reply.CloseConnection
}

// readReply reads one complete response. It returns nil for an interim response and
// for the response to another request.
func (c *connection) readReply(x *exchange) (*traffic.Reply, error) {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: x.method})
	if err != nil {
		return nil, fmt.Errorf("forwarder: %w", err)
	}
	body, err := c.readBody(response)
	if err != nil {
		return nil, err
	}
	if response.StatusCode < http.StatusOK {
		return nil, nil
	}
	reply := c.forwarder.Codec.DecodeReply(response)
	reply.Body = body
	if reply.RequestID == x.id {
		return &reply, nil
	}
	if reply.RequestID == "" {
		return nil, errNoRequestID
	}
	c.mutex.Lock()
	c.outOfSync = true
	c.mutex.Unlock()
	return nil, nil
}

// readBody reads the body of a response. A body that is too large is not read to its
// end.
func (c *connection) readBody(response *http.Response) ([]byte, error) {
	if response.Body == http.NoBody {
		// The response to a HEAD request states a length that it does not have.
		return nil, nil
	}
	limit := c.forwarder.MaxBodyBytes
	if response.ContentLength > limit {
		return nil, errTooLarge
	}
	// The encoding in chunks takes up to as many bytes as it carries.
	c.limiter.remaining = 2*limit + maxHeadBytes
	body, err := c.forwarder.Bodies.Read(io.LimitReader(response.Body, limit+1), response.ContentLength)
	defer c.forwarder.Bodies.Release(body)
	if err != nil {
		return nil, fmt.Errorf("forwarder: %w", err)
	}
	if int64(len(body)) > limit {
		return nil, errTooLarge
	}
	return body, nil
}

// limiter fails once it has read all remaining bytes, so that a response without end
// cannot fill the memory.
type limiter struct {
	reader    io.Reader
	remaining int64
}

func (l *limiter) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errTooLarge
	}
	n, err := l.reader.Read(p[:min(int64(len(p)), l.remaining)])
	l.remaining -= int64(n)
	return n, err
}
