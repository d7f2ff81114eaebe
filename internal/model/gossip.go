package model

import "time"

// Digest is the state that an instance reports about itself to the other
// instances of its failure domain.
type Digest struct {
	Instance
	// Sequence increases with every digest of an incarnation.
	Sequence             uint64
	Leaving              bool
	Ready                bool
	ConfigurationVersion int64
	TableRevision        int64
	// Pools is the state of the servers that the instance owns, by service.
	Pools []Pool
	// Foreign counts requests in flight on servers that the instance no longer owns.
	Foreign []ServerInFlight
	// Listed is set if the instance reads the platform's list. Draining then
	// holds the names of the servers that the list marks as leaving.
	Listed   bool
	Draining []string
	Shares   []Share
}

// Pool is the combined state of the servers of one service at one instance.
type Pool struct {
	Service string
	Slots   int
	Busy    int
	Queued  int
	// Waits is, for each rank, the time that new work would wait for a slot.
	Waits []time.Duration
}

// ServerInFlight counts requests in flight on a server.
type ServerInFlight struct {
	Server   string
	InFlight int
}

// Share is the fraction of a service's requests from one home failure domain that
// went to Domain, in the current period or, while that has too few requests, in
// the previous one.
type Share struct {
	Service string
	Home    string
	// Regions lists the regions where the traffic may run, joined by commas.
	Regions  string
	Domain   string
	Fraction float64
	// Arrivals is the number of requests from the home. It weights Fraction if
	// several instances report the same home.
	Arrivals int
}

// Summary is the state that a failure domain reports to the other failure domains.
type Summary struct {
	Domain   string
	Sequence uint64
	// Identities names a limited number of instances that accept work from other
	// failure domains. Roster is its hash. Identities is left out for a receiver
	// that already has a list with this hash.
	Roster     uint64
	Identities []Instance
	// Instances counts the domain's live instances, including those that are
	// not in Identities.
	Instances int
	// States holds one entry for each of Identities, in the same order.
	States []MemberState
	// OldestVersion is the lowest configuration version in force in the domain.
	OldestVersion int64
	// Laggards names the instances that run an older configuration version than
	// the newest one that any instance of the domain runs.
	Laggards []string
	Shares   []Share
}

// MemberState is the state of one of a Summary's Identities. It is sent even if
// Identities is left out.
type MemberState struct {
	Leaving bool
	Pools   []Pool
}

// Gossip is the message of an exchange between two instances. The request and
// the reply have the same type.
type Gossip struct {
	From  Instance
	Stamp Stamp
	// ConfigurationVersion and TableRevision are those that the sender can provide.
	ConfigurationVersion int64
	TableRevision        int64
	// StoreAge is the time since the store last confirmed the table to the
	// sender, directly or through another instance.
	StoreAge time.Duration
	// Brief asks for a reply without digests.
	Brief     bool
	Digests   []Digest
	Summaries []Summary
	// KnownDigests and KnownSummaries describe what the sender already has, so
	// that the reply contains only what is newer.
	KnownDigests   []KnownVersion
	KnownSummaries []KnownVersion
	// WantSummaries asks for a reply with summaries.
	WantSummaries bool
}

// KnownVersion identifies the latest state of one instance or failure domain that
// the sender has. Name is the hash of its name.
type KnownVersion struct {
	Name     uint32
	Sequence uint64
	Roster   uint64
}

// Empty is the argument of RPC methods that need none.
type Empty struct{}
