// Package e2e holds no code of the product. Its tests run the two programs and
// the stand-ins as separate processes on loopback addresses, and kill, stop
// and break them.
//
// Usage:
//
//	go test ./internal/e2e
package e2e
