package model

// Stamp is a reading of a hybrid logical clock. Stamps order the records of all
// instances such that a cause comes before its effect.
type Stamp struct {
	WallMS  int64  `json:"wall_ms"`
	Logical uint32 `json:"logical"`
}

// Record is a decision or observation in the timeline.
type Record struct {
	Stamp
	Instance string `json:"instance"`
	Kind     string `json:"kind"`
	Request  string `json:"request,omitempty"`
	Subject  string `json:"subject,omitempty"`
	Reason   string `json:"reason,omitempty"`
	Inputs   string `json:"inputs,omitempty"`
}

// TimelineQuery selects timeline records. Empty fields match all records.
type TimelineQuery struct {
	// Request is a request ID or a prefix of one.
	Request string
	Kind    string
	Subject string
	// Limit keeps only that many of the newest records.
	Limit int
}
