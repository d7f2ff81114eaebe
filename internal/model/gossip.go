package model

import "time"

// Digest is what an instance tells the others of its failure domain about itself.
type Digest struct {
	Instance
	// Sequence grows with every digest of one incarnation.
	Sequence             uint64
	Leaving              bool
	Ready                bool
	ConfigurationVersion int64
	TableRevision        int64
	// Pools is the state of the instance's own servers by service.
	Pools []Pool
	// Foreign counts requests in flight on servers that the instance no longer owns.
	Foreign []Occupied
	// Listed is set by an instance that reads the platform's list; Draining
	// names the servers that the list marks as leaving.
	Listed   bool
	Draining []string
	Shares   []Share
}

// Pool is the state of one service's servers at one instance.
type Pool struct {
	Service string
	Slots   int
	Busy    int
	Queued  int
	// Waits is the time that new work of each rank would wait for a slot.
	Waits []time.Duration
}

// Occupied counts requests in flight on a server.
type Occupied struct {
	Server   string
	InFlight int
}

// Share is where one home's traffic of a service went in the last full period.
type Share struct {
	Service string
	Home    string
	// Regions are where the traffic may run, as one word.
	Regions  string
	Domain   string
	Fraction float64
	// Arrivals weighs the fraction when several instances report one home.
	Arrivals int
}

// Summary is what a failure domain tells the other failure domains.
type Summary struct {
	Domain   string
	Sequence uint64
	// Roster identifies Identities, which are left out for a receiver that has
	// them. They are the instances that take work from elsewhere.
	Roster     uint64
	Identities []Instance
	// Instances is the number of the domain's live instances, named or not.
	Instances int
	// States belong to Identities, in their order.
	States []MemberState
	// OldestVersion is the lowest configuration version in force in the domain.
	OldestVersion int64
	// Laggards are instances below the newest version that the author knows.
	Laggards []string
	Shares   []Share
}

// MemberState is the changing part of an instance in a Summary.
type MemberState struct {
	Leaving bool
	Pools   []Pool
}

// Gossip is one exchange between two instances. Its reply has the same shape.
type Gossip struct {
	From  Instance
	Stamp Stamp
	// Versions that the sender can hand out.
	ConfigurationVersion int64
	TableRevision        int64
	// StoreAge is how long ago the store last confirmed the table to the
	// sender, directly or through others.
	StoreAge time.Duration
	// Brief asks for an answer without digests and summaries.
	Brief     bool
	Digests   []Digest
	Summaries []Summary
	// What the sender has, so that the reply carries only what is newer.
	KnownDigests   []Known
	KnownSummaries []Known
	// WantSummaries asks for summaries.
	WantSummaries bool
}

// Known says what a sender has of one instance or failure domain. Name is the
// hash of its name.
type Known struct {
	Name     uint32
	Sequence uint64
	Roster   uint64
}

// Empty is the argument of calls that need none.
type Empty struct{}
