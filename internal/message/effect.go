package message

import (
	"time"

	"github.com/yuccathread/yuccathread/internal/model"
)

// Dispatch sends a request to an upstream server.
type Dispatch struct {
	ID      string
	Attempt int
	Server  model.Server
	Kind    string
	// Key is the idempotency key of once-only work.
	Key string
	// DecidedAt is when the reducer made the decision. The executor must not send the
	// request if that time is long past.
	DecidedAt time.Time
	Deadline  time.Time
}

// Forward passes a request on to another instance.
type Forward struct {
	ID        string
	Attempt   int
	Peer      model.Instance
	Request   model.Request
	DecidedAt time.Time
	Deadline  time.Time
}

// CancelAttempt aborts a Dispatch or Forward whose answer is no longer needed.
type CancelAttempt struct {
	ID      string
	Attempt int
}

// Reply answers the caller. Body is the ID of the request whose answer body is
// sent.
type Reply struct {
	ID     string
	Result model.Result
	Body   string
}

// RetainAnswer keeps the answer body of a request after the reply.
type RetainAnswer struct {
	ID string
}

// DiscardAnswer deletes a retained answer body.
type DiscardAnswer struct {
	ID string
}

// Timer delivers Event to the reducer at the given time.
type Timer struct {
	At    time.Time
	Event Event
}

// AnswerLookUp answers a LookUpRequested event.
type AnswerLookUp struct {
	ID      string
	Entries []model.Instance
	Home    string
	TTL     time.Duration
	Version int64
	Code    model.Code
}

// AnswerTicket answers a TicketRequested event. Ticket is empty if none is issued.
type AnswerTicket struct {
	ID      string
	Ticket  string
	Expires time.Time
}

// SendGossip sends a gossip request to another instance.
type SendGossip struct {
	Peer   model.Instance
	Gossip model.Gossip
}

// ReplyGossip answers a GossipReceived event.
type ReplyGossip struct {
	Gossip model.Gossip
}

// ReadConfiguration reads the configuration from the store if it is newer than
// Version.
type ReadConfiguration struct {
	Version int64
}

// FetchConfiguration asks another instance for its configuration.
type FetchConfiguration struct {
	Peer model.Instance
}

// ReadTable reads the failure domain's table from the store.
type ReadTable struct{}

// FetchTable asks another instance for its table.
type FetchTable struct {
	Peer model.Instance
}

// WriteTable writes the table to the store if the store is still at
// StoreRevision.
type WriteTable struct {
	Table         model.Table
	StoreRevision int64
}

// ReadListing reads the platform's list of the instances and servers of one
// failure domain.
type ReadListing struct {
	Domain string
}

// PollLoad asks a server for its current load.
type PollLoad struct {
	Server model.Server
}

// Claim claims an idempotency key in the store for a request.
type Claim struct {
	ID       string
	Claim    model.Claim
	Lifetime time.Duration
	Deadline time.Time
}

// Settle writes the outcome of a claimed key to the store.
type Settle struct {
	Claim    model.Claim
	Lifetime time.Duration
}

// AppendRecord appends a record to the timeline.
type AppendRecord struct {
	Record model.Record
}

// Exit ends the process. InFlight is the number of requests that the stop limit
// cuts off.
type Exit struct {
	InFlight  int
	WaitedFor WaitedFor
}

// WaitedFor is what a graceful shutdown waited for last.
type WaitedFor string

// What a graceful shutdown waits for.
const (
	// WaitedForLookUps means that callers might still have had results of look-ups.
	WaitedForLookUps WaitedFor = "look_ups"
	// WaitedForRequests means that requests were in progress after that.
	WaitedForRequests WaitedFor = "requests"
	// WaitedForLimit means that the time limit ended the wait.
	WaitedForLimit WaitedFor = "limit"
)

func (Dispatch) effect()           {}
func (Forward) effect()            {}
func (CancelAttempt) effect()      {}
func (Reply) effect()              {}
func (RetainAnswer) effect()       {}
func (DiscardAnswer) effect()      {}
func (Timer) effect()              {}
func (AnswerLookUp) effect()       {}
func (AnswerTicket) effect()       {}
func (SendGossip) effect()         {}
func (ReplyGossip) effect()        {}
func (ReadConfiguration) effect()  {}
func (FetchConfiguration) effect() {}
func (ReadTable) effect()          {}
func (FetchTable) effect()         {}
func (WriteTable) effect()         {}
func (ReadListing) effect()        {}
func (PollLoad) effect()           {}
func (Claim) effect()              {}
func (Settle) effect()             {}
func (AppendRecord) effect()       {}
func (Exit) effect()               {}
