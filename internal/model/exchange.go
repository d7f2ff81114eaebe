package model

// Payload is the part of a request that the reducer does not need.
type Payload struct {
	ContentType string
	Body        []byte
}

// Answer is an upstream's complete HTTP response.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// HTTP headers between callers, instances and upstreams.
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

// PathPeerWork is the path at which an instance accepts work that other
// instances forward.
const PathPeerWork = "/v1/peer/work"
