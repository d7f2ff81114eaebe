//go:build review

// Command review-rig2 plays the cases 6 to 10 of the second review: it starts instances of the
// project as processes, and stand-ins of the platform's store, servers and clients in itself.
//
// Usage, from the repository's root:
//
//	target/review-rig2 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With
// TROUBLE=0 it leaves out the disruption.
package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	host       = "shop.example"
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// limit ends a case that hangs.
	limit = 110 * time.Second
)

// started holds the processes to end, and folder their files.
var (
	started []*instance
	folder  string
)

func cannotRun(err error) {
	fmt.Fprintln(os.Stderr, "review-rig2:", err)
	finish(exitNotRun)
}

// finish ends all processes and exits.
func finish(code int) {
	for _, i := range started {
		i.kill()
	}
	if folder != "" {
		if os.Getenv("KEEP") == "" {
			os.RemoveAll(folder)
		} else {
			fmt.Println(folder)
		}
	}
	os.Exit(code)
}

// record is the list of what was sent, answered and run.
type record struct {
	mutex  sync.Mutex
	file   io.Writer
	start  time.Time
	runs   map[string][]run
	number int
	// quiet leaves out what single requests do.
	quiet atomic.Bool
}

type run struct {
	server string
	at     time.Time
}

func (r *record) note(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...))
}

func (r *record) ran(id, server string, at time.Time) {
	r.mutex.Lock()
	r.runs[id] = append(r.runs[id], run{server, at})
	r.mutex.Unlock()
	if !r.quiet.Load() {
		r.note("server %s runs %s", server, id)
	}
}

// at returns a moment as it stands in the record.
func (r *record) at(t time.Time) string {
	return fmt.Sprintf("%.3f", t.Sub(r.start).Seconds())
}

func (r *record) newID() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.number++
	return fmt.Sprintf("%016x", 0x5000+r.number)
}

// answer is what a client got.
type answer struct {
	id     string
	status int
	body   string
	err    error
}

// ask sends one request on a connection of its own and notes what came back.
func (r *record) ask(i *instance, method, path string, deadline time.Duration, body string, headers http.Header) answer {
	a := answer{id: r.newID()}
	request, err := http.NewRequest(method, "http://"+i.front+path, strings.NewReader(body))
	if err != nil {
		cannotRun(err)
	}
	for name, values := range headers {
		request.Header[name] = values
	}
	request.Host = host
	request.Header.Set("Yuccathread-Request-Id", a.id)
	request.Header.Set("Yuccathread-Request-Deadline", strconv.FormatInt(deadline.Milliseconds(), 10))
	client := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	if !r.quiet.Load() {
		r.note("client sends %s %s %s", a.id, method, path)
	}
	response, err := client.Do(request)
	if err == nil {
		var content []byte
		content, err = io.ReadAll(response.Body)
		response.Body.Close()
		a.status, a.body = response.StatusCode, string(content)
	}
	a.err = err
	switch {
	case r.quiet.Load():
	case err != nil:
		r.note("client gets no answer to %s: %v", a.id, err)
	default:
		r.note("client gets %d for %s", a.status, a.id)
	}
	return a
}

func route(kind, prefix, service string, timeout string, priority int) map[string]any {
	return map[string]any{
		"host": host, "prefix": prefix, "kind": kind, "timeout": timeout, "target_latency": "600ms", "priority": priority,
		"service": service, "max_attempts": 2, "sticky": true, "home_regions": []string{},
	}
}

// configuration is a valid configuration of the operator.
func configuration(version, headerBytes int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": map[string]any{
			"stock-peek": route("safe", "/stock/", "voorraad", "2500ms", 1),
			"part-order": route("unsafe", "/order/", "bestel", "2000ms", 1),
		},
		"services": map[string]any{
			"voorraad": map[string]any{"health_path": "/health", "max_conns": 330, "cold_start": "3s", "cold_per_s": 8.8},
			"bestel":   map[string]any{"health_path": "/health", "max_conns": 330, "cold_start": "3s", "cold_per_s": 8.8},
		},
		"limits": map[string]any{
			"max_header_bytes": headerBytes, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms",
		},
	}
}

// world is what most cases start with.
type world struct {
	*record
	store   *store
	trouble bool
	// beforeDrain, if set, is called a second before the server drains.
	beforeDrain func(leaves *server)
}

func (w *world) server(id, service string, slots int, work time.Duration) *server {
	return &server{id: id, service: service, zone: "gent-a", slots: slots, work: work, store: w.store, record: w.record}
}

var cases = map[string]func(*world) int{
	"paths":   paths,
	"entry":   oddEntry,
	"late":    lateReport,
	"heads":   heads,
	"headers": headers,
	"objects": objects,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-rig2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		cannotRun(err)
	}
	folder, err = os.MkdirTemp("", "review-rig2-")
	if err != nil {
		cannotRun(err)
	}
	time.AfterFunc(limit, func() { cannotRun(fmt.Errorf("no end after %v", limit)) })
	w := &world{
		record:  &record{file: file, start: time.Now(), runs: map[string][]run{}},
		store:   startStore(),
		trouble: os.Getenv("TROUBLE") != "0",
	}
	code := cases[os.Args[1]](w)
	w.note("exit %d", code)
	finish(code)
}
