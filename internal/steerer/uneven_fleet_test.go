package steerer

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// unevenTraffic returns the traffic of a site whose requests need very different amounts of
// work: three of a hundred take seven times as long as the others. scale multiplies the rates
// and the objects.
func unevenTraffic(scale float64) []requestKind {
	kinds := []requestKind{
		{path: "/certify/", ratePerSecond: 12, work: 750 * time.Millisecond, target: 600 * time.Millisecond, deadline: 1800 * time.Millisecond, objects: 8, nonIdempotent: true},
		{path: "/register/", ratePerSecond: 18, work: 1400 * time.Millisecond, target: 1200 * time.Millisecond, deadline: 3750 * time.Millisecond, objects: 12, nonIdempotent: true},
		{path: "/lookup/", ratePerSecond: 48, work: 1100 * time.Millisecond, target: time.Second, deadline: 3 * time.Second, objects: 30},
	}
	for i := range kinds {
		kinds[i].ratePerSecond *= scale
		kinds[i].objects = int(float64(kinds[i].objects) * scale)
		kinds[i].tailShare, kinds[i].tailFactor = 0.03, 7
	}
	return kinds
}

// unevenSite is a fleet whose second region has a tenth of the servers.
type unevenSite struct {
	name      string
	perRegion int
	scale     float64
	servers   [3]int
}

var unevenSites = []unevenSite{
	{"9 instances", 3, 1, [3]int{10, 2, 8}},
	{"33 instances", 11, 3, [3]int{30, 6, 24}},
}

// runUneven runs a site's traffic for the given time, after prepare.
func runUneven(t *testing.T, site unevenSite, seed uint64, length time.Duration, prepare func(*fleet)) *fleet {
	t.Helper()
	f := newFleetOf(t, seed, site.perRegion, site.servers, unevenTraffic(site.scale))
	if prepare != nil {
		prepare(f)
	}
	f.run(length)
	f.report()
	f.reportWork()
	return f
}

// reportWork logs response times and what the servers did in vain.
func (f *fleet) reportWork() {
	f.t.Helper()
	for _, path := range slices.Sorted(maps.Keys(f.took)) {
		f.t.Logf("%-10s p50 %v p99 %v", path, f.percentile(path, 50), f.percentile(path, 99))
	}
	f.t.Logf("in time %.4f, wasted %.4f of the work, %d further attempts, %d ejections", f.inTimeShare(), f.wastedShare(), f.second, f.ejections)
}

// percentile returns a percentile of the response times of one kind of request.
func (f *fleet) percentile(path string, percent int) time.Duration {
	took := slices.Sorted(slices.Values(f.took[path]))
	if len(took) == 0 {
		return 0
	}
	return took[min(len(took)*percent/100, len(took)-1)].Round(time.Millisecond)
}

// wastedShare returns the share of the servers' work whose responses nobody got.
func (f *fleet) wastedShare() float64 {
	return float64(f.wasted) / float64(max(f.worked, 1))
}

// A few requests that take seven times as long must cost neither themselves nor the others
// their response in time, where they may be sent again.
func TestLongTail(t *testing.T) {
	for _, site := range unevenSites {
		t.Run(site.name, func(t *testing.T) {
			f := runUneven(t, site, 11, 20*time.Second, nil)
			assert.Assert(t, f.inTimeShare() > 0)
		})
	}
}

// Beside the tail, machines are disturbed now and then, which their reports do not say.
func TestLongTailBesideDisturbedServers(t *testing.T) {
	for _, site := range unevenSites {
		t.Run(site.name, func(t *testing.T) {
			f := runUneven(t, site, 12, 20*time.Second, func(f *fleet) {
				for _, id := range slices.Sorted(maps.Keys(f.servers)) {
					f.disturbBy(f.servers[id], 2.5, 600*time.Millisecond, 3400*time.Millisecond)
				}
			})
			assert.Assert(t, f.inTimeShare() > 0)
		})
	}
}

// A server that takes three times as long is found out beside a tail of seven times.
func TestSlowServersBesideLongTail(t *testing.T) {
	for _, site := range unevenSites {
		t.Run(site.name, func(t *testing.T) {
			f := runUneven(t, site, 13, 20*time.Second, func(f *fleet) {
				f.schedule(6*time.Second, func() {
					for _, id := range slices.Sorted(maps.Keys(f.servers)) {
						if id[len(id)-1] == '0' {
							f.servers[id].slowdown = 3
						}
					}
				})
			})
			assert.Assert(t, f.inTimeShare() > 0)
		})
	}
}

// All servers lose their caches at once.
func TestColdReturnBesideLongTail(t *testing.T) {
	for _, site := range unevenSites {
		t.Run(site.name, func(t *testing.T) {
			f := runUneven(t, site, 14, 20*time.Second, func(f *fleet) {
				f.schedule(8*time.Second, func() {
					for _, s := range f.servers {
						s.cached = nil
					}
				})
			})
			assert.Assert(t, f.inTimeShare() > 0)
		})
	}
}
