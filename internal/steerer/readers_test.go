package steerer

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// All instances of a region must choose the same readers, at any size: two at least,
// and one for every sixteen instances. In a small region each reads for itself.
func TestReadersOfARegion(t *testing.T) {
	for _, c := range []struct{ instances, readers int }{{3, 0}, {5, 0}, {6, 2}, {24, 2}, {98, 6}, {237, 14}} {
		t.Run(fmt.Sprint(c.instances), func(t *testing.T) {
			var all []traffic.Instance
			for i := range c.instances {
				all = append(all, traffic.Instance{
					Name: fmt.Sprintf("front-%d", i), Domain: fmt.Sprintf("a%d", i%2+1), Region: "a", PeerAddress: fmt.Sprintf("peer-%d", i),
				})
			}
			others := []traffic.Instance{
				{Name: "elsewhere", Domain: "b1", Region: "b", PeerAddress: "x"},
				{Name: "leaving", Domain: "a1", Region: "a", PeerAddress: "x", Leaving: true},
				{Name: "without an address", Domain: "a1", Region: "a"},
			}
			own, first := 0, make(map[string]int)
			addresses := make(map[string]bool)
			for _, self := range all {
				b := newTestBench(t, self.Name, self.Domain)
				b.Self.PeerAddress = self.PeerAddress
				assert.Assert(t, !b.Readers().Own, "a reader before the instances are known")
				names := make(map[string]bool)
				for _, i := range append(others, all...) {
					b.handle(traffic.InstanceSeen{Instance: i})
					names[i.Name] = true
				}
				b.handle(traffic.InstancesListed{Names: names})
				readers := b.Readers()
				if readers.Own {
					own++
					assert.Equal(t, len(readers.Addresses), c.readers-1, "the others, in case the store fails this one")
					continue
				}
				assert.Equal(t, len(readers.Addresses), c.readers)
				if c.readers > 0 {
					first[readers.Addresses[0]]++
				}
				for _, address := range readers.Addresses {
					addresses[address] = true
				}
			}
			assert.Equal(t, own, c.readers)
			assert.Equal(t, len(addresses), c.readers)
			for address, members := range first {
				assert.Assert(t, members <= 3*instancesPerReader, "%s serves %d instances", address, members)
			}
		})
	}
}

// Guards against news that is late behind a reader with too many followers: the readers of
// a region must be spread evenly over its failure domains, so that near ones share the work
// and the loss of one domain leaves the others.
func TestReadersAreSpreadOverTheFailureDomains(t *testing.T) {
	for _, size := range []int{6, 24, 48, 98, 237} {
		for shift := range 5 {
			t.Run(fmt.Sprint(size, " ", shift), func(t *testing.T) {
				b := newTestBench(t, "follower", "a1")
				b.Self.PeerAddress = "follower"
				names := map[string]bool{"follower": true}
				domains := make(map[string]string)
				for i := range size {
					name := fmt.Sprintf("front-%d", 1000*shift+i)
					domains[name] = fmt.Sprint("a", i%3)
					b.handle(traffic.InstanceSeen{Instance: traffic.Instance{Name: name, Domain: domains[name], Region: "a", PeerAddress: name}})
					names[name] = true
				}
				b.handle(traffic.InstancesListed{Names: names})
				readers := b.Readers()
				perDomain := make(map[string]int)
				for _, address := range readers.Addresses {
					perDomain[domains[address]]++
				}
				for domain, n := range perDomain {
					assert.Assert(t, n <= (len(readers.Addresses)+2)/3, "%d of %d readers in %s", n, len(readers.Addresses), domain)
				}
			})
		}
	}
}

// Guards against news that is late behind a weak reader: where instances differ, the strong
// ones read, and the weak ones only where there are too few.
func TestStrongInstancesRead(t *testing.T) {
	for _, strong := range []int{0, 2, 3, 9, 98} {
		t.Run(fmt.Sprint(strong), func(t *testing.T) {
			b := newTestBench(t, "follower", "a1")
			b.Self.PeerAddress = "follower"
			names := map[string]bool{"follower": true}
			for i := range 98 {
				name := fmt.Sprintf("front-%d", i)
				instance := traffic.Instance{Name: name, Domain: fmt.Sprint("a", i%3), Region: "a", PeerAddress: "weak", Capacity: 3200}
				if i < strong {
					instance.Capacity, instance.PeerAddress = 160_000+i, "strong"
				}
				b.handle(traffic.InstanceSeen{Instance: instance})
				names[name] = true
			}
			b.handle(traffic.InstancesListed{Names: names})
			found := 0
			for _, address := range b.Readers().Addresses {
				if address == "strong" {
					found++
				}
			}
			assert.Equal(t, len(b.Readers().Addresses), 6)
			assert.Equal(t, found, min(strong, 6))
		})
	}
}
