// Package receiver implements the HTTP handlers of an instance on a managed
// platform: caller requests, look-ups and the readiness check.
//
// Usage:
//
//	r := &receiver.Receiver{Carrier: c, Codec: codec, Clock: clock.System(), Registry: registry}
//	server := &http.Server{Handler: http.HandlerFunc(r.Serve)}
//	mux.HandleFunc("GET /look-up", r.LookUp)
//	mux.HandleFunc("GET /ready", r.Ready)
package receiver

import (
	"errors"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/yuccathread/yuccathread/internal/carrier"
	"github.com/yuccathread/yuccathread/internal/clock"
	"github.com/yuccathread/yuccathread/internal/collector"
	"github.com/yuccathread/yuccathread/internal/steerer"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

const (
	// SmallBodyBytes is the part of a request's body for which each request in progress has
	// borrowed the memory.
	SmallBodyBytes = 16 << 10
	// requestBytes is what each request in progress needs at least: the head and the buffers
	// of its connections, a small body, and the part of a response that is written at a time.
	requestBytes = 16<<10 + SmallBodyBytes + ResponseBytes
	// memoryRetryAfter is the mean Retry-After delay of requests for which there is no memory.
	// Callers that are refused together come back over twice this time.
	memoryRetryAfter = time.Second
)

// Receiver answers HTTP requests. Set the fields before the first request.
type Receiver struct {
	Carrier  *carrier.Carrier
	Codec    traffic.Codec
	Clock    clock.Clock
	Registry metrics.Registry
	// MaxBodyBytes limits the body of one request where the current policy sets no
	// limit.
	MaxBodyBytes int64
	// IdleTimeout bounds the time in which a caller must take a part of a large response,
	// where the current policy sets no bound.
	IdleTimeout time.Duration
	// Bodies reads the bodies of requests. Its Accountant lends each request in progress
	// what it needs at least.
	Bodies *collector.Collector
	// Stopping makes every response close its connection.
	Stopping atomic.Bool
}

// Serve forwards a caller's request to an upstream server and writes the response.
func (r *Receiver) Serve(w http.ResponseWriter, req *http.Request) {
	defer r.logPanic(req)
	defer track(req.Context())()
	receivedAt := r.Clock.Now()
	request := r.Codec.DecodeRequest(req)
	limit, rank, due := r.terms(request)
	needed := traffic.Loan{Holder: traffic.RequestMemory, Rank: rank, Bytes: requestBytes}
	if !r.Bodies.Accountant.Borrow(needed) {
		r.refuseUnread(w, request, collector.ErrMemory)
		return
	}
	defer r.Bodies.Accountant.Return(needed)
	loan := traffic.Loan{Holder: traffic.BodyMemory, Rank: rank}
	if due > 0 {
		r.setBodyDeadline(req, receivedAt.Add(due))
	}
	body, err := r.readBody(w, req, limit, loan)
	r.setBodyDeadline(req, time.Time{})
	if err != nil {
		r.Bodies.Release(body, loan)
		r.refuseUnread(w, request, err)
		return
	}
	if callerLeft(req.Context()) {
		r.Bodies.Release(body, loan)
		r.abandon("callers.left_unread")
	}
	request.Body = body
	// A server may be at work at the request after its caller has left.
	ended := func() { r.Bodies.Release(body, loan) }
	switch e := r.Carrier.Serve(req.Context(), request, receivedAt, ended).(type) {
	case traffic.Deliver:
		r.deliver(w, req, e.Reply)
	case traffic.Refuse:
		if e.Reason == traffic.Misdirected {
			maps.Copy(w.Header(), r.Codec.MisdirectedHeader(request))
		}
		r.refuse(w, e)
	default:
		r.abandon("callers.left")
	}
	r.timer("request").UpdateSince(receivedAt)
}

// logPanic logs a panic of a handler, which closes its connection and no other.
func (r *Receiver) logPanic(req *http.Request) {
	failure := recover()
	if failure == nil {
		return
	}
	if err, ok := failure.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		r.Carrier.RecordPanic("panic in a request", failure, slog.String("host", req.Host), slog.String("path", req.URL.Path))
	}
	panic(http.ErrAbortHandler)
}

// abandon closes the connection of a caller that has left, and counts it. A return without
// a response would send an empty success to a caller that has only closed its sending
// side.
func (r *Receiver) abandon(counter string) {
	r.count(counter)
	panic(http.ErrAbortHandler)
}

func (r *Receiver) timer(name string) metrics.Timer {
	return metrics.GetOrRegisterTimer(name, r.Registry)
}

func (r *Receiver) count(name string) {
	metrics.GetOrRegisterCounter(name, r.Registry).Inc(1)
}

// terms returns the maximum size of a request's body, the rank of the request, and the time in
// which it must be whole. A caller without a route may take the idle timeout.
func (r *Receiver) terms(request traffic.Request) (limit int64, rank int, due time.Duration) {
	limit, due = r.MaxBodyBytes, r.IdleTimeout
	r.Carrier.View(func(s *steerer.Steerer) {
		limits := s.Limits()
		if limits.BodyBytes > 0 {
			limit = limits.BodyBytes
		}
		if limits.IdleTimeout > 0 {
			due = limits.IdleTimeout
		}
		if answered := s.AnswerLimit(request); answered > 0 {
			due = answered
		}
		rank = s.Rank(request)
	})
	return limit, rank, due
}

// setBodyDeadline bounds the time in which the body of a request must arrive.
func (r *Receiver) setBodyDeadline(req *http.Request, deadline time.Time) {
	if conn, ok := req.Context().Value(connectionKey{}).(net.Conn); ok && req.ContentLength != 0 {
		// It fails only on a connection that has been closed, on which reading fails as well.
		_ = conn.SetReadDeadline(deadline)
	}
}

// readBody reads a complete body of at most limit bytes. The caller must release it,
// also after an error.
func (r *Receiver) readBody(w http.ResponseWriter, req *http.Request, limit int64, loan traffic.Loan) ([]byte, error) {
	if req.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	return r.Bodies.Read(http.MaxBytesReader(w, req.Body, limit), req.ContentLength, loan)
}

// refuseUnread answers a request that could not be read in full.
func (r *Receiver) refuseUnread(w http.ResponseWriter, request traffic.Request, err error) {
	refusal := traffic.Refuse{Reason: traffic.BadRequest, Fate: traffic.NotRun}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, collector.ErrMemory):
		refusal.Reason = traffic.NoMemory
		refusal.RetryAfter = memoryRetryAfter/2 + rand.N(memoryRetryAfter)
	case errors.As(err, &tooLarge):
		refusal.Reason = traffic.TooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		refusal.Reason = traffic.SlowRequest
	}
	r.Carrier.Record(traffic.Record{
		Level:   slog.LevelWarn,
		Message: "request refused",
		Attributes: []slog.Attr{
			slog.String("request", request.ID), slog.String("host", request.Host), slog.String("path", request.Path),
			slog.String("reason", string(refusal.Reason)), slog.String("fate", string(refusal.Fate)),
			slog.Float64("retry_after_ms", traffic.Milliseconds(refusal.RetryAfter)), slog.String("error", err.Error()),
		},
	})
	r.refuse(w, refusal)
}

// closeIfNotKept makes a response close its connection if this instance stops, also one to a
// request that was read before, or if connections hold too much memory.
func (r *Receiver) closeIfNotKept(header http.Header) {
	if r.Stopping.Load() || !r.Bodies.Accountant.KeepsConnections() {
		header.Set("Connection", "close")
	}
}

// refusalStatuses holds the HTTP statuses of those reasons that always have the same one. For all
// other reasons refuse derives the status from the reason and the fate of the request.
var refusalStatuses = map[traffic.Refusal]int{
	traffic.NoRoute:      http.StatusNotFound,
	traffic.Unidentified: http.StatusUnauthorized,
	traffic.OverQuota:    http.StatusTooManyRequests,
	traffic.TooLarge:     http.StatusRequestEntityTooLarge,
	traffic.BadRequest:   http.StatusBadRequest,
	traffic.SlowRequest:  http.StatusRequestTimeout,
	traffic.Misdirected:  http.StatusMisdirectedRequest,
}

func (r *Receiver) refuse(w http.ResponseWriter, refusal traffic.Refuse) {
	status, ok := refusalStatuses[refusal.Reason]
	switch {
	case ok:
	case refusal.Fate == traffic.NotRun:
		status = http.StatusServiceUnavailable
	case refusal.Reason == traffic.TooLate:
		status = http.StatusGatewayTimeout
	default:
		status = http.StatusBadGateway
	}
	if refusal.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 3, 64))
	}
	r.closeIfNotKept(w.Header())
	if refusal.Reason == traffic.SlowRequest {
		w.Header().Set("Connection", "close")
	}
	r.count("answers.own." + string(refusal.Reason))
	http.Error(w, string(refusal.Reason), status)
}

// LookUp responds with the addresses of the instances that a caller should use.
func (r *Receiver) LookUp(w http.ResponseWriter, req *http.Request) {
	synced := false
	r.Carrier.View(func(s *steerer.Steerer) { synced = s.Synced() })
	if !synced {
		http.Error(w, "starting", http.StatusServiceUnavailable)
		return
	}
	body, err := r.Codec.EncodeLookUp(r.Carrier.LookUp(r.Codec.DecodeQuery(req)))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	r.count("lookups")
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// Ready responds with 200 while this instance accepts new callers.
func (r *Receiver) Ready(w http.ResponseWriter, _ *http.Request) {
	ready := false
	r.Carrier.View(func(s *steerer.Steerer) { ready = s.Ready() })
	if !ready {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
