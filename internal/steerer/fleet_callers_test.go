package steerer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// fleetCallers describes the callers of a fleet and what they got. The zero value has no
// organisations, and callers repeat once after the time that a refusal tells.
type fleetCallers struct {
	organisations []simOrganisation
	// unlisted organisations are unknown to the configuration.
	unlisted bool
	// impatient callers repeat at once, up to three times.
	impatient bool
	// slots is the number of slots of each server, nine if it is zero.
	slots int
	// earlyRefusals is the number of refusals by share in the first seconds, which are those
	// of servers without objects in their caches.
	earlyRefusals int
	// oneRank gives all organisations the same rank.
	oneRank bool
	// got counts requests, and those answered in time, by group, organisation and second of
	// arrival.
	got map[string]map[int]*outcomeCounts
	// kindGot does so by kind of request.
	kindGot map[string]map[int]*outcomeCounts
}

// simOrganisation sends a part of the fleet's requests, proportional to its weight. multiple,
// if set, multiplies what it sends.
type simOrganisation struct {
	name     string
	weight   float64
	multiple func(at time.Duration) float64
	// instances is the number of instances of each region, from first on, that its callers
	// use, or 0 if they use all.
	first, instances int
}

func (o *simOrganisation) demand(at time.Duration) float64 {
	if o.multiple == nil {
		return o.weight
	}
	return o.weight * o.multiple(at)
}

// skewedOrganisations returns organisations whose weights fall with their number.
func skewedOrganisations(n int) []simOrganisation {
	organisations := make([]simOrganisation, n)
	for i := range organisations {
		organisations[i] = simOrganisation{name: fmt.Sprintf("o-%d", i), weight: 1 / float64(i+3)}
	}
	return organisations
}

func (c *fleetCallers) listed() []traffic.Organisation {
	var listed []traffic.Organisation
	for _, o := range c.organisations {
		if c.unlisted {
			return nil
		}
		listed = append(listed, traffic.Organisation{Name: o.name, Keys: []string{o.name}})
	}
	return listed
}

// demandOf returns the demand of all organisations as a multiple of their usual one.
func (c *fleetCallers) demandOf(at time.Duration) float64 {
	if len(c.organisations) == 0 {
		return 1
	}
	demand, usual := 0.0, 0.0
	for _, o := range c.organisations {
		demand += o.demand(at)
		usual += o.weight
	}
	return demand / usual
}

// drawOrganisation returns the organisation that sends the next request, or nil if there are
// none.
func (c *fleetCallers) drawOrganisation(at time.Duration, random *rand.Rand) *simOrganisation {
	if len(c.organisations) == 0 {
		return nil
	}
	total := 0.0
	for _, o := range c.organisations {
		total += o.demand(at)
	}
	drawn := random.Float64() * total
	for i := range c.organisations {
		drawn -= c.organisations[i].demand(at)
		if drawn < 0 {
			return &c.organisations[i]
		}
	}
	return &c.organisations[0]
}

// waitOf returns when a refused caller repeats its request, if it does.
func (c *fleetCallers) waitOf(call *simCall, refusal traffic.Refuse, remaining time.Duration) (wait time.Duration, again bool) {
	if refusal.Fate != traffic.NotRun || remaining <= 0 {
		return 0, false
	}
	if c.impatient {
		const reconnect, repeats = 20 * time.Millisecond, 3
		return reconnect, call.retries < repeats
	}
	return min(refusal.RetryAfter, remaining/3), call.retries < 1
}

func (f *fleet) observeArrival(c *simCall) {
	f.gotOf(c, func(n *outcomeCounts) { n.requests++ })
}

func (f *fleet) observe(c *simCall, inTime bool) {
	f.gotOf(c, func(n *outcomeCounts) {
		if inTime {
			n.inTime++
		} else {
			n.late++
		}
	})
}

func (f *fleet) gotOf(c *simCall, count func(*outcomeCounts)) {
	if len(f.organisations) == 0 {
		return
	}
	if f.got == nil {
		f.got, f.kindGot = make(map[string]map[int]*outcomeCounts), make(map[string]map[int]*outcomeCounts)
	}
	second := int(c.arrived.Sub(f.started) / time.Second)
	for by, key := range map[*map[string]map[int]*outcomeCounts]string{&f.got: f.groupOf(c) + c.organisation, &f.kindGot: c.kind.path} {
		if (*by)[key] == nil {
			(*by)[key] = make(map[int]*outcomeCounts)
		}
		count(getOrCreate((*by)[key], second))
	}
}

// groupOf returns the group in which organisations share the room: one rank is one group.
func (f *fleet) groupOf(c *simCall) string {
	if f.oneRank {
		return ""
	}
	return c.kind.path
}

// sumOf adds up the counts of the seconds from first to last.
func sumOf(seconds map[int]*outcomeCounts, first, last int) outcomeCounts {
	var sum outcomeCounts
	for second := first; second <= last; second++ {
		if n := seconds[second]; n != nil {
			sum.requests += n.requests
			sum.inTime += n.inTime
			sum.late += n.late
		}
	}
	return sum
}
