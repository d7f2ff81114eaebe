package pipeliner

import (
	"errors"
	"os"
	"time"
)

// awaitLine waits until ready, which depends on the line.
func (c *connection) awaitLine(ready func() bool) bool { return c.await(ready, true) }

// await waits until ready, which is called with the mutex held, or until the connection is
// severed, and reports whether it is not. Meanwhile it reads into the buffer, so that a caller
// that leaves is noticed. wakes says that ready depends on the line also while nothing is
// buffered.
func (c *connection) await(ready func() bool, wakes bool) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for !c.severed && !ready() {
		if c.unreadable || c.reader.Buffered() == c.reader.Size() {
			c.turned.Wait()
			continue
		}
		c.peek(wakes)
	}
	return !c.severed
}

// peek waits for more bytes than are buffered, for the deadline, or for wake. It is called
// with the mutex held.
func (c *connection) peek(wakes bool) {
	buffered := c.reader.Buffered()
	c.wakes = wakes || buffered > 0
	c.setPeekDeadline()
	c.peeking = true
	c.mutex.Unlock()
	_, err := c.reader.Peek(buffered + 1)
	c.mutex.Lock()
	c.peeking = false
	switch {
	case err == nil:
	case !errors.Is(err, os.ErrDeadlineExceeded):
		// A caller that has closed its sending side is taken to have left.
		c.severLocked()
	case c.line.isEmpty() && !c.deadline.IsZero() && !time.Now().Before(c.deadline):
		c.severLocked()
	default:
		_ = c.conn.SetReadDeadline(time.Time{})
	}
}

// setPeekDeadline bounds the wait for a request by the idle timeout. While a request is in
// progress, a deadline that is left of an earlier wait only makes the goroutine look again.
func (c *connection) setPeekDeadline() {
	c.deadline = time.Time{}
	switch {
	case !c.line.isEmpty():
		return
	case !c.hasRead:
		c.deadline = c.firstDeadline
	case c.server.IdleTimeout > 0:
		c.deadline = time.Now().Add(c.server.IdleTimeout)
	}
	// It fails only if the connection is closed, which ends the read that follows.
	_ = c.conn.SetReadDeadline(c.deadline)
}
