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

// DispatchDone reports the result of a Dispatch.
type DispatchDone struct {
	ID      string
	Attempt int
	Result  model.Result
	// Draining is set if the answer marks the server as draining.
	Draining bool
	// Aborted is set if this side aborted the exchange. The server may then
	// occupy the slot for a moment longer.
	Aborted bool
}

// ForwardDone reports the result of a Forward.
type ForwardDone struct {
	ID      string
	Attempt int
	Result  model.Result
}

// SlotFreed releases a slot that stayed reserved after its exchange was
// aborted.
type SlotFreed struct {
	Server string
}

// LookUpRequested asks which instances a client should use.
type LookUpRequested struct {
	ID     string
	Kind   string
	Client netip.Addr
	Random uint64
}

// TicketRequested asks for a new ticket.
type TicketRequested struct {
	ID     string
	Random uint64
}

// Ticked is delivered several times a second and triggers periodic work.
type Ticked struct {
	Random uint64
}

// GossipReceived is a gossip request from another instance.
type GossipReceived struct {
	Gossip model.Gossip
}

// GossipReplied reports the reply to a SendGossip that was sent at StartedAt.
type GossipReplied struct {
	Peer      model.Instance
	Gossip    model.Gossip
	StartedAt time.Time
}

// GossipFailed reports that a SendGossip got no reply.
type GossipFailed struct {
	Peer model.Instance
}

// ConfigurationReceived reports a configuration from the store or from another
// instance.
type ConfigurationReceived struct {
	Head          model.Head
	Configuration model.Configuration
	Source        string
}

// TableRead reports the table in the store. The read began at StartedAt, so the
// store held this table at some time after that.
type TableRead struct {
	Table         model.Table
	StoreRevision int64
	StartedAt     time.Time
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
	StartedAt     time.Time
	Conflict      bool
}

// StoreFailed reports that a store operation failed or returned no usable
// answer.
type StoreFailed struct {
	Operation string
}

// ListingRead reports the platform's list of one failure domain.
type ListingRead struct {
	Domain  string
	Listing model.Listing
}

// ListingFailed reports that the platform's list could not be read.
type ListingFailed struct {
	Domain string
}

// LoadReported is a load report from a server.
type LoadReported struct {
	Server   string
	Slots    int
	Busy     int
	Draining bool
}

// ClaimStatus is the store's answer to a claim.
type ClaimStatus string

// Answers to a claim. ClaimStoreUnavailable means that the store could not be
// reached.
const (
	ClaimGranted          ClaimStatus = "granted"
	ClaimHeld             ClaimStatus = "held"
	ClaimStoreUnavailable ClaimStatus = "away"
)

// Claimed reports the end of a Claim effect. With ClaimHeld, Holder is the
// existing claim, made by another process or by an earlier request.
type Claimed struct {
	ID     string
	Status ClaimStatus
	Holder model.Claim
}

// Settled reports the end of a Settle effect.
type Settled struct {
	Key string
	OK  bool
}

// StopRequested starts a graceful shutdown.
type StopRequested struct{}

func (Arrived) event()               {}
func (Expired) event()               {}
func (CallerGone) event()            {}
func (DispatchDone) event()          {}
func (ForwardDone) event()           {}
func (SlotFreed) event()             {}
func (LookUpRequested) event()       {}
func (TicketRequested) event()       {}
func (Ticked) event()                {}
func (GossipReceived) event()        {}
func (GossipReplied) event()         {}
func (GossipFailed) event()          {}
func (ConfigurationReceived) event() {}
func (TableRead) event()             {}
func (TableFetched) event()          {}
func (TableWritten) event()          {}
func (StoreFailed) event()           {}
func (ListingRead) event()           {}
func (ListingFailed) event()         {}
func (LoadReported) event()          {}
func (Claimed) event()               {}
func (Settled) event()               {}
func (StopRequested) event()         {}
