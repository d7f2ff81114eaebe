package steerer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// leavingFleet is a fleet whose requests are answered at once. One of its servers says in
// its responses that it leaves, and the store says nothing.
type leavingFleet struct {
	random    *rand.Rand
	instances []*testBench
	servers   int
}

func newLeavingFleet(instances, servers int) *leavingFleet {
	f := &leavingFleet{random: rand.New(rand.NewPCG(1, 2)), servers: servers}
	domains := []string{"a1", "b1", "c1"}
	names := make(map[string]bool)
	ids := make(map[string]bool)
	for n := range instances {
		names[fmt.Sprintf("front-%d", n)] = true
	}
	for n := range servers {
		ids[fmt.Sprintf("s-%d", n)] = true
	}
	for n := range instances {
		domain := domains[n%3]
		s := settings()
		b := &testBench{t: &testing.T{}, now: time.Unix(1_800_000_000, 0), Steerer: &Steerer{
			Self: traffic.Instance{Name: fmt.Sprintf("front-%d", n), Domain: domain, Region: s.Domains[domain]}, Settings: s,
		}}
		b.handle(traffic.PolicySeen{Policy: policy(1)})
		for m := range servers {
			u := server(fmt.Sprintf("s-%d", m), domains[m%3])
			u.Slots = 9
			b.handle(traffic.UpstreamSeen{Upstream: u})
		}
		b.handle(traffic.UpstreamsListed{IDs: ids})
		for m := range instances {
			other := domains[m%3]
			b.handle(traffic.InstanceSeen{Instance: traffic.Instance{Name: fmt.Sprintf("front-%d", m), Domain: other, Region: s.Domains[other]}})
		}
		b.handle(traffic.InstancesListed{Names: names})
		b.join()
		f.instances = append(f.instances, b)
	}
	return f
}

// play sends requests at a rate and returns when those that reached the leaving server came,
// counted from the first of them.
func (f *leavingFleet) play(perSecond float64, length time.Duration) (reached []time.Duration) {
	interval := time.Duration(float64(time.Second) / perSecond)
	first := time.Duration(-1)
	started := f.instances[0].now
	for at := time.Duration(0); at < length; at += interval {
		b := f.instances[f.random.IntN(len(f.instances))]
		b.now = started.Add(at)
		_, effects := b.request("/look/1", fmt.Sprint(f.random.IntN(20*f.servers)))
		send, ok := findEffect[traffic.Send](effects)
		if !ok {
			continue
		}
		outcome := successOutcome()
		if send.Upstream.ID == "s-0" {
			outcome.Reply.Leaving = true
			if first < 0 {
				first = at
			}
			reached = append(reached, at-first)
		}
		b.endAttempt(send, outcome)
	}
	return reached
}

// BenchmarkLeavingServer reports how many requests reach a server within the four seconds
// after it has first said that it leaves, if each instance learns of it by itself, and how
// many would if all learnt of it within a second.
func BenchmarkLeavingServer(b *testing.B) {
	const drain, news = 4 * time.Second, time.Second
	for _, size := range []struct {
		instances, servers int
		perSecond          float64
	}{{10, 36, 901}, {71, 384, 2158}, {295, 1350, 4860}} {
		b.Run(fmt.Sprintf("%d instances", size.instances), func(b *testing.B) {
			alone, told := 0, 0
			for b.Loop() {
				f := newLeavingFleet(size.instances, size.servers)
				alone, told = 0, 0
				for _, at := range f.play(size.perSecond, drain+time.Second) {
					if at <= drain {
						alone++
					}
					if at <= news {
						told++
					}
				}
			}
			b.ReportMetric(float64(alone), "requests")
			b.ReportMetric(float64(told), "requests-if-told")
		})
	}
}
