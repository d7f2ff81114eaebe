// Package model holds the plain data that the other packages exchange:
// configuration, requests, membership, digests and timeline records.
//
// The structs have no behaviour beyond encoding and formatting. JSON names are in
// snake case. Durations are written as Go duration strings ("250ms"), byte rates in
// bytes per second.
//
// Usage:
//
//	var c model.Configuration
//	err := json.Unmarshal(document, &c)
package model
