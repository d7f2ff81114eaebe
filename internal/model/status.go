package model

// Status is what an instance says about itself and its view of the fleet.
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

// ServerStatus is an own server.
type ServerStatus struct {
	Name     string `json:"name"`
	Service  string `json:"service"`
	Allowed  int    `json:"allowed"`
	InFlight int    `json:"in_flight"`
	Draining bool   `json:"draining"`
	Ejected  bool   `json:"ejected"`
	Owned    bool   `json:"owned"`
}

// MemberStatus is another instance of the own failure domain.
type MemberStatus struct {
	Name                 string `json:"name"`
	Address              string `json:"address"`
	PeerAddress          string `json:"-"`
	Alive                bool   `json:"alive"`
	Leaving              bool   `json:"leaving"`
	ConfigurationVersion int64  `json:"configuration_version"`
}

// DomainStatus is a failure domain as seen from the instance that answers.
type DomainStatus struct {
	Name string `json:"name"`
	// Heard is false where no fresh summary is at hand.
	Heard         bool     `json:"heard"`
	OldestVersion int64    `json:"oldest_version"`
	Laggards      []string `json:"laggards,omitempty"`
	Addresses     []string `json:"addresses,omitempty"`
}
