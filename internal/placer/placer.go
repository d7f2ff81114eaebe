// Package placer ranks servers for an object by weighted rendezvous hashing,
// so that all instances agree on an object's servers without messages and a
// server that joins or leaves moves only its own share of the objects.
//
// Usage:
//
//	p := placer.Placer{Seed: "orders"}
//	score := p.Score("object-17", "server-3", 9)   // the lowest score is first
package placer

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Placer scores pairs of object and server. Seed keeps groups of servers apart.
type Placer struct {
	Seed string
}

// Score returns a server's score for an object; over many objects a server has
// the lowest score in proportion to its weight.
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
