package model

import (
	"encoding/json"
	"time"
)

// Home is the name that stands for the caller's own region in Kind.Regions.
const Home = "home"

// Configuration is the operators' policy. One version of it is in force
// everywhere; see Head.
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
	// Drained takes the named failure domains out of steering; traffic leaves
	// them under the shift cap.
	Drained []string `json:"drained,omitempty"`
}

// Link is one direction between two regions and its limit for all traffic.
type Link struct {
	From           string `json:"from"`
	To             string `json:"to"`
	BytesPerSecond int64  `json:"bytes_per_second"`
}

// Rank is a class of urgency with the share of slot time that it keeps while
// more urgent ranks ask for everything.
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

// Kind is a kind of work and the policy for it.
type Kind struct {
	Name     string `json:"name"`
	Service  string `json:"service"`
	Rank     string `json:"rank"`
	OnceOnly bool   `json:"once_only,omitempty"`
	// Deadline bounds the time from arrival to answer; a caller may ask for less.
	Deadline Duration `json:"deadline"`
	// Regions lists where the work may run, in order of preference.
	Regions []string `json:"regions"`
	// QueueLimit is the number of requests that may wait at one instance.
	QueueLimit int `json:"queue_limit"`
	// MaxBodyBytes bounds the request body.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// AnswerBytes is the expected size of an answer, reserved on the link back.
	AnswerBytes int64 `json:"answer_bytes"`
}

// Block maps client addresses to the failure domain that is nearest to them.
type Block struct {
	Prefix string `json:"prefix"`
	Domain string `json:"domain"`
}

// LookUp says how look-ups are answered.
type LookUp struct {
	// TTL is how long a caller may cache an answer.
	TTL Duration `json:"ttl"`
	// Entries is the number of instances named in an answer.
	Entries int `json:"entries"`
}

// Shift bounds how fast traffic moves between failure domains.
type Shift struct {
	// Cap is the largest fraction of a service's traffic that may move in a period.
	Cap    float64  `json:"cap"`
	Period Duration `json:"period"`
	// MinimumRequests may move per instance, home and period even where Cap
	// would allow fewer; it lets very small traffic fail over.
	MinimumRequests int `json:"minimum_requests"`
}

// Retry bounds retries to a fraction of first tries.
type Retry struct {
	Fraction float64 `json:"fraction"`
	Burst    int     `json:"burst"`
	Attempts int     `json:"attempts"`
}

// Recovery says how upstream servers are taken out and brought back.
type Recovery struct {
	// SlowStart is the time in which a cold server is ramped up to all its slots.
	SlowStart Duration `json:"slow_start"`
	// Failures is the number of failures in a row that eject a server.
	Failures int `json:"failures"`
	// Ejection is the first ejection's length; it doubles up to eight times that.
	Ejection Duration `json:"ejection"`
	// MaxEjected is the largest fraction of a service's servers ejected at once.
	MaxEjected float64 `json:"max_ejected"`
}

// OnceOnly bounds the records that keep work from running twice.
type OnceOnly struct {
	// TicketLifetime is how long a ticket issued with a look-up may be used.
	TicketLifetime Duration `json:"ticket_lifetime"`
	// KeyLifetime is how long a caller's own key is remembered in the store.
	KeyLifetime Duration `json:"key_lifetime"`
	// ClaimsPerSecond bounds the store writes that callers' own keys cost one instance.
	ClaimsPerSecond float64 `json:"claims_per_second"`
}

// Change describes one accepted version.
type Change struct {
	Version  int64     `json:"version"`
	ChangeID string    `json:"change_id"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
	// Paths are the JSON Pointers that the change touched.
	Paths []string `json:"paths,omitempty"`
}

// Head is the value under which the store keeps the configuration in force.
type Head struct {
	Change
	Document json.RawMessage `json:"document"`
	// History holds the most recent changes, oldest first.
	History []Change `json:"history,omitempty"`
}
