// Package session holds no code of the product. Its tests run whole sessions
// of many reducers under a virtual clock, against small fakes of the store,
// the list, the links and the upstreams: golden files, failures, floods and
// random orders of events.
//
// Usage:
//
//	go test ./internal/session                  # all sessions
//	go test ./internal/session -update          # rewrite the golden files
//	go test ./internal/session -run Flood -v    # print the tables of the floods
package session
