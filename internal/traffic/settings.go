package traffic

import "github.com/yuccathread/yuccathread/internal/model"

// Settings are what an instance on a managed platform is told when it starts.
type Settings struct {
	Instance string `json:"instance"`
	Domain   string `json:"failure_domain"`
	Region   string `json:"region"`
	// CallerAddress serves requests, ReadyAddress the readiness check,
	// LookUpAddress look-ups and MetricsAddress metrics, each as IP:port.
	CallerAddress  string `json:"caller_address"`
	ReadyAddress   string `json:"ready_address"`
	LookUpAddress  string `json:"look_up_address"`
	MetricsAddress string `json:"metrics_address"`
	// StoreAddress is the platform's store, as IP:port.
	StoreAddress string `json:"store_address"`
	// Domains maps each failure domain to its region.
	Domains map[string]string `json:"failure_domains"`
	// MemoryMB bounds the process's memory.
	MemoryMB int64 `json:"memory_mb"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level"`
	// LogLines bounds the lines a second about single requests that went well.
	LogLines int    `json:"log_lines_per_second"`
	Bounds   Bounds `json:"bounds"`
}

// Bounds are the limits that the platform's operators have set.
type Bounds struct {
	// Drain is how long a leaving server may still get new work.
	Drain model.Duration `json:"drain"`
	// Apply is how soon a new configuration must be in force.
	Apply model.Duration `json:"apply"`
	// Grace is the time between the request to stop and a kill.
	Grace model.Duration `json:"grace"`
	// ReturnWait is how long servers whose records lapsed while the store was
	// away are waited for after its return.
	ReturnWait model.Duration `json:"return_wait"`
	// RetryRatio is the number of repeats that one request pays for, RetrySlack
	// the number that all instances together may have saved up.
	RetryRatio float64 `json:"retry_ratio"`
	RetrySlack float64 `json:"retry_slack"`
	// ColdFactor times a service's cold rate, plus ColdSlack, is what a cold
	// server gets in any second, summed over all instances.
	ColdFactor float64 `json:"cold_factor"`
	ColdSlack  float64 `json:"cold_slack"`
	// ShiftCap is the part of a region's requests that may change the region
	// in which they run within ShiftWindow.
	ShiftCap    float64        `json:"shift_cap"`
	ShiftWindow model.Duration `json:"shift_window"`
	// LookUpLifetime is the longest time that look-ups may be cached.
	LookUpLifetime model.Duration `json:"look_up_lifetime"`
}
