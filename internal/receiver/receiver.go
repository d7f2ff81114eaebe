// Package receiver is the HTTP surface of an instance on a managed platform:
// requests of callers, look-ups and the readiness check.
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
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/semaphore"

	"github.com/yuccathread/yuccathread/internal/carrier"
	"github.com/yuccathread/yuccathread/internal/clock"
	"github.com/yuccathread/yuccathread/internal/steerer"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

// firstBodyBytes is what a body without a length is given at first.
const firstBodyBytes = 16 << 10

var errBodies = errors.New("receiver: the bodies under way hold too many bytes")

// Receiver answers HTTP requests. Set the fields before the first request.
type Receiver struct {
	Carrier  *carrier.Carrier
	Codec    traffic.Codec
	Clock    clock.Clock
	Registry metrics.Registry
	// MaxBodyBytes bounds one request's body where the policy in force does not;
	// Bodies those of all together.
	MaxBodyBytes int64
	Bodies       *semaphore.Weighted
	// Stopping makes every answer the last on its connection.
	Stopping atomic.Bool
}

// Serve carries a caller's request to a server.
func (r *Receiver) Serve(w http.ResponseWriter, q *http.Request) {
	read := r.Clock.Now()
	if r.Stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	request := r.Codec.Request(q)
	body, err := r.readBody(w, q, r.bodyLimit())
	defer r.Bodies.Release(int64(cap(body)))
	if err != nil {
		r.refuseBody(w, err)
		return
	}
	request.Body = body
	switch e := r.Carrier.Carry(q.Context(), request, read).(type) {
	case traffic.Deliver:
		r.deliver(w, e.Reply)
	case traffic.Answer:
		r.refuse(w, e)
	}
	r.timer("request").UpdateSince(read)
}

func (r *Receiver) timer(name string) metrics.Timer {
	return metrics.GetOrRegisterTimer(name, r.Registry)
}

func (r *Receiver) count(name string) {
	metrics.GetOrRegisterCounter(name, r.Registry).Inc(1)
}

// bodyLimit returns the bound on one body.
func (r *Receiver) bodyLimit() int64 {
	limit := int64(0)
	r.Carrier.View(func(s *steerer.Steerer) { limit = s.Limits().BodyBytes })
	if limit > 0 {
		return limit
	}
	return r.MaxBodyBytes
}

// readBody reads a whole body of up to limit bytes. What it returns is taken from the bytes that all
// bodies together may hold, in steps as a body without a length grows.
func (r *Receiver) readBody(w http.ResponseWriter, q *http.Request, limit int64) ([]byte, error) {
	if q.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	reader := http.MaxBytesReader(w, q.Body, limit)
	size := q.ContentLength
	if size < 0 {
		size = firstBodyBytes
	}
	if !r.Bodies.TryAcquire(size) {
		return nil, errBodies
	}
	body := make([]byte, 0, size)
	for {
		if len(body) == cap(body) && q.ContentLength >= 0 {
			return body, nil
		}
		if len(body) == cap(body) {
			if !r.Bodies.TryAcquire(int64(cap(body))) {
				return body, errBodies
			}
			body = append(make([]byte, 0, 2*cap(body)), body...)
		}
		n, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
}

// refuseBody answers a request whose body did not come whole.
func (r *Receiver) refuseBody(w http.ResponseWriter, err error) {
	var large *http.MaxBytesError
	switch {
	case errors.Is(err, errBodies):
		r.refuse(w, traffic.Answer{Reason: traffic.Overloaded, Fate: traffic.NotRun, RetryAfter: time.Second})
	case errors.As(err, &large):
		r.refuse(w, traffic.Answer{Reason: traffic.TooLarge, Fate: traffic.NotRun})
	default:
		r.refuse(w, traffic.Answer{Reason: traffic.BadRequest, Fate: traffic.NotRun})
	}
}

func (r *Receiver) deliver(w http.ResponseWriter, reply traffic.Reply) {
	header := w.Header()
	for name, values := range reply.Header {
		header[name] = values
	}
	// Without a type of its own an answer is not given one.
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil
	}
	if reply.Status != http.StatusNoContent && reply.Status != http.StatusNotModified {
		header.Set("Content-Length", strconv.Itoa(len(reply.Body)))
	}
	w.WriteHeader(reply.Status)
	// A caller that has gone while its answer was written is not told of it.
	_, _ = w.Write(reply.Body)
	r.count("answers.delivered." + strconv.Itoa(reply.Status))
}

// statuses are the HTTP statuses of an instance's own answers.
var statuses = map[traffic.Refusal]int{
	traffic.NoRoute:    http.StatusNotFound,
	traffic.TooLarge:   http.StatusRequestEntityTooLarge,
	traffic.BadRequest: http.StatusBadRequest,
}

func (r *Receiver) refuse(w http.ResponseWriter, a traffic.Answer) {
	status, ok := statuses[a.Reason]
	switch {
	case ok:
	case a.Fate == traffic.NotRun:
		status = http.StatusServiceUnavailable
	case a.Reason == traffic.TooLate:
		status = http.StatusGatewayTimeout
	default:
		status = http.StatusBadGateway
	}
	if a.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64))
	}
	r.count("answers.own." + string(a.Reason))
	http.Error(w, string(a.Reason), status)
}

// LookUp names the instances that a caller should use.
func (r *Receiver) LookUp(w http.ResponseWriter, q *http.Request) {
	informed := false
	r.Carrier.View(func(s *steerer.Steerer) { informed = s.Informed() })
	if !informed {
		http.Error(w, "starting", http.StatusServiceUnavailable)
		return
	}
	body, err := r.Codec.Named(r.Carrier.Look(r.Codec.Query(q)))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	r.count("lookups")
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// Ready answers 200 while this instance takes new callers.
func (r *Receiver) Ready(w http.ResponseWriter, _ *http.Request) {
	ready := false
	r.Carrier.View(func(s *steerer.Steerer) { ready = s.Ready() })
	if !ready {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
