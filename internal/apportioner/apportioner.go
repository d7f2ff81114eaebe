// Package apportioner divides a rate of requests among instances without messages: each
// computes its own share, and the shares of all that know the same instances add up to
// the rate.
//
// Instances expect different numbers of requests for a server, so that each has a
// weight. A low rate is not divided into shares on which an instance would wait for
// seconds: only a few instances have one, so that the requests that all of them may have
// saved up stay few as well.
//
// Usage:
//
//	a := apportioner.Apportioner{Groups: groups}
//	perSecond := a.Share(11.2, "server-7", "front-1")
package apportioner

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Apportioner divides rates among instances. Set the fields before the first call.
type Apportioner struct {
	// Groups holds the instances. Those of a group have the same weight.
	Groups []Group
}

// Group is a number of instances with the same weight.
type Group struct {
	// Weight is that of each instance.
	Weight float64
	Names  []string
}

// Sort orders the groups by their weights, the largest first. It must be called after
// Groups has been set.
func (a *Apportioner) Sort() {
	slices.SortStableFunc(a.Groups, func(x, y Group) int { return cmp.Compare(y.Weight, x.Weight) })
}

// Share returns an instance's part of a rate, which is zero for an instance that has
// none. As many instances have a part as the rate allows requests per second, one at
// least: those with the largest weights, and among equal ones those that a hash with the
// seed selects.
func (a *Apportioner) Share(rate float64, seed, name string) float64 {
	left := max(1, int(rate))
	sum, own := 0.0, 0.0
	for _, g := range a.Groups {
		if left == 0 || g.Weight <= 0 {
			break
		}
		holders := min(left, len(g.Names))
		left -= holders
		sum += float64(holders) * g.Weight
		if i := slices.Index(g.Names, name); i >= 0 && (holders == len(g.Names) || g.rank(seed, name) < holders) {
			own = g.Weight
		}
	}
	if own == 0 {
		return 0
	}
	return rate * own / sum
}

// Rank returns the number of instances that come before one in the order in which
// shares are given.
func (a *Apportioner) Rank(seed, name string) int {
	rank := 0
	for _, g := range a.Groups {
		if slices.Contains(g.Names, name) {
			return rank + g.rank(seed, name)
		}
		rank += len(g.Names)
	}
	return rank
}

// rank returns the number of instances of a group that the hash puts before one.
func (g *Group) rank(seed, name string) int {
	own := Hash(seed, name)
	rank := 0
	for _, other := range g.Names {
		if other != name && Hash(seed, other) < own {
			rank++
		}
	}
	return rank
}

// Hash returns the hash of an instance's name with a seed. All instances agree on it.
func Hash(seed, name string) uint64 {
	return xxhash.Sum64String(seed + "\x00" + name)
}
