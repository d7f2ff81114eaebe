package traffic

import (
	"log/slog"
	"time"
)

// Admit says until when a request must have its final answer.
type Admit struct {
	Call  uint64
	Until time.Time
}

// Send hands a request to a server.
type Send struct {
	Call     uint64
	Attempt  int
	Upstream Upstream
	// Connections bounds this instance's connections to the server.
	Connections int
	// Spare is the number of idle connections to have ready beside the one in use.
	Spare    int
	Deadline time.Time
	// Idempotent requests may use connections that were idle for long.
	Idempotent bool
}

// Watch has an Overdue come after a time, whether the Send has ended or not.
type Watch struct {
	Call    uint64
	Attempt int
	After   time.Duration
}

// Cancel ends a Send whose answer nobody wants.
type Cancel struct {
	Call    uint64
	Attempt int
}

// Deliver passes a server's answer on to the caller.
type Deliver struct {
	Call  uint64
	Reply Reply
}

// Answer is the instance's own answer.
type Answer struct {
	Call   uint64
	Reason Refusal
	// Fate tells the caller whether its request may have run.
	Fate Fate
	// RetryAfter says when to come back; zero says nothing.
	RetryAfter time.Duration
}

// Named answers a LookedUp.
type Named struct {
	Addresses []string
	Lifetime  time.Duration
}

// Record is one structured log line.
type Record struct {
	Level   slog.Level
	Message string
	// Frequent lines may be left out under load.
	Frequent   bool
	Attributes []slog.Attr
}

func (Admit) effect()   {}
func (Send) effect()    {}
func (Watch) effect()   {}
func (Cancel) effect()  {}
func (Deliver) effect() {}
func (Answer) effect()  {}
func (Named) effect()   {}
func (Record) effect()  {}

// Reannounce says that this instance's record is missing in the store.
type Reannounce struct{}

func (Reannounce) effect() {}
