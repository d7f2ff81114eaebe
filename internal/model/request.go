package model

import "time"

// Outcome says whether work was executed by an upstream.
type Outcome string

// The three outcomes. Every result has one of them.
const (
	// Ran means that an upstream executed the work and answered completely.
	Ran Outcome = "ran"
	// NotRun means that no upstream executed the work, and none will.
	NotRun Outcome = "not_run"
	// Unknown means that the work may have been executed: bytes may have reached
	// an upstream, or another request with the same key may have run it.
	Unknown Outcome = "unknown"
)

// Code is a stable identifier of the reason for a result.
type Code string

// Codes of results.
const (
	CodeOK                Code = "ok"
	CodeBadRequest        Code = "bad_request"
	CodeUnknownKind       Code = "unknown_kind"
	CodeBodyTooLarge      Code = "body_too_large"
	CodeDeadlineExceeded  Code = "deadline_exceeded"
	CodeOverloaded        Code = "overloaded"
	CodeShiftCap          Code = "shift_cap"
	CodeLinkLimit         Code = "link_limit"
	CodeNoUpstream        Code = "no_upstream"
	CodeNotReady          Code = "not_ready"
	CodeCallerGone        Code = "caller_gone"
	CodeKeyRequired       Code = "key_required"
	CodeKeyReused         Code = "key_reused"
	CodeTicketExpired     Code = "ticket_expired"
	CodeIssuerUnreachable Code = "issuer_unreachable"
	CodeStoreUnavailable  Code = "store_unavailable"
	CodeClaimLimit        Code = "claim_limit"
	CodeClaimedElsewhere  Code = "claimed_elsewhere"
	CodeUpstreamFailed    Code = "upstream_failed"
	CodeUpstreamRefused   Code = "upstream_refused"
	CodePeerFailed        Code = "peer_failed"
	CodeLeaving           Code = "leaving"
	CodeAnswerNotKept     Code = "answer_not_kept"
)

// Request describes work for the reducer. The executor keeps the body; see Payload.
type Request struct {
	ID   string `json:"id"`
	Kind string `json:"kind"`
	// Key is the idempotency key: a ticket or a key chosen by the caller.
	Key string `json:"key,omitempty"`
	// Digest is a hash of kind and body. It detects a key that is reused for
	// different work.
	Digest uint64 `json:"digest"`
	// Home is the failure domain nearest to the client.
	Home string `json:"home"`
	// Deadline is a time on the clock of the instance that holds the request.
	Deadline  time.Time `json:"deadline"`
	BodyBytes int64     `json:"body_bytes"`
	// Hops counts how often the work was forwarded. A forward to the instance
	// that holds the key does not count.
	Hops int `json:"hops"`
	// Origin is the instance that forwarded the work, if any.
	Origin string `json:"origin,omitempty"`
	// OriginRegion is the region of Origin.
	OriginRegion string `json:"origin_region,omitempty"`
	// Bound is set if the receiving process holds the key, so that only it may
	// decide whether the work runs.
	Bound bool `json:"bound,omitempty"`
	// Settled is the outcome recorded in the store for the key, if any.
	Settled Outcome `json:"settled,omitempty"`
}

// Result is the final result of a request.
type Result struct {
	Outcome Outcome `json:"outcome"`
	Code    Code    `json:"code"`
	// Status is the upstream's HTTP status where Outcome is Ran.
	Status int `json:"status,omitempty"`
	// AnswerBytes is the size of the complete answer.
	AnswerBytes int64 `json:"answer_bytes,omitempty"`
	// Detail is a human-readable explanation.
	Detail string `json:"detail,omitempty"`
	// Server is the upstream server that executed the work.
	Server string `json:"server,omitempty"`
	// RetryAfter is set if a later attempt may succeed.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
}

// Claim is the store's record of a key chosen by a caller.
type Claim struct {
	Key         string  `json:"key"`
	Digest      uint64  `json:"digest"`
	Holder      string  `json:"holder"`
	Incarnation string  `json:"incarnation"`
	PeerAddress string  `json:"peer_address"`
	Nonce       string  `json:"nonce"`
	Outcome     Outcome `json:"outcome,omitempty"`
}
