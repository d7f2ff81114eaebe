// Package forwarder sends requests to upstream servers and reads their responses
// over persistent HTTP/1.1 connections that it manages itself.
//
// Every request is written to one connection at most once: nothing is retried
// here, whatever the method. A response counts only if it is complete and
// carries the request's ID; the response to another request is skipped, and the
// connection that carried it is closed.
//
// Usage:
//
//	f := &forwarder.Forwarder{Codec: codec, Clock: clock.System()}
//	outcome := f.Exchange(ctx, request, send, mayStart)   // cancelling ctx aborts the exchange
//	f.Close()
package forwarder
