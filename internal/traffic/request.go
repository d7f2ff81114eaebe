package traffic

import (
	"net/http"
	"time"
)

// Request is one attempt of a caller.
type Request struct {
	// ID is the caller's own; it is passed on unchanged.
	ID     string
	Method string
	Host   string
	// Path is the decoded path without the query, for choosing the route.
	Path string
	// Target is the request target exactly as the caller sent it.
	Target string
	// Object names what the request concerns; empty where it names nothing.
	Object string
	// Limit is how long the caller waits; zero where it does not say.
	Limit  time.Duration
	Header http.Header
	Body   []byte
}

// Reply is a server's whole answer.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Echo is the request ID that the answer names.
	Echo string
	// Signed answers carry the server's proof that it made them.
	Signed bool
	// NotRun is set where the server states that it did not run the request.
	NotRun bool
	// Misdirected is set where another server answered than was expected.
	Misdirected bool
	Load        Load
	// Leaving is set where the server closes the connection after the answer.
	Leaving bool
	// KeepIdle is how long the server keeps the connection; zero if not told.
	KeepIdle time.Duration
}

// Fate says what is known about a request that was handed to a server.
type Fate string

// Fates of an attempt.
const (
	// Ran means that a whole answer came.
	Ran Fate = "ran"
	// NotRun means that the server provably did not run it.
	NotRun Fate = "not_run"
	// Unknown means that it may have run.
	Unknown Fate = "unknown"
)

// Outcome is the end of an attempt.
type Outcome struct {
	Fate  Fate
	Reply Reply
	// Unreachable is set where no connection could be opened.
	Unreachable bool
	// Took is the time from the sending to the end.
	Took time.Duration
	// Err says what went wrong, for the log.
	Err error
}

// Query is a caller's question for the instances to use.
type Query struct {
	Host   string
	Region string
	Domain string
}

// Refusal is why an instance itself answered a request.
type Refusal string

// Reasons of an instance's own answers.
const (
	NoRoute     Refusal = "no_route"
	NoPolicy    Refusal = "no_policy"
	NoServer    Refusal = "no_server"
	Overloaded  Refusal = "overloaded"
	TooLate     Refusal = "too_late"
	Interrupted Refusal = "interrupted"
	TooLarge    Refusal = "too_large"
	BadRequest  Refusal = "bad_request"
)
