package steerer

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// heapBytes returns the memory in use after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkMemory reports what one more server, instance, route or organisation keeps in memory.
func BenchmarkMemory(b *testing.B) {
	const count = 2000
	newBench := func() *testBench {
		s := settings()
		bench := &testBench{t: &testing.T{}, now: time.Unix(1_800_000_000, 0), Steerer: &Steerer{
			Self: traffic.Instance{Name: "front-1", Domain: "a1", Region: "a", Address: "front-1:80"}, Settings: s,
		}}
		bench.handle(traffic.PolicySeen{Policy: policy(1)})
		bench.handle(traffic.UpstreamsListed{})
		bench.handle(traffic.InstancesListed{})
		return bench
	}
	for name, add := range map[string]func(bench *testBench){
		"server": func(bench *testBench) {
			for n := range count {
				bench.handle(traffic.UpstreamSeen{Upstream: server(fmt.Sprintf("i-%010x", n*7919), "a1")})
			}
		},
		"instance": func(bench *testBench) {
			for n := range count {
				i := fmt.Sprintf("front-gent-a-%d", n)
				bench.handle(traffic.InstanceSeen{Instance: traffic.Instance{Name: i, Region: "a", Domain: "a1", Address: i + ":80", Incarnation: i}})
			}
		},
		"route": func(bench *testBench) {
			p := policy(2)
			for n := range count {
				r := p.Routes[0]
				r.Name, r.Host = fmt.Sprintf("route-%d", n), fmt.Sprintf("shop-%d.example", n)
				r.Shares = []traffic.Share{{Service: "stock", Weight: 1}}
				p.Routes = append(p.Routes, r)
			}
			bench.handle(traffic.PolicySeen{Policy: p})
		},
		"organisation": func(bench *testBench) {
			p := policy(2)
			for n := range count {
				p.Organisations = append(p.Organisations, traffic.Organisation{
					Name: fmt.Sprintf("o-%d", n), Keys: []string{fmt.Sprintf("%020d", n), fmt.Sprintf("%020d", n+count)}, PerSecond: 100, Burst: 100,
				})
			}
			bench.handle(traffic.PolicySeen{Policy: p})
		},
	} {
		b.Run(name, func(b *testing.B) {
			var grown int64
			for b.Loop() {
				bench := newBench()
				before := heapBytes()
				add(bench)
				grown = heapBytes() - before
				runtime.KeepAlive(bench)
			}
			b.ReportMetric(float64(grown)/count, "bytes/"+name)
		})
	}
}
