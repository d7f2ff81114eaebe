package model

// Stamp is a hybrid logical clock reading. Stamps order records of all
// instances so that a cause comes before its effect.
type Stamp struct {
	WallMS  int64  `json:"wall_ms"`
	Logical uint32 `json:"logical"`
}

// Record is one decision or observation on the time line.
type Record struct {
	Stamp
	Instance string `json:"instance"`
	Kind     string `json:"kind"`
	Request  string `json:"request,omitempty"`
	Subject  string `json:"subject,omitempty"`
	Reason   string `json:"reason,omitempty"`
	Inputs   string `json:"inputs,omitempty"`
}

// TimelineQuery selects records. Empty fields select everything.
type TimelineQuery struct {
	// Request is a request id or the beginning of one.
	Request string
	Kind    string
	Subject string
	// Limit is the number of newest records, oldest first.
	Limit int
}
