package model

// StandIns describes the stand-ins that one process runs in place of the real
// platform, of upstream servers, or of both.
type StandIns struct {
	Platform *PlatformStandIn   `json:"platform,omitempty"`
	Servers  []UpstreamStandIn  `json:"servers,omitempty"`
	Listings map[string]Listing `json:"listings,omitempty"`
}

// PlatformStandIn is a stand-in for the platform's store and list.
type PlatformStandIn struct {
	Address string `json:"address"`
}

// UpstreamStandIn is a stand-in for an upstream server.
type UpstreamStandIn struct {
	Server

	Slots int `json:"slots"`
	// ServiceTime is the time that the server takes for a request.
	ServiceTime Duration `json:"work"`
	// ColdDelay is added to ServiceTime until the server has run for WarmUp.
	ColdDelay Duration `json:"cold"`
	WarmUp    Duration `json:"warming"`
}

// PlatformFaults are the faults that a platform stand-in simulates.
type PlatformFaults struct {
	StoreDown bool     `json:"store_down"`
	ListDown  bool     `json:"list_down"`
	Delay     Duration `json:"delay"`
	// LoseAnswers is the number of further writes that take effect without an
	// answer.
	LoseAnswers int `json:"lose_answers"`
}

// UpstreamFaults are the faults that an upstream stand-in simulates.
type UpstreamFaults struct {
	// Mode is empty for none, or fail (status 500), hang, truncate or refuse.
	Mode     string `json:"mode"`
	Draining bool   `json:"draining"`
	// FalseLoad makes load reports claim that no slot is busy and that the server
	// is not draining.
	FalseLoad bool `json:"lie"`
}

// UpstreamReport counts the requests that an upstream stand-in received.
type UpstreamReport struct {
	// Peak is the largest number of concurrent requests.
	Peak int `json:"peak"`
	// Executions counts completed work; ByKey counts it by idempotency key.
	Executions int            `json:"executions"`
	ByKey      map[string]int `json:"by_key"`
	Cancelled  int            `json:"cancelled"`
	Refused    int            `json:"refused"`
	// LastArrivalMS is the arrival time of the latest request, in Unix
	// milliseconds.
	LastArrivalMS int64 `json:"last_arrival_ms"`
}
