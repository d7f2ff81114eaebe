//go:build review

// The command rig plays the cases of this review that are scripts. It runs the project's
// program as separate processes, as the deploy file does, between stand-ins of the
// platform's store, of the upstream servers and of the clients.
//
// Usage:
//
//	rig -case NAME -program target/yuccathread -record FILE
//
// The environment variable TROUBLE=0 leaves out the disruption, MEMORY_MB is the memory limit
// of an instance in place of 284, and DOSE multiplies the number of clients that read slowly
// or leave. The exit code is 1 if the
// rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const host = "ficu95.example"

// zones maps each zone to its region.
var zones = map[string]string{"gent-a": "flanders", "gent-b": "flanders"}

// rig is one run of a case.
type rig struct {
	program, folder, storeAddress string
	// trouble is set unless the disruption is left out.
	trouble bool
	// memoryMB is the memory limit of an instance, and dose multiplies the number of clients
	// that cause the disruption.
	memoryMB, dose int
	started        time.Time
	store          *store
	fleet          *fleet
	instances      []*instance

	mutex    sync.Mutex
	record   *os.File
	stopping bool
}

// cases maps names to cases. A case returns true if the rule was broken.
var cases = map[string]func(*rig) (broken bool, err error){}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/yuccathread", "program of the project")
	record := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	os.Exit(play(*name, *program, *record))
}

// numberFrom returns a number from the environment, or a default.
func numberFrom(variable string, usual int) int {
	text := os.Getenv(variable)
	if text == "" {
		return usual
	}
	n, err := strconv.Atoi(text)
	must(err)
	return n
}

func play(name, program, record string) (code int) {
	const limit = 110 * time.Second
	played := cases[name]
	if played == nil {
		fmt.Fprintf(os.Stderr, "rig: no case %q\n", name)
		return 2
	}
	r := &rig{program: program, trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), store: newStore()}
	r.memoryMB, r.dose = numberFrom("MEMORY_MB", defaultMemoryMB), numberFrom("DOSE", 1)
	r.fleet = &fleet{rig: r, runs: map[string][]run{}}
	var err error
	r.record, err = os.Create(record)
	must(err)
	defer r.record.Close()
	r.folder, err = os.MkdirTemp("", "rig")
	must(err)
	defer os.RemoveAll(r.folder)
	defer r.stop()
	defer func() {
		if failure := recover(); failure != nil {
			r.logf("the case could not run: %v", failure)
			code = 2
		}
	}()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	r.storeAddress = listener.Addr().String()
	go http.Serve(listener, r.store.handler())
	ended := make(chan struct{})
	defer close(ended)
	go r.store.expire(ended)
	r.logf("case %s, with the disruption: %v", name, r.trouble)
	result := make(chan int, 1)
	go func() { result <- r.playCase(played) }()
	select {
	case code = <-result:
	case <-time.After(limit):
		r.logf("the case has not ended within %v", limit)
		code = 2
	}
	fmt.Printf("%s: exit code %d\n", name, code)
	return code
}

func (r *rig) playCase(played func(*rig) (bool, error)) (code int) {
	defer func() {
		if failure := recover(); failure != nil {
			r.logf("the case could not run: %v", failure)
			code = 2
		}
	}()
	broken, err := played(r)
	switch {
	case err != nil:
		r.logf("the case could not run: %v", err)
		return 2
	case broken:
		r.logf("result: the rule was broken")
		return 1
	}
	r.logf("result: the rule held")
	return 0
}

// logf writes a line to the record.
func (r *rig) logf(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.record, "%9.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
}

func (r *rig) isStopping() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.stopping
}

// stop ends all processes that this run has started.
func (r *rig) stop() {
	r.mutex.Lock()
	r.stopping = true
	r.mutex.Unlock()
	for _, i := range r.instances {
		if i.process == nil {
			continue
		}
		i.signal(syscall.SIGCONT)
		i.signal(syscall.SIGKILL)
		i.waitEnded(5 * time.Second)
	}
}

// startInstances starts instances and waits until all are ready.
func (r *rig) startInstances(names ...string) error {
	for n, name := range names {
		r.newInstance(name, []string{"gent-a", "gent-b"}[n%2]).start()
	}
	for _, i := range r.instances {
		if !i.waitReady() {
			return fmt.Errorf("%s is not ready", i.name)
		}
	}
	return nil
}

// route returns a route of the configuration.
func route(prefix, kind, service string, timeout time.Duration) map[string]any {
	return map[string]any{
		"host": host, "prefix": prefix, "kind": kind, "timeout": fmt.Sprintf("%dms", timeout.Milliseconds()),
		"target_latency": "1500ms", "priority": 0, "service": service, "max_attempts": 2, "sticky": false, "home_regions": []string{},
	}
}

// configure writes a version of the configuration.
func (r *rig) configure(version int, routes map[string]any, services ...string) {
	all := map[string]any{}
	for _, service := range services {
		all[service] = map[string]any{
			"health_path": "/health", "max_conns": 330, "protocol": "h1", "tls": false, "cold_start": "3s", "cold_per_s": 19.0,
		}
	}
	r.store.put("op/config", map[string]any{
		"version": version, "base_version": version - 1, "routes": routes, "services": all,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms",
		},
	})
	r.logf("configuration %d acknowledged", version)
}
