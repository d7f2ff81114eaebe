// Package message holds the events that the reducer takes in and the effects
// that it hands out. Both are plain data; only shells act on effects.
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

// Event is something that happened. The list of events is closed.
type Event interface{ event() }

// Effect is something to be done. The list of effects is closed.
type Effect interface{ effect() }

// Arrived is work from a caller or from another instance.
type Arrived struct {
	Request model.Request
}

// Expired fires at a waiting request's deadline.
type Expired struct {
	ID string
}

// CallerGone says that nobody waits for the answer any more.
type CallerGone struct {
	ID string
}

// Answered is the end of a Dispatch.
type Answered struct {
	ID      string
	Attempt int
	Result  model.Result
	// Draining is set where the answer said that the server leaves.
	Draining bool
	// Abandoned is set where the server may still hold the slot for a moment,
	// because the exchange was cut off from this side.
	Abandoned bool
}

// PeerAnswered is the end of a Forward.
type PeerAnswered struct {
	ID      string
	Attempt int
	Result  model.Result
}

// SlotFreed ends the hold on a slot whose exchange was cut off.
type SlotFreed struct {
	Server string
}

// LookedUp asks which instance a client should use.
type LookedUp struct {
	ID     string
	Kind   string
	Client netip.Addr
	Random uint64
}

// TicketAsked asks for a ticket.
type TicketAsked struct {
	ID     string
	Random uint64
}

// Ticked comes several times a second.
type Ticked struct {
	Random uint64
}

// Gossiped is a gossip request from another instance.
type Gossiped struct {
	Gossip model.Gossip
}

// GossipAnswered is the reply to SendGossip; Started is when it was sent.
type GossipAnswered struct {
	Peer    model.Instance
	Gossip  model.Gossip
	Started time.Time
}

// GossipFailed says that a SendGossip was not answered.
type GossipFailed struct {
	Peer model.Instance
}

// ConfigurationSeen is a configuration from the store or from another instance.
type ConfigurationSeen struct {
	Head          model.Head
	Configuration model.Configuration
	Source        string
}

// TableRead is the table as the store held it at some time after Started.
type TableRead struct {
	Table         model.Table
	StoreRevision int64
	Started       time.Time
}

// TableFetched is a table that another instance handed out.
type TableFetched struct {
	Table model.Table
}

// TableWritten is the end of a WriteTable. Conflict means that the store held
// another revision.
type TableWritten struct {
	Table         model.Table
	StoreRevision int64
	Started       time.Time
	Conflict      bool
}

// StoreFailed says that a call of the store had no usable answer.
type StoreFailed struct {
	Operation string
}

// Listed is the platform's instance list of one failure domain.
type Listed struct {
	Domain  string
	Listing model.Listing
}

// ListFailed says that the platform's list did not answer.
type ListFailed struct {
	Domain string
}

// LoadReported is what a server says about itself.
type LoadReported struct {
	Server   string
	Slots    int
	Busy     int
	Draining bool
}

// ClaimVerdict is the store's answer about a key.
type ClaimVerdict string

// Verdicts on claims.
const (
	ClaimGranted ClaimVerdict = "granted"
	ClaimHeld    ClaimVerdict = "held"
	ClaimAway    ClaimVerdict = "away"
)

// Claimed is the end of a Claim effect. Holder is set where another process
// or an earlier request holds the key.
type Claimed struct {
	ID      string
	Verdict ClaimVerdict
	Holder  model.Claim
}

// Settled is the end of a Settle effect.
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
