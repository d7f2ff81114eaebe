package traffic

import (
	"io"
	"net/http"
	"time"
)

// Request is a request from a caller. A retry by the caller is a new Request.
type Request struct {
	// ID is the caller's request ID, which is forwarded unchanged.
	ID     string
	Method string
	// Host is the host as the caller sent it, and HostName the same without a port.
	Host     string
	HostName string
	// Path is the path as the caller sent it, without the query. It selects the route.
	Path string
	// OtherPaths are the paths that servers may read from the same bytes.
	OtherPaths []string
	// Target is the path with the query as the caller sent them.
	Target string
	// Ambiguous names a header that has several different values where there must be one.
	Ambiguous string
	// Key is the key by which the caller identifies its organisation. It is empty if there is
	// none or if there are several, and must not be logged or passed on.
	Key string
	// Object identifies the object that the request concerns. It may be empty.
	Object string
	// Limit is how long the caller waits, or zero if unknown.
	Limit  time.Duration
	Header http.Header
	Body   []byte
	// Server is the server that the request is meant for; it is empty for those of callers.
	Server string
}

// Reply is a server's response.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Rest is what follows Body. It is empty unless there is no memory for a large body, which
	// is then passed on while it is read. Closing Rest gives back what the response holds.
	Rest io.ReadCloser
	// Partial is set if Rest holds a part of the body: whether the response is whole is not
	// known until that has been read.
	Partial bool
	// Length is the length of the whole body, or negative if it is not known.
	Length int64
	// RequestID is the request ID in the response.
	RequestID string
	// Signed is set if the response carries proof that the server produced it.
	Signed bool
	// NotRun is set if the server states that it did not run the request.
	NotRun bool
	// Misdirected is set if a server other than the expected one responded.
	Misdirected bool
	// Leaving is set if the server says that it leaves.
	Leaving bool
	// Pause is how long the server wants no requests of this instance, if it has refused
	// this one.
	Pause time.Duration
	Load  Load
	Limit Limit
	// CloseConnection is set if the server closes the connection after the response.
	CloseConnection bool
	// IdleTimeout is how long the server keeps the idle connection, or zero if unknown.
	IdleTimeout time.Duration
	// Undecoded lists the headers of which a part could not be decoded.
	Undecoded []string
}

// Fate tells whether a request that was sent to a server has run.
type Fate string

// Fates of an attempt.
const (
	// Ran means that a complete response was received.
	Ran Fate = "ran"
	// NotRun means that the request has certainly not run.
	NotRun Fate = "not_run"
	// Unknown means that the request may have run.
	Unknown Fate = "unknown"
)

// Outcome is the result of an attempt.
type Outcome struct {
	Fate  Fate
	Reply Reply
	// Unreachable is set if no connection could be opened.
	Unreachable bool
	// Took is the duration of the attempt, including Connected.
	Took time.Duration
	// Connected is how long opening the connection took, or zero if an idle one was
	// used.
	Connected time.Duration
	// Err is the error that ended the attempt, for the log.
	Err error
}

// Query is a look-up of the instances that a caller should use.
type Query struct {
	Host   string
	Region string
	Domain string
}

// Refusal is the reason why an instance refused a request.
type Refusal string

// Reasons for refusals.
const (
	NoRoute  Refusal = "no_route"
	NoPolicy Refusal = "no_policy"
	// Unidentified is for a caller whose key belongs to no organisation, and OverQuota for an
	// organisation that has used up its quota.
	Unidentified Refusal = "unidentified"
	OverQuota    Refusal = "over_quota"
	NoServer     Refusal = "no_server"
	Overloaded   Refusal = "overloaded"
	NoMemory     Refusal = "no_memory"
	TooLate      Refusal = "too_late"
	Interrupted  Refusal = "interrupted"
	Stopping     Refusal = "stopping"
	Misdirected  Refusal = "misdirected"
	TooLarge     Refusal = "too_large"
	BadRequest   Refusal = "bad_request"
	// SlowRequest is for a request whose body was not whole when its response was due.
	SlowRequest Refusal = "slow_request"
)
