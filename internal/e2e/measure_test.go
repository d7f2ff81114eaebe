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

// ticksPerSecond is the unit of /proc/PID/stat.
const ticksPerSecond = 100

// cpuTime returns the processor time that a process has used.
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

// BenchmarkLookUpOverHTTP asks over kept connections, beside a request that
// costs nothing but the HTTP server.
func BenchmarkLookUpOverHTTP(b *testing.B) {
	f := startFleet(b)
	for name, path := range map[string]string{"look-up": "/v1/look-up?kind=stock", "nothing": "/healthz"} {
		b.Run(name, func(b *testing.B) { f.hammer(b, "http://"+f.address["gent-a-1"]+path) })
	}
}

// hammer reports the answers that one core of gent-a-1 gives a second.
func (f *fleet) hammer(b *testing.B, url string) {
	before := f.cpuTime("gent-a-1")
	n := 0
	var mutex sync.Mutex
	b.RunParallel(func(pb *testing.PB) {
		mine := 0
		for pb.Next() {
			response, err := client.Get(url)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
			mine++
		}
		mutex.Lock()
		n += mine
		mutex.Unlock()
	})
	used := f.cpuTime("gent-a-1") - before
	b.ReportMetric(float64(n)/used.Seconds(), "answers/core-s")
}

// BenchmarkAddedLatency compares work through an instance with the same work
// sent to a server directly, in turn, while other callers keep half of the
// slots busy.
func BenchmarkAddedLatency(b *testing.B) {
	f := startFleet(b)
	rate := float64(slots*3) / work.Seconds() / 2
	stop := f.load("gent-a-1", "stock", rate*0.9)
	defer stop()
	time.Sleep(time.Second)
	direct, through := hdrhistogram.New(1, 10_000_000, 3), hdrhistogram.New(1, 10_000_000, 3)
	for b.Loop() {
		for target, times := range map[string]*hdrhistogram.Histogram{
			f.servers[3].Address + "/run":            direct,
			f.address["gent-a-1"] + "/v1/work/stock": through,
		} {
			start := time.Now()
			response, err := http.Post("http://"+target, "text/plain", strings.NewReader("hello"))
			assert.NilError(b, err)
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
			assert.NilError(b, times.RecordValue(time.Since(start).Microseconds()))
		}
	}
	for _, q := range []float64{50, 99} {
		added := through.ValueAtQuantile(q) - direct.ValueAtQuantile(q)
		b.ReportMetric(float64(added), fmt.Sprintf("added-p%g-us", q))
	}
}
