package forwarder

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/yuccathread/yuccathread/internal/collector"
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
	errNoStatus    = errors.New("forwarder: the response has a status that is none")
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
	if stream := streamOf(*reply); stream != nil {
		x.complete(result{reply: *reply})
		<-stream.closed
		return false
	}
	c.mutex.Lock()
	c.outOfSync = c.outOfSync || c.reader.Buffered() > 0
	c.mutex.Unlock()
	x.complete(result{reply: *reply})
	return !reply.CloseConnection
}

// readReply reads one response, complete unless there is no memory for it. It returns nil
// for an interim response and for the response to another request.
func (c *connection) readReply(x *exchange) (*traffic.Reply, error) {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: x.method})
	if err != nil {
		return nil, fmt.Errorf("forwarder: %w", err)
	}
	if !hasStatus(response) {
		return nil, errNoStatus
	}
	body, err := c.boundedBody(response)
	if err != nil {
		return nil, err
	}
	interim := response.StatusCode < http.StatusOK
	reply := c.forwarder.Codec.DecodeReply(response)
	switch {
	case !interim && reply.RequestID == x.id:
		return &reply, c.readBody(x, &reply, body, response.ContentLength)
	case !interim && reply.RequestID == "":
		return nil, errNoRequestID
	}
	if _, err := io.Copy(io.Discard, body); err != nil {
		return nil, fmt.Errorf("forwarder: %w", err)
	}
	if !interim {
		c.mutex.Lock()
		c.outOfSync = true
		c.mutex.Unlock()
	}
	return nil, nil
}

// hasStatus reports whether a response has a status: three digits from 100 to 599. net/http also
// takes others, with a sign or below 100. What has none is no response, so that nothing else
// that it says counts.
func hasStatus(response *http.Response) bool {
	text, _, _ := strings.Cut(response.Status, " ")
	return len(text) == 3 && text[0] >= '1' && text[0] <= '5' && isDigit(text[1]) && isDigit(text[2])
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// boundedBody returns a reader of a response's body that fails once the body is too large.
func (c *connection) boundedBody(response *http.Response) (io.Reader, error) {
	if response.Body == http.NoBody {
		// The response to a HEAD request states a length that it does not have.
		response.ContentLength = 0
		return response.Body, nil
	}
	limit := c.forwarder.MaxBodyBytes
	if response.ContentLength > limit {
		return nil, errTooLarge
	}
	// The encoding in chunks takes up to as many bytes as it carries.
	c.limiter.remaining = 2*limit + maxHeadBytes
	return &limiter{reader: response.Body, remaining: limit + 1}, nil
}

// readBody reads the body of a response. What there is no memory for is left to be read
// while the response is delivered, unless the response is an error: another attempt may then
// be made first.
func (c *connection) readBody(x *exchange, reply *traffic.Reply, body io.Reader, length int64) error {
	content, err := c.forwarder.Bodies.Read(body, length, x.loan)
	reply.Body = content
	reply.Length = length
	r := &rest{
		release:      func() { c.forwarder.Bodies.Release(content, x.loan) },
		connection:   c,
		stallTimeout: x.timeout,
		closed:       make(chan struct{}),
	}
	reply.Rest = r
	switch {
	case errors.Is(err, collector.ErrMemory) && reply.Status < http.StatusInternalServerError:
		r.reader = body
		reply.Partial = true
		return nil
	case err != nil:
		closeReply(*reply)
		return fmt.Errorf("forwarder: %w", err)
	}
	reply.Length = int64(len(content))
	return nil
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
