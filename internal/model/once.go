package model

import "time"

// Ticket is the decoded content of an idempotency key issued by an instance.
type Ticket struct {
	Instance    string
	Incarnation string
	Issued      time.Time
}

// OnceRecord is an instance's record of the once-only work under one key.
type OnceRecord struct {
	Digest uint64
	// RunningRequestID is the ID of the request that runs or ran the work. Waiters
	// are the IDs of the requests with the same key that wait for its result.
	RunningRequestID string
	Waiters          []string
	Done             bool
	Result           Result
	Expires          time.Time
	// Pinned is set while the result is not yet in the store. A pinned record is
	// kept beyond Expires.
	Pinned bool
	// Mismatch is set on the copy returned for a request that reuses the key
	// with a different body.
	Mismatch bool
}
