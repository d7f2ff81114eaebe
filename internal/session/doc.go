// Package session contains only tests. They simulate a fleet of instances, each
// with its own reducer, under a virtual clock and against fakes of the store,
// the platform's list, the network links and the upstreams. Some compare the
// timeline with golden files; others cover failures, overload and random
// sequences of faults.
//
// Usage:
//
//	go test ./internal/session                  # all simulations
//	go test ./internal/session -update          # rewrite the golden files
//	go test ./internal/session -run Flood -v    # print the overload tables
package session
