// Package exposer serves a registry of metrics in the Prometheus text format:
// counters, gauges and timers. A timer is shown as a count, quantiles and a sum in
// seconds.
//
// Usage:
//
//	e := &exposer.Exposer{Registry: registry, Prefix: "yuccathread_"}
//	mux.Handle("/metrics", e)
package exposer

import (
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// Exposer is the HTTP handler of the metrics endpoint. Set the fields before the first request.
type Exposer struct {
	Registry metrics.Registry
	Prefix   string
	// Update, if set, is called before each response to update gauges.
	Update func()
}

// ServeHTTP writes all metrics.
func (e *Exposer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if e.Update != nil {
		e.Update()
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	nameReplacer := strings.NewReplacer(".", "_", "-", "_")
	e.Registry.Each(func(name string, metric any) {
		writeMetric(w, e.Prefix+nameReplacer.Replace(name), metric)
	})
}

func writeMetric(w io.Writer, name string, metric any) {
	switch m := metric.(type) {
	case metrics.Counter:
		fmt.Fprintf(w, "%s %d\n", name, m.Count())
	case metrics.Gauge:
		fmt.Fprintf(w, "%s %d\n", name, m.Value())
	case metrics.Timer:
		s := m.Snapshot()
		fmt.Fprintf(w, "%s_count %d\n", name, s.Count())
		for _, q := range []float64{0.5, 0.9, 0.99} {
			fmt.Fprintf(w, "%s_seconds{quantile=\"%g\"} %.6f\n", name, q, s.Percentile(q)/1e9)
		}
		fmt.Fprintf(w, "%s_seconds_sum %.6f\n", name, float64(s.Sum())/1e9)
	}
}
