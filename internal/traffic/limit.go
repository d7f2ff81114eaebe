package traffic

// Limit is what a server's response says about the number of requests per second that
// it accepts from all instances together.
type Limit struct {
	// Known is set if the response could be read in this respect.
	Known bool
	// Limited is set if the server names a limit.
	Limited bool
	// PerSecond is the limit; it may be a fraction.
	PerSecond float64
}

// ServerLimit is the limit of one server's process.
type ServerLimit struct {
	Server string `json:"server"`
	// Started is the start of the process, as in its record.
	Started int64 `json:"started"`
	// Limited is false if the process has no limit any more.
	Limited   bool    `json:"limited"`
	PerSecond float64 `json:"per_second"`
}

// LimitSeen reports the limit of a server that another instance has written to the
// store.
type LimitSeen struct{ Limit ServerLimit }

// LimitGone reports that the store holds no limit of a server any more.
type LimitGone struct{ Server string }

// LimitsListed reports the servers whose limits a full read of the store found.
type LimitsListed struct{ Servers map[string]bool }

// PublishLimits writes limits to the store, for the other instances and for those that
// start later.
type PublishLimits struct{ Limits []ServerLimit }

func (LimitSeen) event()      {}
func (LimitGone) event()      {}
func (LimitsListed) event()   {}
func (PublishLimits) effect() {}
