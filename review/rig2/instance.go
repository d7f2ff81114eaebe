//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// instance is a process of the project.
type instance struct {
	front, ready, directory string
	name                    string
	memoryMB                int64
	// peak is the highest memory seen, and killed says that it was too much.
	peak    atomic.Int64
	killed  atomic.Bool
	command *exec.Cmd
	ended   chan struct{}
}

// freeAddress returns a loopback address that was free a moment ago.
func freeAddress() string {
	l := listen()
	defer l.Close()
	return l.Addr().String()
}

// startInstance starts a process with the command of the deploy file and the settings of
// platform/settings.jsonc, filled in for the Verhaegen site.
func startInstance(folder, name, zone string, s *store, memoryMB int64) *instance {
	i := &instance{name: name, front: freeAddress(), ready: freeAddress(), directory: freeAddress(), memoryMB: memoryMB, ended: make(chan struct{})}
	settings := map[string]any{
		"instance": name, "failure_domain": zone, "region": "flanders",
		"caller_address": i.front, "ready_address": i.ready, "look_up_address": i.directory,
		"metrics_address": freeAddress(), "peer_address": freeAddress(), "store_address": s.address,
		"failure_domains": map[string]string{"gent-a": "flanders", "gent-b": "flanders"},
		"processor_share": 0.32, "link_mbps": 1000.0, "memory_mb": memoryMB, "max_descriptors": 4100,
		"bounds": map[string]any{
			"apply": "2500ms", "drain": "2500ms", "evacuation": "5000ms", "reconnect": "4000ms", "grace": "6s",
			"retry_ratio": 0.2, "retry_slack": 58, "cold_factor": 1.5, "cold_slack": 5, "shift_cap": 0.15, "look_up_lifetime": "5s",
		},
	}
	encoded, err := json.Marshal(settings)
	if err != nil {
		cannotRun(err)
	}
	file := filepath.Join(folder, name+".jsonc")
	if err := os.WriteFile(file, encoded, 0o600); err != nil {
		cannotRun(err)
	}
	log, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		cannotRun(err)
	}
	i.command = exec.Command("target/yuccathread", "-steer", file)
	i.command.Stdout, i.command.Stderr = log, log
	if err := i.command.Start(); err != nil {
		cannotRun(err)
	}
	started = append(started, i)
	go func() {
		_ = i.command.Wait()
		close(i.ended)
	}()
	i.awaitReady(10 * time.Second)
	return i
}

func (i *instance) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + i.ready + "/-/readiness")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (i *instance) awaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if i.isReady() {
			return
		}
	}
	cannotRun(fmt.Errorf("the instance is not ready after %v", limit))
}

func (i *instance) kill() {
	_ = i.command.Process.Signal(syscall.SIGKILL)
	<-i.ended
}

// memory returns the resident memory of the process in bytes.
func (i *instance) memory() int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// guardMemory does what the platform does: a process that exceeds its memory is killed.
func (i *instance) guardMemory(r *record) {
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			memory := i.memory()
			i.peak.Store(max(i.peak.Load(), memory))
			if memory > i.memoryMB<<20 && !i.killed.Swap(true) {
				r.note("%s holds %d MB of %d MB: the platform kills it", i.name, memory>>20, i.memoryMB)
				_ = i.command.Process.Signal(syscall.SIGKILL)
			}
			select {
			case <-i.ended:
				return
			default:
			}
		}
	}()
}

// dial opens a connection for callers.
func (i *instance) dial() (net.Conn, error) {
	return net.DialTimeout("tcp", i.front, time.Second)
}
