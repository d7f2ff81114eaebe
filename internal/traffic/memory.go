package traffic

// Holder is a kind of memory that grows with what callers and servers send.
type Holder string

// Holders of memory.
const (
	// RequestMemory is what each request in progress needs at least: its head, the buffers
	// of its connections, and the part of a response that is passed on at a time.
	RequestMemory Holder = "requests"
	// BodyMemory is the bodies of requests.
	BodyMemory Holder = "bodies"
	// OnceResponseMemory is the responses to requests that must not run twice, from their
	// first byte until callers have read them, and ResponseMemory all other responses.
	OnceResponseMemory Holder = "once_responses"
	ResponseMemory     Holder = "responses"
	// ConnectionMemory is the connections of callers.
	ConnectionMemory Holder = "connections"
	// HeadMemory is the heads of requests beyond their usual number of lines.
	HeadMemory Holder = "heads"
)

// Loan is a number of bytes that a holder wants to use.
type Loan struct {
	Holder Holder
	// Rank is that of the request; 0 is the most urgent.
	Rank  int
	Bytes int64
}
