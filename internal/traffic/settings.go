package traffic

import (
	"math"

	"github.com/yuccathread/yuccathread/internal/model"
)

// Settings are the startup settings of an instance on a managed platform.
type Settings struct {
	Instance string `json:"instance"`
	Domain   string `json:"failure_domain"`
	Region   string `json:"region"`
	// CallerAddress serves requests, ReadyAddress the readiness check,
	// LookUpAddress look-ups and MetricsAddress metrics, each in the form IP:port.
	CallerAddress  string `json:"caller_address"`
	ReadyAddress   string `json:"ready_address"`
	LookUpAddress  string `json:"look_up_address"`
	MetricsAddress string `json:"metrics_address"`
	// PeerAddress is the IP:port on which other instances call this one. If it is empty,
	// this instance gets all changes from the store.
	PeerAddress string `json:"peer_address"`
	// StoreAddress is the IP:port of the platform's store.
	StoreAddress string `json:"store_address"`
	// Domains maps each failure domain to its region.
	Domains map[string]string `json:"failure_domains"`
	// MemoryMB is the memory limit of the process.
	MemoryMB int64 `json:"memory_mb"`
	// MaxDescriptors is the number of descriptors that the process may have open; zero if only
	// the system's own limit applies.
	MaxDescriptors int `json:"max_descriptors"`
	// ProcessorShare is the instance's share of a processor core, and LinkMbps the bandwidth
	// of its link in Mbit/s; zero if they are not known. They tell which instances read the
	// store for others.
	ProcessorShare float64 `json:"processor_share"`
	LinkMbps       float64 `json:"link_mbps"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level"`
	// LogLines is the largest number of log lines per second about individual
	// requests, not counting failed requests.
	LogLines int    `json:"log_lines_per_second"`
	Bounds   Bounds `json:"bounds"`
}

// capacityUnits is the number of units of capacity of one core on a link of 1 Mbit/s.
const capacityUnits = 1000

// Capacity returns what an instance's record says of its processor and its link, which both
// bound the work for other instances; zero if one of them is not known.
func (s Settings) Capacity() int {
	return int(min(s.ProcessorShare*s.LinkMbps*capacityUnits, math.MaxInt32))
}

// Bounds are the limits set by the platform's operators.
type Bounds struct {
	// Drain is how long a draining server may still get new requests.
	Drain model.Duration `json:"drain"`
	// Apply is how soon a new configuration must be in force.
	Apply model.Duration `json:"apply"`
	// Evacuation is how soon an evacuated failure domain must get no more requests.
	Evacuation model.Duration `json:"evacuation"`
	// Reconnect is how soon after a disturbance of the store, or of the connection to
	// it, an instance must follow the store again.
	Reconnect model.Duration `json:"reconnect"`
	// Grace is the time between the stop request and the kill of the process.
	Grace model.Duration `json:"grace"`
	// ReturnWait is how long after a store outage a server or an instance whose record
	// is missing is kept.
	ReturnWait model.Duration `json:"return_wait"`
	// RetryRatio is the number of retries that each request adds to the retry budget.
	// RetrySlack is the largest budget of all instances together.
	RetryRatio float64 `json:"retry_ratio"`
	RetrySlack float64 `json:"retry_slack"`
	// All instances together send a cold server at most ColdFactor times its service's
	// cold rate, plus ColdSlack, requests in any second.
	ColdFactor float64 `json:"cold_factor"`
	ColdSlack  float64 `json:"cold_slack"`
	// A key that is withdrawn from an organisation must not be accepted after Revoke. If
	// RevokeStrict is set, an instance that may not know of a withdrawal by then accepts no
	// keys at all.
	Revoke       model.Duration `json:"revoke"`
	RevokeStrict bool           `json:"revoke_strict"`
	// In any QuotaWindow the servers get no more of an organisation's requests than its rate
	// and burst allow, plus the fraction QuotaExcess of that, plus QuotaSlack.
	QuotaWindow model.Duration `json:"quota_window"`
	QuotaExcess float64        `json:"quota_excess"`
	QuotaSlack  float64        `json:"quota_slack"`
	// ShiftCap is the fraction of a region's requests that may move to another region
	// within ShiftWindow.
	ShiftCap    float64        `json:"shift_cap"`
	ShiftWindow model.Duration `json:"shift_window"`
	// LookUpLifetime is the longest time for which the result of a look-up may be
	// cached.
	LookUpLifetime model.Duration `json:"look_up_lifetime"`
}
