package model

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// LoadReport is the result of a load test.
type LoadReport struct {
	Kind     string         `json:"kind"`
	Sent     int            `json:"sent"`
	Answered int            `json:"answered"`
	Codes    map[string]int `json:"codes"`
	// Latencies of the requests that were answered with code ok, measured from
	// the time at which each request was due to be sent.
	P50 Duration `json:"p50"`
	P99 Duration `json:"p99"`
	Max Duration `json:"max"`
}

// String formats the report as human-readable text.
func (r LoadReport) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: sent %d, answered %d, p50 %s, p99 %s, max %s\n",
		r.Kind, r.Sent, r.Answered, r.P50, r.P99, r.Max)
	for _, code := range slices.Sorted(maps.Keys(r.Codes)) {
		fmt.Fprintf(&b, "  %-20s %d\n", code, r.Codes[code])
	}
	return b.String()
}
