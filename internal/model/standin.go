package model

// StandIns describes the stand-ins that one process runs: a platform, upstream
// servers, or both.
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
	// Work is the time that a request takes.
	Work Duration `json:"work"`
	// Cold is added to Work until the server has run for Warming.
	Cold    Duration `json:"cold"`
	Warming Duration `json:"warming"`
}

// PlatformFaults are what a platform stand-in does wrong.
type PlatformFaults struct {
	StoreDown bool     `json:"store_down"`
	ListDown  bool     `json:"list_down"`
	Delay     Duration `json:"delay"`
	// LoseAnswers is the number of writes that take effect and are not answered.
	LoseAnswers int `json:"lose_answers"`
}

// UpstreamFaults are what an upstream stand-in does wrong.
type UpstreamFaults struct {
	// Mode is empty, or fail (status 500), hang, truncate or refuse.
	Mode     string `json:"mode"`
	Draining bool   `json:"draining"`
	// Lie makes load reports claim that no slot is busy and nothing drains.
	Lie bool `json:"lie"`
}

// UpstreamReport is what an upstream stand-in saw.
type UpstreamReport struct {
	// Peak is the largest number of requests that were there at once.
	Peak int `json:"peak"`
	// Executions counts finished work; ByKey counts it by idempotency key.
	Executions int            `json:"executions"`
	ByKey      map[string]int `json:"by_key"`
	Cancelled  int            `json:"cancelled"`
	Refused    int            `json:"refused"`
	// LastArrivalMS is the wall time of the newest request, in Unix ms.
	LastArrivalMS int64 `json:"last_arrival_ms"`
}
