package model

import "time"

// Ticket is the content of an idempotency key that an instance issued.
type Ticket struct {
	Instance    string
	Incarnation string
	Issued      time.Time
}

// OnceRecord is what an instance remembers of once-only work under one key.
type OnceRecord struct {
	Digest uint64
	// Runner is the request that runs or ran the work.
	Runner  string
	Waiters []string
	Done    bool
	Result  Result
	Expires time.Time
	// Pinned records are not forgotten, because the store does not know their
	// result yet.
	Pinned bool
	// Mismatch is set on the copy returned for a key that was used with
	// another body.
	Mismatch bool
}
