package steerer

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

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
