// Package model holds the plain data that the other packages exchange:
// configuration, requests, membership, digests and time line records.
//
// The structs carry no behaviour beyond their encoding. Names are snake case
// wherever they leave the process; durations are written as Go duration
// strings ("250ms"), byte rates in bytes per second.
//
// Usage:
//
//	var c model.Configuration
//	err := json.Unmarshal(document, &c)
package model
