// Package placer ranks servers for an object by weighted rendezvous hashing. All
// instances agree on an object's servers without coordination, and a server that
// joins or leaves moves only its own share of the objects.
//
// Usage:
//
//	p := placer.Placer{Seed: "orders"}
//	score := p.Score("object-17", "server-3", 9)   // the lowest score ranks first
package placer

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Placer computes scores for pairs of object and server. Different seeds give
// groups of servers independent rankings.
type Placer struct {
	Seed string
}

// Score returns a server's score for an object. The share of objects for which
// a server has the lowest score is proportional to its weight.
func (p *Placer) Score(object, server string, weight float64) float64 {
	if weight <= 0 {
		return math.Inf(1)
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(p.Seed)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(object)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(server)
	const mantissa = 1 << 53
	uniform := (float64(d.Sum64()>>11) + 0.5) / mantissa
	return -math.Log(uniform) / weight
}
