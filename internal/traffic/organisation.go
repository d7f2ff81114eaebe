package traffic

// Organisation is a customer of the operators. Its callers identify themselves by one of its
// keys.
type Organisation struct {
	Name string
	Keys []string
	// Rank takes precedence over the rank of the route if Ranked is set.
	Rank   int
	Ranked bool
	// PerSecond is the number of requests per second that all instances together accept from
	// the organisation, and Burst how many it may send at once beyond that. A PerSecond of
	// zero sets no limit.
	PerSecond float64
	Burst     float64
	// HomeRegions are the only regions that may serve the organisation; empty means any.
	HomeRegions []string
}
