package model

// Settings configure one process and are read when it starts. Everything that
// all processes share is in the Configuration in the store.
type Settings struct {
	Instance      string `json:"instance"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	// Address serves callers and operators, as host:port.
	Address string `json:"address"`
	// PeerAddress serves other instances, as host:port.
	PeerAddress string `json:"peer_address"`
	// StoreURL and ListURL are the base URLs of the platform's store and list.
	StoreURL string `json:"store_url"`
	ListURL  string `json:"list_url"`
	// PlatformTimeout bounds each call to the platform.
	PlatformTimeout Duration `json:"platform_timeout"`
	// StopLimit bounds a graceful shutdown.
	StopLimit Duration `json:"stop_limit"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level"`
	// TimelineRecords is the number of timeline records kept in memory.
	TimelineRecords int `json:"timeline_records"`
	// MaxAnswerBytes bounds an answer. A larger one is treated as incomplete.
	MaxAnswerBytes int64 `json:"max_answer_bytes"`
	// RetainedBytes bounds the total size of the answers kept for repeated
	// once-only requests.
	RetainedBytes int64 `json:"retained_bytes"`
}
