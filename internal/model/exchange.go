package model

// Job is what goes with a request besides what the reducer sees.
type Job struct {
	ContentType string
	Body        []byte
}

// Answer is an upstream's whole answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Names of headers of the system's own.
const (
	HeaderRequestID   = "X-Request-Id"
	HeaderKey         = "Idempotency-Key"
	HeaderKind        = "Yuccathread-Kind"
	HeaderDeadlineMS  = "Yuccathread-Deadline-Ms"
	HeaderOutcome     = "Yuccathread-Outcome"
	HeaderCode        = "Yuccathread-Code"
	HeaderServer      = "Yuccathread-Server"
	HeaderInstance    = "Yuccathread-Instance"
	HeaderDraining    = "Yuccathread-Draining"
	HeaderPeerRequest = "Yuccathread-Request"
	HeaderPeerResult  = "Yuccathread-Result"
)

// PathPeerWork is where an instance takes work from other instances.
const PathPeerWork = "/v1/peer/work"
