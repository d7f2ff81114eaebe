package model

import (
	"encoding/json"
	"time"
)

// HomeRegion is the entry of Kind.Regions that means the region of the failure
// domain nearest to the caller.
const HomeRegion = "home"

// Configuration is the operators' policy for all instances. The store holds one
// version at a time; see Head.
type Configuration struct {
	Regions  []Region  `json:"regions"`
	Links    []Link    `json:"links"`
	Ranks    []Rank    `json:"ranks"` // Most urgent first.
	Services []Service `json:"services"`
	Kinds    []Kind    `json:"kinds"`
	Blocks   []Block   `json:"blocks,omitempty"`
	LookUp   LookUp    `json:"look_up"`
	Shift    Shift     `json:"shift"`
	Retry    Retry     `json:"retry"`
	Recovery Recovery  `json:"recovery"`
	OnceOnly OnceOnly  `json:"once_only"`
}

// Region is a group of failure domains that are close to each other.
type Region struct {
	Name    string   `json:"name"`
	Domains []string `json:"domains"`
	// Drained lists failure domains that are tried only after all others. Their
	// traffic moves to other domains no faster than Shift.Cap allows.
	Drained []string `json:"drained,omitempty"`
}

// Link limits all traffic in one direction between two regions.
type Link struct {
	From           string `json:"from"`
	To             string `json:"to"`
	BytesPerSecond int64  `json:"bytes_per_second"`
}

// Rank is a priority class. Floor is the fraction of slot time that the rank
// keeps even if more urgent ranks have enough work to use all of it.
type Rank struct {
	Name  string  `json:"name"`
	Floor float64 `json:"floor"`
}

// Service is a group of identical upstream servers.
type Service struct {
	Name                 string `json:"name"`
	SlotsPerServer       int    `json:"slots_per_server"`
	ConnectionsPerServer int    `json:"connections_per_server"`
}

// Kind is the policy for one kind of work.
type Kind struct {
	Name     string `json:"name"`
	Service  string `json:"service"`
	Rank     string `json:"rank"`
	OnceOnly bool   `json:"once_only,omitempty"`
	// Deadline bounds the time from arrival to answer; a caller may ask for less.
	Deadline Duration `json:"deadline"`
	// Regions lists where the work may run, in order of preference.
	Regions []string `json:"regions"`
	// QueueLimit is the number of requests of the kind that may wait at one instance.
	QueueLimit int `json:"queue_limit"`
	// MaxBodyBytes bounds the request body.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// AnswerBytes is the expected size of an answer. That much is reserved on
	// the link by which the answer returns.
	AnswerBytes int64 `json:"answer_bytes"`
}

// Block maps client addresses to the failure domain that is nearest to them.
type Block struct {
	Prefix string `json:"prefix"`
	Domain string `json:"domain"`
}

// LookUp configures the answers to look-ups.
type LookUp struct {
	// TTL is how long a caller may cache an answer.
	TTL Duration `json:"ttl"`
	// Entries is the largest number of instances named in an answer.
	Entries int `json:"entries"`
}

// Shift bounds how fast traffic moves between failure domains.
type Shift struct {
	// Cap is the largest fraction of a service's requests from one home failure
	// domain that may move to other domains in a period.
	Cap    float64  `json:"cap"`
	Period Duration `json:"period"`
	// MinimumRequests is the number of requests that each instance may move per
	// service, home and period even if Cap allows fewer. Without it, traffic of
	// only a few requests could not fail over.
	MinimumRequests int `json:"minimum_requests"`
}

// Retry limits retries to a fraction of first attempts. Burst is the largest
// number of retries that the budget can hold, and Attempts bounds the attempts
// of one request.
type Retry struct {
	Fraction float64 `json:"fraction"`
	Burst    int     `json:"burst"`
	Attempts int     `json:"attempts"`
}

// Recovery configures the ejection of failing upstream servers and the ramp-up
// of cold ones.
type Recovery struct {
	// SlowStart is the time over which a cold server is ramped up to all its slots.
	SlowStart Duration `json:"slow_start"`
	// Failures is the number of consecutive failures that eject a server.
	Failures int `json:"failures"`
	// Ejection is the duration of the first ejection. Each further one lasts twice
	// as long, up to eight times the first.
	Ejection Duration `json:"ejection"`
	// MaxEjected is the largest fraction of its servers of one service that an
	// instance may eject at once.
	MaxEjected float64 `json:"max_ejected"`
}

// OnceOnly configures the records that prevent once-only work from running twice.
type OnceOnly struct {
	// TicketLifetime is how long a ticket may be used after it was issued.
	TicketLifetime Duration `json:"ticket_lifetime"`
	// KeyLifetime is how long a caller's own key is remembered, in the store and by
	// the instance that claimed it.
	KeyLifetime Duration `json:"key_lifetime"`
	// ClaimsPerSecond limits how many callers' own keys one instance claims in the
	// store.
	ClaimsPerSecond float64 `json:"claims_per_second"`
}

// Change describes one accepted version of the configuration.
type Change struct {
	Version  int64     `json:"version"`
	ChangeID string    `json:"change_id"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
	// Paths are JSON Pointers to the changed values.
	Paths []string `json:"paths,omitempty"`
}

// Head is the configuration as the store holds it, with its version and history.
type Head struct {
	Change
	Document json.RawMessage `json:"document"`
	// History holds the most recent changes, oldest first.
	History []Change `json:"history,omitempty"`
}
