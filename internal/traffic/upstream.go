package traffic

import "time"

// Upstream is an upstream server as described by its own record in the store.
type Upstream struct {
	ID      string
	Service string
	// Address is host:port.
	Address string
	Domain  string
	// Slots is the number of requests that the server processes concurrently.
	Slots    int
	Draining bool
	// Cold is how much longer the server stays cold, counted from its report.
	Cold time.Duration
	// Started is the start time in Unix milliseconds. It distinguishes restarts under
	// the same ID.
	Started int64
	// Revision is the store revision of the report.
	Revision int64
}

// Load is the load that a server reports in a response.
type Load struct {
	// Known is set if the report states the number of running requests. A number that
	// it does not state is zero.
	Known   bool
	Running int
	Waiting int
	Slots   int
	// Pace is how many times longer than usual work takes at the server at this
	// moment, or zero if it was not reported.
	Pace float64
}

// Instance is one running entry instance.
type Instance struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Region  string `json:"region"`
	Address string `json:"address"`
	// PeerAddress is where other instances call this one, or empty if they cannot.
	PeerAddress string `json:"peer_address,omitempty"`
	// Capacity grows with the instance's processor share and link, or is zero if they are
	// not known. Only that of instances of the same region is compared.
	Capacity int `json:"capacity,omitempty"`
	// Busy is set while the instance has more work than its processor does.
	Busy bool `json:"busy,omitempty"`
	// Leaving is set while the instance shuts down: it still serves its callers but
	// accepts no new ones.
	Leaving bool `json:"leaving"`
	// Incarnation distinguishes restarts of an instance.
	Incarnation string `json:"incarnation"`
}
