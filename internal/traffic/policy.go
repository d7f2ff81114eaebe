package traffic

import "time"

// Policy is the operators' configuration: one numbered version, in full.
type Policy struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

// Route says what happens to requests of one host below one path.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout bounds the time from a request's arrival to its final answer.
	Timeout time.Duration
	// Target is the latency within which an answer has its full value.
	Target time.Duration
	// Rank orders requests by urgency; 0 is the most urgent.
	Rank int
	// Shares names the services that serve the route, with their weights.
	Shares []Share
	// MaxAttempts bounds the servers to which one request may be sent.
	MaxAttempts int
	// Sticky routes are served faster by a server that knows the object.
	Sticky bool
	// Homes are the only regions that may serve the route; empty means any.
	Homes []string
}

// Share is one service's part of a route.
type Share struct {
	Service string
	Weight  float64
}

// Service is a group of interchangeable upstream servers.
type Service struct {
	Name string
	// MaxConnections is what one server accepts from all instances together.
	MaxConnections int
	// ColdPeriod is how long a server is slow after its start.
	ColdPeriod time.Duration
	// ColdRate is the number of requests a second that a cold server stands.
	ColdRate float64
}

// Limits bound what a caller may send; zero means no bound of its own.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
