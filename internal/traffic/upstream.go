package traffic

import "time"

// Upstream is one server as it describes itself in the store.
type Upstream struct {
	ID      string
	Service string
	// Address is host:port.
	Address string
	Domain  string
	// Slots is the number of requests that it works on at once.
	Slots    int
	Draining bool
	// Cold is how much longer it stays slow, counted from its report.
	Cold time.Duration
	// Started tells two starts under one ID apart, in Unix milliseconds.
	Started int64
	// Revision is the store's revision of the report.
	Revision int64
}

// Load is what a server says about itself in an answer.
type Load struct {
	Known   bool
	Running int
	Waiting int
	Slots   int
}

// Instance is one running entry instance.
type Instance struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Region  string `json:"region"`
	Address string `json:"address"`
	// Leaving instances serve on, but take no new callers.
	Leaving bool `json:"leaving"`
	// Incarnation tells two starts of one instance apart.
	Incarnation string `json:"incarnation"`
}
