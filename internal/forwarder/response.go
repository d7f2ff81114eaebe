package forwarder

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

var (
	errTooLarge    = errors.New("forwarder: the response exceeds the size limit")
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
		x.complete(result{err: err})
		return false
	}
	if reply == nil {
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
	body, err := io.ReadAll(io.LimitReader(response.Body, c.forwarder.MaxBodyBytes+1))
	if err != nil {
		return nil, fmt.Errorf("forwarder: %w", err)
	}
	if int64(len(body)) > c.forwarder.MaxBodyBytes {
		return nil, errTooLarge
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
