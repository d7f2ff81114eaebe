package steerer

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// Callers whose region has no instance are sent to the homes of the host's routes: their
// requests must not pass through other regions.
func TestLookUpFollowsHomes(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"))
	for _, region := range []string{"b", "c"} {
		b.handle(traffic.InstanceSeen{Instance: traffic.Instance{Name: "front-" + region, Region: region, Address: region + ":80"}})
	}
	addresses := func(host string) []string {
		result, ok := findEffect[traffic.LookUpResult](b.handle(traffic.LookUpRequested{Query: traffic.Query{Host: host, Region: "d"}}))
		assert.Assert(t, ok)
		return result.Addresses
	}
	p := policy(2)
	p.Routes[0].HomeRegions = []string{"c"}
	b.handle(traffic.PolicySeen{Policy: p})
	assert.DeepEqual(t, addresses("SHOP.example"), []string{"c:80"})
	assert.Equal(t, len(addresses("other.example")), 3)
	b.handle(traffic.InstanceGone{Name: "front-c"})
	assert.Equal(t, len(addresses("shop.example")), 2)
}

// A region may have more instances than a look-up's result holds. Together the callers of
// its failure domains must still use all of them, those of one domain always the same
// ones, and no instance may be named by few domains while others are named by all.
func TestEveryInstanceOfALargeRegionIsNamed(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"))
	domains := []string{"a1", "a2", "a3"}
	names := map[string]bool{b.Self.Name: true}
	for i := range 98 {
		x := traffic.Instance{Name: fmt.Sprintf("front-%d", i+2), Domain: domains[i%3], Region: "a", Address: fmt.Sprintf("10.0.0.%d:80", i)}
		b.handle(traffic.InstanceSeen{Instance: x})
		names[x.Name] = true
	}
	named := make(map[string]int)
	for _, domain := range domains {
		query := traffic.LookUpRequested{Query: traffic.Query{Region: "a", Domain: domain}}
		result, ok := findEffect[traffic.LookUpResult](b.handle(query))
		assert.Assert(t, ok)
		again, _ := findEffect[traffic.LookUpResult](b.handle(query))
		assert.DeepEqual(t, result.Addresses, again.Addresses)
		assert.Equal(t, len(result.Addresses), maxAddresses)
		for _, address := range result.Addresses {
			named[address]++
		}
	}
	assert.Equal(t, len(named), 99, "instances without callers")
}
