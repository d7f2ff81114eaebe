package traffic

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// ErrHistoryDropped means that the store no longer has the changes since a revision.
// The caller must read all records again.
var ErrHistoryDropped = errors.New("traffic: the store no longer has the changes since this revision")

// ErrLeaseEnded means that a lease has ended and the store has removed its records.
var ErrLeaseEnded = errors.New("traffic: the lease has ended")

// Changes is the result of reading or following the store.
type Changes struct {
	Events []Event
	// Revisions holds the revision of each event. A full read has none.
	Revisions []int64
	// Revision is the revision from which to follow the store next. Revisions grow from one
	// era to the next too.
	Revision int64
	// Era grows each time the store comes back from a copy, without what was written since
	// that was made. It is set in what the store itself returns.
	Era int64
	// More is set if Events may hold only a part of the changes.
	More bool
	// Rejected holds an error for each record that could not be decoded.
	Rejected []error
	// Source is the address of the instance that passed the changes on, or empty if they
	// come from the store.
	Source string
}

// Store is the platform's store. The stall timeout of a call bounds the time
// without a byte of its response, so that a large response may take longer on a
// slow link.
type Store interface {
	// Read returns all records. The last events list which records exist.
	Read(ctx context.Context, stallTimeout time.Duration) (Changes, error)
	// Follow waits up to wait for changes after a revision.
	Follow(ctx context.Context, after int64, wait, stallTimeout time.Duration) (Changes, error)
	// Grant creates a lease with the given time to live.
	Grant(ctx context.Context, ttl time.Duration) (lease int64, err error)
	// Renew restarts the lease's time to live.
	Renew(ctx context.Context, lease int64) error
	// Announce writes an instance's record under a lease and returns the revision of the
	// write.
	Announce(ctx context.Context, instance Instance, lease int64) (revision int64, err error)
	// WriteLimits writes the limits of servers and removes those that have ended.
	WriteLimits(ctx context.Context, limits []ServerLimit) error
	// WriteFleetSize writes the number of instances.
	WriteFleetSize(ctx context.Context, instances int) error
	// Withdraw ends the lease and removes the records written under it.
	Withdraw(ctx context.Context, lease int64) error
}

// Codec translates requests and responses to and from their wire format.
type Codec interface {
	// DecodeRequest decodes a caller's request without its body.
	DecodeRequest(r *http.Request) Request
	// RequestHeader returns the header of a request to the server of a Send. remaining is
	// the time until the request's deadline.
	RequestHeader(r Request, send Send, remaining time.Duration) http.Header
	// DecodeReply decodes a server's response without its body.
	DecodeReply(r *http.Response) Reply
	// MisdirectedHeader returns the header of the response to a request that is meant for
	// a server: it says that the request has not run.
	MisdirectedHeader(r Request) http.Header
	// DecodeQuery decodes a look-up.
	DecodeQuery(r *http.Request) Query
	// EncodeLookUp encodes the result of a look-up.
	EncodeLookUp(result LookUpResult) ([]byte, error)
}
