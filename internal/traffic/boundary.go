package traffic

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// ErrHistoryLost means that the store cannot tell what happened since a
// revision; read it in full.
var ErrHistoryLost = errors.New("traffic: the store has dropped this history")

// ErrLeaseEnded means that a lease is over and its records are gone.
var ErrLeaseEnded = errors.New("traffic: the lease has ended")

// News is what the store says.
type News struct {
	Events []Event
	// Revision is where to go on.
	Revision int64
	// More is set where the answer may hold only a part of what has changed.
	More bool
	// Rejected are records that could not be read, each with the reason.
	Rejected []error
}

// Store is the platform's store. A patience is how long a call goes on without
// a byte of its answer; an answer that is large for its link takes longer.
type Store interface {
	// Read returns all records; the last events list what is there.
	Read(ctx context.Context, patience time.Duration) (News, error)
	// Follow waits for changes after a revision.
	Follow(ctx context.Context, after int64, wait, patience time.Duration) (News, error)
	// Grant makes a lease of a length.
	Grant(ctx context.Context, length time.Duration) (lease int64, err error)
	// Renew starts the lease's length anew.
	Renew(ctx context.Context, lease int64) error
	// Announce writes an instance's record under a lease.
	Announce(ctx context.Context, instance Instance, lease int64) error
	// Withdraw ends the lease and removes what was written under it.
	Withdraw(ctx context.Context, lease int64) error
}

// Codec translates requests and answers from and to the wire.
type Codec interface {
	// Request decodes all of a caller's request but its body.
	Request(r *http.Request) Request
	// Header returns the header of a request to one server.
	Header(r Request, upstream Upstream, left time.Duration) http.Header
	// Reply decodes all of a server's answer but its body.
	Reply(r *http.Response) Reply
	// Query decodes a look-up.
	Query(r *http.Request) Query
	// Named encodes the answer to a look-up.
	Named(n Named) ([]byte, error)
}
