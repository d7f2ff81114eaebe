package model

// Status is the state of an instance and its view of the fleet.
type Status struct {
	Instance             Instance       `json:"instance"`
	Ready                bool           `json:"ready"`
	Leaving              bool           `json:"leaving"`
	ConfigurationVersion int64          `json:"configuration_version"`
	TableRevision        int64          `json:"table_revision"`
	LeaseValid           bool           `json:"lease_valid"`
	StoreAway            bool           `json:"store_away"`
	InFlight             int            `json:"in_flight"`
	OnceOnlyRecords      int            `json:"once_only_records"`
	Servers              []ServerStatus `json:"servers,omitempty"`
	Members              []MemberStatus `json:"members,omitempty"`
	Domains              []DomainStatus `json:"domains,omitempty"`
}

// ServerStatus is the state of an upstream server at one instance. Owned is
// false for a server that the instance no longer owns.
type ServerStatus struct {
	Name     string `json:"name"`
	Service  string `json:"service"`
	Allowed  int    `json:"allowed"`
	InFlight int    `json:"in_flight"`
	Draining bool   `json:"draining"`
	Ejected  bool   `json:"ejected"`
	Owned    bool   `json:"owned"`
}

// MemberStatus is the state of another instance of the same failure domain.
type MemberStatus struct {
	Name                 string `json:"name"`
	Address              string `json:"address"`
	PeerAddress          string `json:"-"`
	Alive                bool   `json:"alive"`
	Leaving              bool   `json:"leaving"`
	ConfigurationVersion int64  `json:"configuration_version"`
}

// DomainStatus is the state of a failure domain as known to the instance that
// reports it.
type DomainStatus struct {
	Name string `json:"name"`
	// Heard is false if the instance has no recent summary of the domain.
	Heard         bool     `json:"heard"`
	OldestVersion int64    `json:"oldest_version"`
	Laggards      []string `json:"laggards,omitempty"`
	Addresses     []string `json:"addresses,omitempty"`
}
