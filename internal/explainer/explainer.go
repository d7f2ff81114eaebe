// Package explainer serves explanations of decisions over HTTP: where a request would go now,
// and why. Nothing is sent to a server.
//
// Usage:
//
//	mux.Handle("POST /explain", &explainer.Explainer{Explain: c.Explain})
package explainer

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/yuccathread/yuccathread/internal/interpreter"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

// maxQueryBytes bounds the body of a query.
const maxQueryBytes = 64 << 10

// Explainer is the HTTP handler. Set the fields before the first request.
type Explainer struct {
	Explain func(traffic.Request) traffic.Explanation
}

// Query describes the request to explain.
type Query struct {
	Method string `json:"method"`
	Host   string `json:"host"`
	// Target is the path with the query.
	Target string `json:"target"`
	// Object identifies the object that the request concerns, and Key the caller's
	// organisation. Both may be empty.
	Object string `json:"object"`
	Key    string `json:"key"`
	// LimitMS is how long the caller would wait, in milliseconds, or zero if unknown.
	LimitMS int64 `json:"limit_ms"`
}

// ServeHTTP responds with an explanation as JSON. It responds with 400 to a body that is no
// Query.
func (e *Explainer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var query Query
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxQueryBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&query); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	body, err := json.Marshal(e.Explain(query.request()))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// request returns the request that a query describes.
func (q Query) request() traffic.Request {
	read := interpreter.Interpreter{Target: q.Target, Host: q.Host}
	return traffic.Request{
		Method:     q.Method,
		Host:       q.Host,
		HostName:   read.HostName(),
		Path:       read.Path(),
		OtherPaths: read.OtherPaths(),
		Target:     read.OriginForm(),
		Object:     q.Object,
		Key:        q.Key,
		Limit:      time.Duration(q.LimitMS) * time.Millisecond,
	}
}
