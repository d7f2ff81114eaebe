package model

// Settings are what one process is told when it starts. What all processes
// share is the Configuration in the store.
type Settings struct {
	Instance      string `json:"instance"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	// Address serves callers and operators, as host:port.
	Address string `json:"address"`
	// PeerAddress serves other instances, as host:port.
	PeerAddress string `json:"peer_address"`
	// StoreURL and ListURL are the platform's services.
	StoreURL string `json:"store_url"`
	ListURL  string `json:"list_url"`
	// PlatformTimeout bounds each call of the platform.
	PlatformTimeout Duration `json:"platform_timeout"`
	// StopLimit bounds a graceful shutdown.
	StopLimit Duration `json:"stop_limit"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level"`
	// TimelineRecords is the number of records kept in memory.
	TimelineRecords int `json:"timeline_records"`
	// MaxAnswerBytes bounds an answer; a larger one counts as cut off.
	MaxAnswerBytes int64 `json:"max_answer_bytes"`
	// RetainedBytes bounds the answers kept for repeated once-only requests.
	RetainedBytes int64 `json:"retained_bytes"`
}
