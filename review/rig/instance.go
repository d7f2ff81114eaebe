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
	"sync"
	"syscall"
	"time"
)

// defaultMemoryMB is the memory limit of an instance, as in the settings of a small deployment.
const defaultMemoryMB = 284

// instance is one process of the project, with the settings of a machine.
type instance struct {
	rig                              *rig
	name, zone                       string
	front, ready, directory, metrics string
	file                             string

	mutex   sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	// killed counts the ends by the platform because of the memory limit.
	killed int
	peakMB int
}

// Ports are taken from below the range of outgoing connections.
const firstPort, lastPort = 12_000, 30_000

var nextPort = firstPort + os.Getpid()*37%(lastPort-firstPort)

// freeAddress returns a loopback address that nobody uses, and each address only once.
func freeAddress() string {
	for {
		nextPort++
		if nextPort > lastPort {
			nextPort = firstPort
		}
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		listener, err := net.Listen("tcp", address)
		if err == nil {
			listener.Close()
			return address
		}
	}
}

func (r *rig) newInstance(name, zone string) *instance {
	i := &instance{
		rig: r, name: name, zone: zone,
		front: freeAddress(), ready: freeAddress(), directory: freeAddress(), metrics: freeAddress(),
	}
	i.file = filepath.Join(r.folder, name+".jsonc")
	text, err := json.MarshalIndent(map[string]any{
		"instance": name, "failure_domain": zone, "region": zones[zone],
		"caller_address": i.front, "ready_address": i.ready, "look_up_address": i.directory,
		"metrics_address": i.metrics, "peer_address": freeAddress(), "store_address": r.storeAddress,
		"failure_domains": zones, "memory_mb": r.memoryMB,
		"bounds": map[string]any{
			"apply": "2500ms", "drain": "2500ms", "evacuation": "5000ms", "reconnect": "4000ms", "grace": "6s",
			"retry_ratio": 0.2, "retry_slack": 58, "cold_factor": 1.5, "cold_slack": 5, "shift_cap": 0.15,
			"look_up_lifetime": "5s",
		},
	}, "", "  ")
	must(err)
	must(os.WriteFile(i.file, text, 0o600))
	r.instances = append(r.instances, i)
	return i
}

// start starts the process with the command of the deploy file.
func (i *instance) start() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	log, err := os.OpenFile(filepath.Join(i.rig.folder, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	defer log.Close()
	i.process = exec.Command(i.rig.program, "-steer", i.file)
	i.process.Stdout, i.process.Stderr = log, log
	must(i.process.Start())
	process, ended := i.process, make(chan struct{})
	i.ended = ended
	i.rig.logf("%s started, process %d", i.name, process.Process.Pid)
	go func() {
		err := process.Wait()
		i.rig.logf("%s ended, process %d: %v", i.name, process.Process.Pid, err)
		close(ended)
	}()
	go i.enforceMemory(process.Process.Pid, ended)
}

// enforceMemory kills the process if it exceeds its memory limit, as the platform does,
// and starts it again.
func (i *instance) enforceMemory(pid int, ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(20 * time.Millisecond):
		}
		mb := residentMB(pid)
		i.mutex.Lock()
		i.peakMB = max(i.peakMB, mb)
		i.mutex.Unlock()
		if mb <= i.rig.memoryMB {
			continue
		}
		i.rig.logf("%s holds %d MB, its limit is %d MB: the platform kills it", i.name, mb, i.rig.memoryMB)
		i.mutex.Lock()
		i.killed++
		i.mutex.Unlock()
		i.signal(syscall.SIGKILL)
		<-ended
		time.Sleep(500 * time.Millisecond)
		if !i.rig.isStopping() {
			i.start()
		}
		return
	}
}

func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

func (i *instance) signal(s syscall.Signal) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.process != nil {
		_ = i.process.Process.Signal(s)
	}
}

func (i *instance) waitEnded(limit time.Duration) bool {
	i.mutex.Lock()
	ended := i.ended
	i.mutex.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

func (i *instance) memory() (killed, peakMB int) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.killed, i.peakMB
}

// waitReady waits until the readiness check succeeds.
func (i *instance) waitReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + i.ready + "/-/readiness")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// lookUp asks the instance's directory for addresses, as a client does.
func (i *instance) lookUp(zone string) (addresses []string, ttl time.Duration, err error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + i.directory + "/-/resolve?name=" + host + "&region=" + zones[zone] + "&zone=" + zone)
	if err != nil {
		return nil, 0, err
	}
	defer response.Body.Close()
	var body struct {
		Addresses []string `json:"addresses"`
		TTL       string   `json:"ttl"`
	}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return nil, 0, err
	}
	ttl, err = time.ParseDuration(body.TTL)
	return body.Addresses, ttl, err
}
