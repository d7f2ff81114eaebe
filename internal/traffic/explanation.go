package traffic

// ExplanationRequested asks where a request would go now. It is not sent.
type ExplanationRequested struct{ Request Request }

func (ExplanationRequested) event() {}

// Explanation tells where a request would go now, and why. Times are in milliseconds.
type Explanation struct {
	// Version is that of the policy.
	Version int64 `json:"version"`
	// Refusal is the reason why no server would be looked for, or empty.
	Refusal      Refusal `json:"refusal,omitempty"`
	Route        string  `json:"route,omitempty"`
	Organisation string  `json:"organisation,omitempty"`
	Rank         int     `json:"rank"`
	// Idempotent requests may be sent to a second server.
	Idempotent bool    `json:"idempotent"`
	TimeoutMS  float64 `json:"timeout_ms"`
	// Services are those to which the route's requests are dealt out, with their weights.
	Services []ServiceExplanation `json:"services,omitempty"`
}

func (Explanation) effect() {}

// ServiceExplanation tells where a request would go if it were dealt out to a service.
type ServiceExplanation struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
	// Server is the chosen server, or empty if the request would be refused.
	Server       string  `json:"server,omitempty"`
	Refusal      Refusal `json:"refusal,omitempty"`
	RetryAfterMS float64 `json:"retry_after_ms,omitempty"`
	// Servers are those that were compared, the nearest to the object first.
	Servers []ServerExplanation `json:"servers,omitempty"`
	// Obstacles counts the servers that were not compared, by the reason why they may not get
	// the request.
	Obstacles map[string]int `json:"obstacles,omitempty"`
}

// ServerExplanation tells what is known of a server.
type ServerExplanation struct {
	ID     string `json:"id"`
	Domain string `json:"failure_domain"`
	// Preferred is set for the server that is expected to have the object in its cache.
	Preferred bool `json:"preferred"`
	Cached    bool `json:"cached"`
	// Load is the estimated number of requests at the server, of Slots, and LoadAgeMS the age
	// of the report that it is based on.
	Load      float64 `json:"load"`
	Slots     int     `json:"slots"`
	LoadAgeMS float64 `json:"load_age_ms"`
	// ExpectedMS is the expected time until the response.
	ExpectedMS float64 `json:"expected_ms"`
	// FailureRate is the share of recent outcomes that failed.
	FailureRate float64 `json:"failure_rate"`
}
