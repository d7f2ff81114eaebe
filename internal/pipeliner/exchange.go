package pipeliner

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"
)

const (
	unknownLength = -1
	// smallBytes is the size up to which a body without a declared length is sent with its
	// length, and not in chunks.
	smallBytes = 2 << 10
)

// exchange is a request and the writer of its response.
type exchange struct {
	connection *connection
	request    *http.Request
	cancel     context.CancelFunc
	body       *body
	// expects says that the caller waits for 100 Continue.
	expects bool
	// position is that of the request in the connection.
	position int64

	// The mutex of the connection guards these. cut says that the connection ends before the
	// response, and repeats is the answer of MayRepeat, if it was asked.
	behind  *exchange
	bytes   int64
	left    bool
	cut     bool
	repeats *bool

	// The fields below belong to the handler.
	header http.Header
	// frozen is the header as it was at WriteHeader, if the handler may have changed it since.
	frozen http.Header
	status int
	// inTurn says that the responses before this one are out.
	inTurn   bool
	declared int64
	written  int64
	framed   bool
	chunked  bool
	small    []byte
	deadline *time.Time
}

// run calls the handler.
func (x *exchange) run() {
	c := x.connection
	whole := false
	defer func() {
		failure := recover()
		if err, ok := failure.(error); failure != nil && (!ok || !errors.Is(err, http.ErrAbortHandler)) {
			c.server.logf("pipeliner: panic serving %s: %v\n%s", c.remote, failure, debug.Stack())
		}
		if x.body != nil {
			x.body.end(true, false)
		}
		if !whole {
			c.abort(x)
		}
		x.cancel()
		c.leaveLine(x)
	}()
	c.server.Handler.ServeHTTP(x, x.request)
	whole = x.finish()
}

// mayRepeat is called with the connection's mutex held.
func (x *exchange) mayRepeat() bool {
	if x.repeats == nil {
		repeats := x.connection.server.mayRepeat(x.request)
		x.repeats = &repeats
	}
	return *x.repeats
}

// mayShare reports whether the request may be started while others are in progress.
func (x *exchange) mayShare() bool {
	return x.request.ProtoAtLeast(1, 1) && !x.expects && x.mayRepeat()
}

// mayBeFollowed reports whether a request behind this one may be read before its response is
// out.
func (x *exchange) mayBeFollowed() bool {
	return x.request.ProtoAtLeast(1, 1) && !x.request.Close && x.mayRepeat()
}

// sendContinue tells a caller that waits for it to send the body.
func (x *exchange) sendContinue() error {
	if !x.expects || x.status != 0 {
		return nil
	}
	x.expects = false
	if !x.connection.awaitTurn(x) {
		return net.ErrClosed
	}
	if err := x.write("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	return x.flush()
}

// Header is part of http.ResponseWriter.
func (x *exchange) Header() http.Header {
	if x.header == nil {
		x.header = make(http.Header)
	}
	if x.status != 0 && !x.framed && x.frozen == nil {
		x.frozen = x.header.Clone()
	}
	return x.header
}

// WriteHeader waits until the responses before this one are out. Informational responses are
// not sent.
func (x *exchange) WriteHeader(status int) {
	if status < 100 || status > 999 {
		panic("pipeliner: invalid status " + strconv.Itoa(status))
	}
	if status < http.StatusOK {
		return
	}
	if x.status != 0 {
		x.connection.server.logf("pipeliner: a second WriteHeader for %s", x.request.URL.Path)
		return
	}
	x.status = status
	if length, err := strconv.ParseInt(x.header.Get("Content-Length"), 10, 64); err == nil && length >= 0 {
		x.declared = length
	}
	x.inTurn = x.connection.awaitTurn(x)
	if x.inTurn && x.deadline != nil {
		// It fails only if the connection is closed, which the next write reports.
		_ = x.SetWriteDeadline(*x.deadline)
	}
}

// Write is part of http.ResponseWriter.
func (x *exchange) Write(p []byte) (int, error) {
	if x.status == 0 {
		x.WriteHeader(http.StatusOK)
	}
	switch {
	case len(p) == 0:
		return 0, nil
	case !allowsBody(x.status):
		return 0, http.ErrBodyNotAllowed
	case !x.inTurn:
		return 0, net.ErrClosed
	}
	x.written += int64(len(p))
	if x.declared >= 0 && x.written > x.declared {
		return 0, http.ErrContentLength
	}
	if !x.framed && x.declared < 0 && x.written <= smallBytes {
		x.small = append(x.small, p...)
		return len(p), nil
	}
	if err := x.frame(false, p); err != nil {
		return 0, err
	}
	if x.request.Method == http.MethodHead {
		return len(p), nil
	}
	return len(p), x.writePart(p)
}

// FlushError sends what was written.
func (x *exchange) FlushError() error {
	if x.status == 0 {
		x.WriteHeader(http.StatusOK)
	}
	if !x.inTurn {
		return net.ErrClosed
	}
	if err := x.frame(false, nil); err != nil {
		return err
	}
	return x.flush()
}

// Flush is part of http.Flusher.
func (x *exchange) Flush() {
	// What fails here fails again in the next write.
	_ = x.FlushError()
}

// SetWriteDeadline is used by http.ResponseController. A deadline that is set before the
// response's turn holds from then on.
func (x *exchange) SetWriteDeadline(deadline time.Time) error {
	if !x.inTurn {
		x.deadline = &deadline
		return nil
	}
	x.connection.handlerDeadline = !deadline.IsZero()
	return x.connection.conn.SetWriteDeadline(deadline)
}

// finish ends a response, and reports whether it is whole.
func (x *exchange) finish() bool {
	if x.status == 0 {
		x.WriteHeader(http.StatusOK)
	}
	if !x.inTurn || x.frame(true, nil) != nil {
		return false
	}
	if x.chunked && x.write("0\r\n\r\n") != nil || x.flush() != nil {
		return false
	}
	return x.declared < 0 || x.written == x.declared || !allowsBody(x.status) || x.request.Method == http.MethodHead
}

func (x *exchange) flush() error {
	return x.fail(x.connection.writer.Flush())
}

func (x *exchange) write(text string) error {
	_, err := x.connection.writer.WriteString(text)
	return x.fail(err)
}

// fail ends the connection after a failed write.
func (x *exchange) fail(err error) error {
	if err != nil {
		x.connection.sever()
	}
	return err
}

func allowsBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}
