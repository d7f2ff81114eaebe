package pipeliner

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"golang.org/x/net/http/httpguts"
)

// maxLineEnds limits the bytes of line ends that are skipped before a request.
const maxLineEnds = 4

// headError is a request that is answered without a handler, after which the connection ends.
type headError struct {
	status int
	text   string
}

func (e *headError) Error() string {
	return fmt.Sprintf("pipeliner: %d %s", e.status, e.text)
}

// read reads the head of a request.
func (c *connection) read() (*exchange, error) {
	if err := c.boundHead(); err != nil {
		return nil, err
	}
	position := c.position()
	request, err := c.readHead()
	if c.source.exceeded {
		return nil, &headError{status: http.StatusRequestHeaderFieldsTooLarge}
	}
	if err != nil {
		return nil, err
	}
	if err := check(request); err != nil {
		return nil, err
	}
	c.lineEnds = 0
	if request.Method == http.MethodPost {
		c.lineEnds = maxLineEnds
	}
	request.RemoteAddr = c.remote
	x := &exchange{connection: c, request: request, position: position, declared: unknownLength}
	if request.Body != http.NoBody && request.Body != nil {
		x.body = &body{ReadCloser: request.Body, exchange: x, ended: make(chan struct{})}
		request.Body = x.body
	}
	x.expects = x.body != nil && request.ProtoAtLeast(1, 1) && expectsContinue(request)
	return x, nil
}

// headMarker is a connection that is told when a head is read, with what of it is in the buffer
// already, and whether it was whole. BeginHead returns false if the head must not be read.
type headMarker interface {
	BeginHead(buffered []byte) bool
	EndHead(whole bool)
}

// errHeadRefused is a head that the connection must not read.
var errHeadRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("pipeliner: the head is refused")}

// readHead reads a head of limited size.
func (c *connection) readHead() (request *http.Request, err error) {
	if marker, ok := c.conn.(headMarker); ok {
		// What is in the buffer can be peeked at.
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		defer func() { marker.EndHead(err == nil) }()
		if !marker.BeginHead(buffered) {
			return nil, errHeadRefused
		}
	}
	c.source.limited, c.source.limit = true, c.server.maxHeaderBytes()+bufferBytes
	defer func() { c.source.limited = false }()
	return http.ReadRequest(c.reader)
}

// boundHead bounds the time in which a head must come that is not in the buffer yet.
func (c *connection) boundHead() error {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	if bytes.Contains(buffered, []byte("\r\n\r\n")) {
		return nil
	}
	deadline := time.Time{}
	if c.server.ReadHeaderTimeout > 0 {
		deadline = time.Now().Add(c.server.ReadHeaderTimeout)
	}
	if !c.hasRead {
		deadline = c.firstDeadline
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.announced {
		return net.ErrClosed
	}
	return c.conn.SetReadDeadline(deadline)
}

// skipLineEnds skips the line ends that some callers send after the body of a POST.
func (c *connection) skipLineEnds() {
	for ; c.lineEnds > 0 && c.reader.Buffered() > 0; c.lineEnds-- {
		next, err := c.reader.Peek(1)
		if err != nil || next[0] != '\r' && next[0] != '\n' {
			return
		}
		// What is in the buffer can be discarded.
		_, _ = c.reader.Discard(1)
	}
}

// check rejects what http.ReadRequest lets pass and a server must not.
func check(request *http.Request) error {
	if request.ProtoMajor != 1 {
		return &headError{status: http.StatusHTTPVersionNotSupported, text: "unsupported protocol version"}
	}
	if request.ProtoAtLeast(1, 1) && request.Host == "" && request.Method != http.MethodConnect {
		return &headError{status: http.StatusBadRequest, text: "missing required Host header"}
	}
	if !httpguts.ValidHostHeader(request.Host) {
		return &headError{status: http.StatusBadRequest, text: "malformed Host header"}
	}
	for name, values := range request.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &headError{status: http.StatusBadRequest, text: "invalid header name"}
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return &headError{status: http.StatusBadRequest, text: "invalid header value"}
			}
		}
	}
	if request.Header["Expect"] != nil && !expectsContinue(request) && request.Header.Get("Expect") != "" {
		return &headError{status: http.StatusExpectationFailed}
	}
	return nil
}

func expectsContinue(request *http.Request) bool {
	return httpguts.HeaderValuesContainsToken(request.Header["Expect"], "100-continue")
}

// answerUnread answers what is no request, after all that were read before it.
func (c *connection) answerUnread(err error) {
	var refused *headError
	var failed *net.OpError
	switch {
	case errors.As(err, &refused):
	case errors.As(err, &failed), errors.Is(err, io.EOF):
		c.endUnread(err)
		return
	default:
		refused = &headError{status: http.StatusBadRequest}
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		// The caller has closed its sending side.
		c.endUnread(err)
	}
	if !c.awaitLine(func() bool { return c.announced || c.line.isEmpty() }) {
		return
	}
	c.mutex.Lock()
	answers := !c.announced
	c.stopping, c.announced = true, true
	c.mutex.Unlock()
	if answers {
		c.writeUnread(refused)
	}
}

// endUnread handles the end of the connection inside a head: a caller that has left has left
// all its requests, and one that is too slow gets the responses that are due.
func (c *connection) endUnread(err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var failed net.Error
	slow := errors.As(err, &failed) && failed.Timeout()
	if !slow && !c.line.isEmpty() {
		c.severLocked()
	}
	c.stopping = true
}

func (c *connection) writeUnread(e *headError) {
	text := fmt.Sprintf("%d %s", e.status, http.StatusText(e.status))
	if e.text != "" {
		text += ": " + e.text
	}
	c.lingers = true
	// A write fails only if the caller has left, so there is nobody to report it to.
	_, _ = fmt.Fprintf(timedWriter{c}, "HTTP/1.1 %s\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n%s", text, text)
}
