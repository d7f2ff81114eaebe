// Package forwarder exchanges requests with upstream servers over kept
// HTTP/1.1 connections that it alone opens, writes and reads.
//
// Every request is written to one connection at most once: nothing is repeated
// here, whatever the method. An answer counts only when it is whole and names
// the request; bytes that belong to another request are skipped, and the
// connection that carried them is closed.
//
// Usage:
//
//	f := &forwarder.Forwarder{Codec: codec, Clock: clock.System()}
//	outcome := f.Exchange(ctx, request, send)   // ctx ends: the exchange is cut off
//	f.Close()
package forwarder
