// Package loader sends work at a steady rate, whether or not earlier requests
// are answered (open loop), and measures latencies from the time at which each
// request was due.
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
	// maxLatency is the largest latency that the histogram holds.
	maxLatency = time.Minute
	// digits is the precision of the histogram in significant decimal digits.
	digits = 3
	// maxInFlight bounds requests under way; more are counted as not sent.
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
	// Tickets fetches a ticket before each request.
	Tickets bool

	mutex  sync.Mutex
	report model.LoadReport
	times  *hdrhistogram.Histogram
}

// Run sends for Duration, waits for the answers and reports.
func (l *Loader) Run(ctx context.Context) (model.LoadReport, error) {
	if l.Rate <= 0 || l.Kind == "" {
		return model.LoadReport{}, errors.New("loader: a kind and a rate above 0 are needed")
	}
	l.times = hdrhistogram.New(1, maxLatency.Microseconds(), digits)
	l.report = model.LoadReport{Kind: l.Kind, Codes: make(map[string]int)}
	interval := time.Duration(float64(time.Second) / l.Rate)
	start := time.Now()
	slots := make(chan struct{}, maxInFlight)
	var group sync.WaitGroup
	for due := start; due.Before(start.Add(l.Duration)) && ctx.Err() == nil; due = due.Add(interval) {
		time.Sleep(time.Until(due))
		select {
		case slots <- struct{}{}:
		default:
			l.count("not_sent", 0, false)
			continue
		}
		group.Go(func() {
			l.one(ctx, due)
			<-slots
		})
	}
	group.Wait()
	return l.finish(), nil
}

func (l *Loader) finish() model.LoadReport {
	quantile := func(q float64) model.Duration {
		return model.Duration{Duration: time.Duration(l.times.ValueAtQuantile(q)) * time.Microsecond}
	}
	l.report.P50 = quantile(50)
	l.report.P99 = quantile(99)
	l.report.Max = quantile(100)
	return l.report
}

func (l *Loader) one(ctx context.Context, due time.Time) {
	code := l.send(ctx)
	l.count(code, time.Since(due), code == string(model.CodeOK))
}

func (l *Loader) send(ctx context.Context) string {
	key, err := l.key(ctx)
	if err != nil {
		return "no_ticket"
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Entry+"/v1/work/"+l.Kind,
		strings.NewReader(l.Body))
	if err != nil {
		return "bad_request"
	}
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

func (l *Loader) key(ctx context.Context) (string, error) {
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

func (l *Loader) count(code string, took time.Duration, answered bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.report.Sent++
	l.report.Codes[code]++
	if !answered {
		return
	}
	l.report.Answered++
	// A latency beyond the histogram's range counts as its largest.
	_ = l.times.RecordValue(min(took, maxLatency).Microseconds())
}
