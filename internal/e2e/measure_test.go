package e2e

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"
)

// ticksPerSecond is the number of clock ticks per second in /proc/PID/stat.
const ticksPerSecond = 100

// cpuTime returns the CPU time that a process has used.
func (f *fleet) cpuTime(name string) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", f.processes[name].Process.Pid))
	assert.NilError(f.t, err)
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	user, err := strconv.Atoi(fields[11])
	assert.NilError(f.t, err)
	system, err := strconv.Atoi(fields[12])
	assert.NilError(f.t, err)
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

// BenchmarkLookUpOverHTTP measures look-ups over persistent connections, and for
// comparison a request that costs only the HTTP server's own work.
func BenchmarkLookUpOverHTTP(b *testing.B) {
	f := startFleet(b)
	for name, path := range map[string]string{"look-up": "/v1/look-up?kind=stock", "nothing": "/healthz"} {
		b.Run(name, func(b *testing.B) { f.measureThroughput(b, "http://"+f.addresses["gent-a-1"]+path) })
	}
}

// measureThroughput reports the answers per second of CPU time of gent-a-1.
func (f *fleet) measureThroughput(b *testing.B, url string) {
	cpuBefore := f.cpuTime("gent-a-1")
	total := 0
	var mutex sync.Mutex
	b.RunParallel(func(pb *testing.PB) {
		answered := 0
		for pb.Next() {
			response, err := client.Get(url)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
			answered++
		}
		mutex.Lock()
		total += answered
		mutex.Unlock()
	})
	cpuUsed := f.cpuTime("gent-a-1") - cpuBefore
	b.ReportMetric(float64(total)/cpuUsed.Seconds(), "answers/core-s")
}

// BenchmarkAddedLatency sends work alternately through an instance and directly to
// a server, and reports the difference in latency, while other callers keep about
// half of the slots busy.
func BenchmarkAddedLatency(b *testing.B) {
	f := startFleet(b)
	rate := float64(slotsPerServer*3) / workTime.Seconds() / 2
	stop := f.startLoad("gent-a-1", "stock", rate*0.9)
	defer stop()
	time.Sleep(time.Second)
	direct, viaInstance := hdrhistogram.New(1, 10_000_000, 3), hdrhistogram.New(1, 10_000_000, 3)
	for b.Loop() {
		for target, latencies := range map[string]*hdrhistogram.Histogram{
			f.servers[3].Address + "/run":              direct,
			f.addresses["gent-a-1"] + "/v1/work/stock": viaInstance,
		} {
			start := time.Now()
			response, err := http.Post("http://"+target, "text/plain", strings.NewReader("hello"))
			assert.NilError(b, err)
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
			assert.NilError(b, latencies.RecordValue(time.Since(start).Microseconds()))
		}
	}
	for _, q := range []float64{50, 99} {
		added := viaInstance.ValueAtQuantile(q) - direct.ValueAtQuantile(q)
		b.ReportMetric(float64(added), fmt.Sprintf("added-p%g-us", q))
	}
}
