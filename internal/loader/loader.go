// Package loader is an open-loop load generator: it sends work at a constant
// rate, whether or not earlier requests have been answered, and measures each
// latency from the time at which the request was due.
//
// Usage:
//
//	g := loader.Generator{HTTP: client, Entry: "127.0.0.1:8080", Kind: "stock", Rate: 100, Duration: time.Second}
//	report, err := g.Run(ctx)
package loader

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/yuccathread/yuccathread/internal/api"
	"github.com/yuccathread/yuccathread/internal/model"
)

const (
	// maxLatency is the largest latency that the histogram records.
	maxLatency = time.Minute
	// significantDigits is the precision of the histogram, in decimal digits.
	significantDigits = 3
	// maxInFlight limits the requests in flight. A request that becomes due while
	// the limit is reached is counted as not_sent.
	maxInFlight = 20_000
)

// Generator sends one kind of work. Set the fields before Run.
type Generator struct {
	HTTP     *http.Client
	Entry    string
	Kind     string
	Body     string
	Rate     float64
	Duration time.Duration
	Deadline time.Duration
	// Tickets makes each request get a ticket first, as its idempotency key.
	Tickets bool

	mutex     sync.Mutex
	report    model.LoadReport
	latencies *hdrhistogram.Histogram
}

// Run sends requests for Duration, waits for their answers and returns the
// report.
func (g *Generator) Run(ctx context.Context) (model.LoadReport, error) {
	if g.Rate <= 0 || g.Kind == "" {
		return model.LoadReport{}, errors.New("loader: a kind and a rate above 0 are required")
	}
	g.latencies = hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
	g.report = model.LoadReport{Kind: g.Kind, Codes: make(map[string]int)}
	interval := time.Duration(float64(time.Second) / g.Rate)
	start := time.Now()
	inFlight := make(chan struct{}, maxInFlight)
	var group sync.WaitGroup
	for due := start; due.Before(start.Add(g.Duration)) && ctx.Err() == nil; due = due.Add(interval) {
		time.Sleep(time.Until(due))
		select {
		case inFlight <- struct{}{}:
		default:
			g.record("not_sent", 0, false)
			continue
		}
		group.Go(func() {
			g.sendAndRecord(ctx, due)
			<-inFlight
		})
	}
	group.Wait()
	return g.finishReport(), nil
}

func (g *Generator) finishReport() model.LoadReport {
	percentile := func(q float64) model.Duration {
		return model.Duration{Duration: time.Duration(g.latencies.ValueAtQuantile(q)) * time.Microsecond}
	}
	g.report.P50 = percentile(50)
	g.report.P99 = percentile(99)
	g.report.Max = percentile(100)
	return g.report
}

func (g *Generator) sendAndRecord(ctx context.Context, due time.Time) {
	code := g.send(ctx)
	g.record(code, time.Since(due), code == string(model.CodeOK))
}

func (g *Generator) send(ctx context.Context) string {
	key, err := g.idempotencyKey(ctx)
	if err != nil {
		return "no_ticket"
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.Entry+"/v1/work/"+g.Kind,
		strings.NewReader(g.Body))
	if err != nil {
		return "bad_request"
	}
	// Without GetBody, the HTTP client cannot replay a body and send the work twice
	// on its own. It can still replay a request with a key and an empty body.
	request.GetBody = nil
	if key != "" {
		request.Header.Set(model.HeaderKey, key)
	}
	if g.Deadline > 0 {
		request.Header.Set(model.HeaderDeadlineMS, strconv.FormatInt(g.Deadline.Milliseconds(), 10))
	}
	response, err := g.HTTP.Do(request)
	if err != nil {
		return "no_answer"
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return "cut_off"
	}
	if code := response.Header.Get(model.HeaderCode); code != "" {
		return code
	}
	return strconv.Itoa(response.StatusCode)
}

func (g *Generator) idempotencyKey(ctx context.Context) (string, error) {
	if !g.Tickets {
		return "", nil
	}
	client, err := api.NewClient("http://"+g.Entry, api.WithClient(g.HTTP))
	if err != nil {
		return "", fmt.Errorf("loader: %w", err)
	}
	ticket, err := client.IssueTicket(ctx)
	if err != nil {
		return "", fmt.Errorf("loader: %w", err)
	}
	return ticket.Ticket, nil
}

func (g *Generator) record(code string, latency time.Duration, succeeded bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.report.Sent++
	g.report.Codes[code]++
	if !succeeded {
		return
	}
	g.report.Answered++
	// A latency above maxLatency is recorded as maxLatency.
	_ = g.latencies.RecordValue(min(latency, maxLatency).Microseconds())
}
