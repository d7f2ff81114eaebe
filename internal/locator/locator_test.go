package locator_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/yuccathread/yuccathread/internal/locator"
)

func ipv4Address(x uint32) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], x)
	return netip.AddrFrom4(b)
}

// TestFindsLongestPrefix compares Find with a linear search through all prefixes.
func TestFindsLongestPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seen := make(map[netip.Prefix]bool)
		var prefixes []netip.Prefix
		var values []uint16
		for i := range rapid.IntRange(0, 30).Draw(t, "blocks") {
			a := ipv4Address(rapid.Uint32Range(0, 255).Draw(t, "address") << 24)
			bits := rapid.IntRange(0, 12).Draw(t, "bits")
			if rapid.Bool().Draw(t, "wide") {
				a = netip.AddrFrom16([16]byte{0x20, byte(rapid.IntRange(0, 255).Draw(t, "high"))})
				bits = rapid.IntRange(0, 16).Draw(t, "bits")
			}
			p := netip.PrefixFrom(a, bits).Masked()
			if seen[p] {
				continue
			}
			seen[p] = true
			prefixes = append(prefixes, p)
			values = append(values, uint16(i))
		}
		var l locator.Locator
		l.Build(prefixes, values)
		for range 50 {
			a := ipv4Address(rapid.Uint32().Draw(t, "look-up"))
			if rapid.Bool().Draw(t, "wide look-up") {
				a = netip.AddrFrom16([16]byte{0x20, byte(rapid.IntRange(0, 255).Draw(t, "high")), 1})
			}
			want, found, bits := uint16(0), false, -1
			for i, p := range prefixes {
				if p.Contains(a) && p.Bits() > bits {
					want, found, bits = values[i], true, p.Bits()
				}
			}
			got, ok := l.Find(a)
			if ok != found || got != want {
				t.Fatalf("%s: got %d %t, want %d %t", a, got, ok, want, found)
			}
		}
	})
}

func TestFindsNothingWhenEmpty(t *testing.T) {
	var l locator.Locator
	_, ok := l.Find(netip.MustParseAddr("127.0.0.1"))
	assert.Assert(t, !ok)
}

// randomBlocks returns n disjoint /24 blocks, each with the value of one of 190
// sites.
func randomBlocks(n int) ([]netip.Prefix, []uint16) {
	random := rand.New(rand.NewPCG(1, 1))
	prefixes := make([]netip.Prefix, n)
	values := make([]uint16, n)
	step := uint32(1<<32/uint64(n)) &^ 0xff
	for i := range prefixes {
		prefixes[i] = netip.PrefixFrom(ipv4Address(uint32(i)*step), 24)
		values[i] = uint16(random.IntN(190))
	}
	return prefixes, values
}

func runForSizes(b *testing.B, run func(*testing.B, int)) {
	for _, n := range []int{100_000, 500_000, 2_500_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { run(b, n) })
	}
}

func BenchmarkBuild(b *testing.B) {
	runForSizes(b, func(b *testing.B, n int) {
		prefixes, values := randomBlocks(n)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var l locator.Locator
		for b.Loop() {
			l = locator.Locator{}
			l.Build(prefixes, values)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "held-bytes")
		b.ReportMetric(float64(l.Ranges()), "ranges")
		runtime.KeepAlive(prefixes)
	})
}

func BenchmarkFind(b *testing.B) {
	runForSizes(b, func(b *testing.B, n int) {
		var l locator.Locator
		l.Build(randomBlocks(n))
		random := rand.New(rand.NewPCG(2, 2))
		addresses := make([]netip.Addr, 1<<16)
		for i := range addresses {
			addresses[i] = ipv4Address(random.Uint32())
		}
		for i := 0; b.Loop(); i++ {
			l.Find(addresses[i%len(addresses)])
		}
	})
}
