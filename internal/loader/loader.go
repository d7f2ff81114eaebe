// Package loader is an open-loop load generator: it sends work at a constant
// rate, whether or not earlier requests have been answered, and measures each
// latency from the time at which the request was due.
//
// Usage:
//
//	l := loader.Loader{HTTP: client, Entry: "127.0.0.1:8080", Kind: "stock", Rate: 100, Duration: time.Second}
//	report, err := l.Run(ctx)
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

// Loader sends one kind of work. Set the fields before Run.
type Loader struct {
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
func (l *Loader) Run(ctx context.Context) (model.LoadReport, error) {
	if l.Rate <= 0 || l.Kind == "" {
		return model.LoadReport{}, errors.New("loader: a kind and a rate above 0 are required")
	}
	l.latencies = hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
	l.report = model.LoadReport{Kind: l.Kind, Codes: make(map[string]int)}
	interval := time.Duration(float64(time.Second) / l.Rate)
	start := time.Now()
	inFlight := make(chan struct{}, maxInFlight)
	var group sync.WaitGroup
	for due := start; due.Before(start.Add(l.Duration)) && ctx.Err() == nil; due = due.Add(interval) {
		time.Sleep(time.Until(due))
		select {
		case inFlight <- struct{}{}:
		default:
			l.record("not_sent", 0, false)
			continue
		}
		group.Go(func() {
			l.sendAndRecord(ctx, due)
			<-inFlight
		})
	}
	group.Wait()
	return l.finishReport(), nil
}

func (l *Loader) finishReport() model.LoadReport {
	percentile := func(q float64) model.Duration {
		return model.Duration{Duration: time.Duration(l.latencies.ValueAtQuantile(q)) * time.Microsecond}
	}
	l.report.P50 = percentile(50)
	l.report.P99 = percentile(99)
	l.report.Max = percentile(100)
	return l.report
}

func (l *Loader) sendAndRecord(ctx context.Context, due time.Time) {
	code := l.send(ctx)
	l.record(code, time.Since(due), code == string(model.CodeOK))
}

func (l *Loader) send(ctx context.Context) string {
	key, err := l.idempotencyKey(ctx)
	if err != nil {
		return "no_ticket"
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Entry+"/v1/work/"+l.Kind,
		strings.NewReader(l.Body))
	if err != nil {
		return "bad_request"
	}
	// Without GetBody, the HTTP client cannot replay a body and send the work twice
	// on its own. It can still replay a request with a key and an empty body.
	request.GetBody = nil
	if key != "" {
		request.Header.Set(model.HeaderKey, key)
	}
	if l.Deadline > 0 {
		request.Header.Set(model.HeaderDeadlineMS, strconv.FormatInt(l.Deadline.Milliseconds(), 10))
	}
	response, err := l.HTTP.Do(request)
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

func (l *Loader) idempotencyKey(ctx context.Context) (string, error) {
	if !l.Tickets {
		return "", nil
	}
	client, err := api.NewClient("http://"+l.Entry, api.WithClient(l.HTTP))
	if err != nil {
		return "", fmt.Errorf("loader: %w", err)
	}
	ticket, err := client.IssueTicket(ctx)
	if err != nil {
		return "", fmt.Errorf("loader: %w", err)
	}
	return ticket.Ticket, nil
}

func (l *Loader) record(code string, latency time.Duration, succeeded bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.report.Sent++
	l.report.Codes[code]++
	if !succeeded {
		return
	}
	l.report.Answered++
	// A latency above maxLatency is recorded as maxLatency.
	_ = l.latencies.RecordValue(min(latency, maxLatency).Microseconds())
}
