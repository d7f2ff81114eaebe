package traffic

import "time"

// Policy is one version of the operators' complete configuration.
type Policy struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	// Organisations are those whose callers need a key. If there are none, nobody does.
	Organisations []Organisation
	Limits        Limits
}

// Route defines how requests for one host and path prefix are served.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout bounds the time from a request's arrival to its final response.
	Timeout time.Duration
	// Target is the target latency: a response that takes longer counts as late.
	Target time.Duration
	// Rank orders requests by urgency; 0 is the most urgent.
	Rank int
	// Shares names the services that serve the route, with their weights.
	Shares []Share
	// MaxAttempts bounds the number of attempts of one request that may run.
	MaxAttempts int
	// Sticky is set if a server that has the object in its cache responds faster.
	Sticky bool
	// HomeRegions are the only regions that may serve the route; empty means any.
	HomeRegions []string
	// Public is set if callers need no key.
	Public bool
}

// Share is the weight of one service in a route.
type Share struct {
	Service string
	Weight  float64
}

// Service is a group of interchangeable upstream servers.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one server accepts from all
	// instances together.
	MaxConnections int
	// ColdPeriod is how long a server is cold, that is slow, after its start.
	ColdPeriod time.Duration
	// ColdRate is the number of requests per second that a cold server can handle.
	ColdRate float64
}

// Limits bounds the requests of callers. A zero field sets no limit of
// its own.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
