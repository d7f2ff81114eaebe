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
	// Decided is the time of the decision; a shell that acts on it much later
	// must not send.
	Decided  time.Time
	Deadline time.Time
}

// Forward hands a request to another instance.
type Forward struct {
	ID       string
	Attempt  int
	Peer     model.Instance
	Request  model.Request
	Decided  time.Time
	Deadline time.Time
}

// Cancel ends a Dispatch or Forward whose answer nobody wants.
type Cancel struct {
	ID      string
	Attempt int
}

// Reply answers the caller. Body names the request whose answer bytes go with it.
type Reply struct {
	ID     string
	Result model.Result
	Body   string
}

// Retain keeps the answer bytes of a request after its reply.
type Retain struct {
	ID string
}

// Drop lets go of retained answer bytes.
type Drop struct {
	ID string
}

// Timer delivers an event at a time.
type Timer struct {
	At    time.Time
	Event Event
}

// AnswerLookUp answers a LookedUp.
type AnswerLookUp struct {
	ID      string
	Entries []model.Instance
	Home    string
	TTL     time.Duration
	Version int64
	Code    model.Code
}

// AnswerTicket answers a TicketAsked. Ticket is empty where none is issued.
type AnswerTicket struct {
	ID      string
	Ticket  string
	Expires time.Time
}

// SendGossip asks another instance for what it knows.
type SendGossip struct {
	Peer   model.Instance
	Gossip model.Gossip
}

// ReplyGossip answers a Gossiped.
type ReplyGossip struct {
	Gossip model.Gossip
}

// ReadConfiguration reads the configuration's head from the store if it is
// newer than Version.
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

// WriteTable writes the table if the store still holds StoreRevision.
type WriteTable struct {
	Table         model.Table
	StoreRevision int64
}

// ReadListing reads the platform's list of one failure domain.
type ReadListing struct {
	Domain string
}

// PollLoad asks a server for its load.
type PollLoad struct {
	Server model.Server
}

// Claim takes a caller's key in the store.
type Claim struct {
	ID       string
	Claim    model.Claim
	Lifetime time.Duration
	Deadline time.Time
}

// Settle writes the result of a claimed key to the store.
type Settle struct {
	Claim    model.Claim
	Lifetime time.Duration
}

// Note adds a record to the time line.
type Note struct {
	Record model.Record
}

// Exit ends the process. InFlight counts requests cut off by the time limit.
type Exit struct {
	InFlight int
}

func (Dispatch) effect()           {}
func (Forward) effect()            {}
func (Cancel) effect()             {}
func (Reply) effect()              {}
func (Retain) effect()             {}
func (Drop) effect()               {}
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
func (Note) effect()               {}
func (Exit) effect()               {}
