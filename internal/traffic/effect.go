package traffic

import (
	"log/slog"
	"time"
)

// Milliseconds returns a duration as log lines give it.
func Milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / float64(time.Millisecond/time.Microsecond)
}

// Admit accepts a request and sets a timer for its deadline. At Until the reducer
// expects an Expired event.
type Admit struct {
	Call  uint64
	Until time.Time
}

// Send sends a request to a server.
type Send struct {
	Call     uint64
	Attempt  int
	Upstream Upstream
	// Connections is the largest number of connections of this instance to the
	// server, or zero for no limit.
	Connections int
	// Spare is the number of idle connections to keep ready in addition to the one in
	// use.
	Spare    int
	Deadline time.Time
	// Organisation is the name of the caller's organisation; it is empty if there is none.
	Organisation string
	// Idempotent requests may use connections that have been idle for a long time.
	Idempotent bool
}

// Start allows a Send to be written, in response to Starting.
type Start struct{}

// StartOverdueTimer sets a timer for an Overdue event, which fires even if the Send
// has ended.
type StartOverdueTimer struct {
	Call    uint64
	Attempt int
	After   time.Duration
}

// Cancel aborts a Send whose response is no longer needed.
type Cancel struct {
	Call    uint64
	Attempt int
}

// Deliver forwards a server's response to the caller.
type Deliver struct {
	Call  uint64
	Reply Reply
}

// Refuse refuses a request with a response of the instance itself.
type Refuse struct {
	Call   uint64
	Reason Refusal
	// Fate tells the caller whether its request may have run.
	Fate Fate
	// RetryAfter is the delay before the caller should retry, or zero for none given.
	RetryAfter time.Duration
}

// LookUpResult is the result of a look-up: the instances that the caller should
// use.
type LookUpResult struct {
	Addresses []string
	Lifetime  time.Duration
}

// Record is one structured log line.
type Record struct {
	Level   slog.Level
	Message string
	// Frequent lines are dropped when they exceed the rate limit of the settings.
	Frequent   bool
	Attributes []slog.Attr
}

func (Admit) effect()             {}
func (Send) effect()              {}
func (Start) effect()             {}
func (StartOverdueTimer) effect() {}
func (Cancel) effect()            {}
func (Deliver) effect()           {}
func (Refuse) effect()            {}
func (LookUpResult) effect()      {}
func (Record) effect()            {}

// Reannounce writes this instance's record again, since it was missing from the store
// as of a revision, unless the newest write of the record is later.
type Reannounce struct{ Revision int64 }

func (Reannounce) effect() {}

// AnnounceBusy writes in this instance's record whether it is busy.
type AnnounceBusy struct{ Busy bool }

func (AnnounceBusy) effect() {}

// PublishFleetSize writes the number of instances to the store, for those that start
// when no other instance is left.
type PublishFleetSize struct{ Instances int }

func (PublishFleetSize) effect() {}
