// Package e2e contains only tests. They run yuccathread, yuccactl and the
// stand-ins for the platform and the upstreams as separate processes on loopback
// addresses, kill and stop them and inject faults.
//
// Usage:
//
//	go test ./internal/e2e
package e2e
