// Package message defines the events that the reducer consumes and the effects
// that it returns. Both are plain data; the code that runs the reducer carries
// the effects out.
//
// Usage:
//
//	effects := r.Reduce(now, message.Arrived{Request: request})
//	for _, x := range effects {
//		switch x := x.(type) {
//		case message.Dispatch:
//			...
//		}
//	}
package message

import (
	"net/netip"
	"time"

	"github.com/yuccathread/yuccathread/internal/model"
)

// Event is an input of the reducer. Only the types of this package implement
// it.
type Event interface{ event() }

// Effect is an action that the reducer asks for. Only the types of this package
// implement it.
type Effect interface{ effect() }

// Arrived reports a request from a caller or from another instance.
type Arrived struct {
	Request model.Request
}

// Expired reports that the deadline of a waiting request has passed.
type Expired struct {
	ID string
}

// CallerGone reports that the caller no longer waits for the answer.
type CallerGone struct {
	ID string
}

// Answered reports the result of a Dispatch.
type Answered struct {
	ID      string
	Attempt int
	Result  model.Result
	// Draining is set if the answer marks the server as draining.
	Draining bool
	// Abandoned is set if this side aborted the exchange. The server may then
	// occupy the slot for a moment longer.
	Abandoned bool
}

// PeerAnswered reports the result of a Forward.
type PeerAnswered struct {
	ID      string
	Attempt int
	Result  model.Result
}

// SlotFreed releases a slot that stayed reserved after its exchange was
// aborted.
type SlotFreed struct {
	Server string
}

// LookedUp asks which instances a client should use.
type LookedUp struct {
	ID     string
	Kind   string
	Client netip.Addr
	Random uint64
}

// TicketAsked asks for a new ticket.
type TicketAsked struct {
	ID     string
	Random uint64
}

// Ticked is delivered several times a second and triggers periodic work.
type Ticked struct {
	Random uint64
}

// Gossiped is a gossip request from another instance.
type Gossiped struct {
	Gossip model.Gossip
}

// GossipAnswered reports the reply to a SendGossip that was sent at Started.
type GossipAnswered struct {
	Peer    model.Instance
	Gossip  model.Gossip
	Started time.Time
}

// GossipFailed reports that a SendGossip got no reply.
type GossipFailed struct {
	Peer model.Instance
}

// ConfigurationSeen reports a configuration from the store or from another
// instance.
type ConfigurationSeen struct {
	Head          model.Head
	Configuration model.Configuration
	Source        string
}

// TableRead reports the table in the store. The read began at Started, so the
// store held this table at some time after that.
type TableRead struct {
	Table         model.Table
	StoreRevision int64
	Started       time.Time
}

// TableFetched reports a table received from another instance.
type TableFetched struct {
	Table model.Table
}

// TableWritten reports the end of a WriteTable. Conflict means that the store
// held another revision and nothing was written.
type TableWritten struct {
	Table         model.Table
	StoreRevision int64
	Started       time.Time
	Conflict      bool
}

// StoreFailed reports that a store operation failed or returned no usable
// answer.
type StoreFailed struct {
	Operation string
}

// Listed reports the platform's list of one failure domain.
type Listed struct {
	Domain  string
	Listing model.Listing
}

// ListFailed reports that the platform's list could not be read.
type ListFailed struct {
	Domain string
}

// LoadReported is a load report from a server.
type LoadReported struct {
	Server   string
	Slots    int
	Busy     int
	Draining bool
}

// ClaimVerdict is the store's answer to a claim.
type ClaimVerdict string

// Answers to a claim. ClaimAway means that the store could not be reached.
const (
	ClaimGranted ClaimVerdict = "granted"
	ClaimHeld    ClaimVerdict = "held"
	ClaimAway    ClaimVerdict = "away"
)

// Claimed reports the end of a Claim effect. With ClaimHeld, Holder is the
// existing claim, made by another process or by an earlier request.
type Claimed struct {
	ID      string
	Verdict ClaimVerdict
	Holder  model.Claim
}

// Settled reports the end of a Settle effect.
type Settled struct {
	Key string
	OK  bool
}

// StopRequested starts a graceful shutdown.
type StopRequested struct{}

func (Arrived) event()           {}
func (Expired) event()           {}
func (CallerGone) event()        {}
func (Answered) event()          {}
func (PeerAnswered) event()      {}
func (SlotFreed) event()         {}
func (LookedUp) event()          {}
func (TicketAsked) event()       {}
func (Ticked) event()            {}
func (Gossiped) event()          {}
func (GossipAnswered) event()    {}
func (GossipFailed) event()      {}
func (ConfigurationSeen) event() {}
func (TableRead) event()         {}
func (TableFetched) event()      {}
func (TableWritten) event()      {}
func (StoreFailed) event()       {}
func (Listed) event()            {}
func (ListFailed) event()        {}
func (LoadReported) event()      {}
func (Claimed) event()           {}
func (Settled) event()           {}
func (StopRequested) event()     {}
