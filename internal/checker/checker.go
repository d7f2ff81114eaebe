// Package checker finds what is wrong with a configuration. It reports
// everything at once, each fault with the JSON Pointer of its field.
//
// Usage:
//
//	c := checker.Checker{}
//	for _, f := range c.Check(configuration) { ... }
package checker

import (
	"fmt"
	"net/netip"

	"github.com/yuccathread/yuccathread/internal/model"
)

const (
	// maxFloors keeps some slot time free for urgent work.
	maxFloors = 0.9
	// maxLocated is the number of failure domains that a block table can name.
	maxLocated = 60_000
)

// Checker collects findings about one configuration.
type Checker struct {
	findings []model.Finding
	regions  map[string]bool
	domains  map[string]bool
	services map[string]bool
	ranks    map[string]bool
}

// Check returns every fault of a configuration.
func (c *Checker) Check(x model.Configuration) []model.Finding {
	*c = Checker{
		regions:  make(map[string]bool),
		domains:  make(map[string]bool),
		services: make(map[string]bool),
		ranks:    make(map[string]bool),
	}
	c.checkRegions(x)
	c.checkLinks(x)
	c.checkRanks(x)
	c.checkServices(x)
	c.checkKinds(x)
	c.checkBlocks(x)
	c.checkLimits(x)
	return c.findings
}

func (c *Checker) require(ok bool, field, message string) {
	if !ok {
		c.findings = append(c.findings, model.Finding{Field: field, Message: message})
	}
}

// unique notes a name and finds fault with an empty or repeated one.
func (c *Checker) unique(seen map[string]bool, name, field string) {
	c.require(name != "", field, "must not be empty")
	c.require(!seen[name], field, fmt.Sprintf("%q is given twice", name))
	seen[name] = true
}

func (c *Checker) checkRegions(x model.Configuration) {
	c.require(len(x.Regions) > 0, "/regions", "must name a region")
	for i, r := range x.Regions {
		field := fmt.Sprintf("/regions/%d", i)
		c.unique(c.regions, r.Name, field+"/name")
		c.require(r.Name != model.Home, field+"/name", "the name is taken for the caller's region")
		c.require(len(r.Domains) > 0, field+"/domains", "must name a failure domain")
		own := make(map[string]bool)
		for j, d := range r.Domains {
			c.unique(c.domains, d, fmt.Sprintf("%s/domains/%d", field, j))
			own[d] = true
		}
		for j, d := range r.Drained {
			c.require(own[d], fmt.Sprintf("%s/drained/%d", field, j), fmt.Sprintf("%q is not a failure domain of the region", d))
		}
	}
}

func (c *Checker) checkLinks(x model.Configuration) {
	seen := make(map[string]bool)
	for i, l := range x.Links {
		field := fmt.Sprintf("/links/%d", i)
		c.require(c.regions[l.From], field+"/from", fmt.Sprintf("%q is not a region", l.From))
		c.require(c.regions[l.To], field+"/to", fmt.Sprintf("%q is not a region", l.To))
		c.require(l.From != l.To, field+"/to", "must be another region")
		c.require(l.BytesPerSecond > 0, field+"/bytes_per_second", "must be above 0")
		pair := l.From + " " + l.To
		c.require(!seen[pair], field, "the link is given twice")
		seen[pair] = true
	}
}

func (c *Checker) checkRanks(x model.Configuration) {
	c.require(len(x.Ranks) > 0, "/ranks", "must name a rank")
	total := 0.0
	for i, r := range x.Ranks {
		field := fmt.Sprintf("/ranks/%d", i)
		c.unique(c.ranks, r.Name, field+"/name")
		c.require(r.Floor >= 0 && r.Floor < 1, field+"/floor", "must be from 0 to below 1")
		total += r.Floor
	}
	c.require(total <= maxFloors, "/ranks", fmt.Sprintf("the floors add up to more than %g", maxFloors))
}

func (c *Checker) checkServices(x model.Configuration) {
	for i, s := range x.Services {
		field := fmt.Sprintf("/services/%d", i)
		c.unique(c.services, s.Name, field+"/name")
		c.require(s.SlotsPerServer > 0, field+"/slots_per_server", "must be above 0")
		c.require(s.ConnectionsPerServer >= s.SlotsPerServer, field+"/connections_per_server",
			"must not be below slots_per_server")
	}
}

func (c *Checker) checkKinds(x model.Configuration) {
	seen := make(map[string]bool)
	for i, k := range x.Kinds {
		field := fmt.Sprintf("/kinds/%d", i)
		c.unique(seen, k.Name, field+"/name")
		c.require(c.services[k.Service], field+"/service", fmt.Sprintf("%q is not a service", k.Service))
		c.require(c.ranks[k.Rank], field+"/rank", fmt.Sprintf("%q is not a rank", k.Rank))
		c.require(k.Deadline.Duration > 0, field+"/deadline", "must be above 0")
		c.require(k.QueueLimit >= 0, field+"/queue_limit", "must not be negative")
		c.require(k.MaxBodyBytes >= 0, field+"/max_body_bytes", "must not be negative")
		c.require(k.AnswerBytes >= 0, field+"/answer_bytes", "must not be negative")
		c.require(len(k.Regions) > 0, field+"/regions", "must name a region")
		for j, r := range k.Regions {
			c.require(r == model.Home || c.regions[r], fmt.Sprintf("%s/regions/%d", field, j),
				fmt.Sprintf("%q is not a region", r))
		}
	}
}

func (c *Checker) checkBlocks(x model.Configuration) {
	seen := make(map[netip.Prefix]bool)
	for i, b := range x.Blocks {
		field := fmt.Sprintf("/blocks/%d", i)
		prefix, err := netip.ParsePrefix(b.Prefix)
		c.require(err == nil, field+"/prefix", "must be an address block such as 192.0.2.0/24")
		c.require(c.domains[b.Domain], field+"/domain", fmt.Sprintf("%q is not a failure domain", b.Domain))
		c.require(err != nil || !seen[prefix.Masked()], field+"/prefix", "the block is given twice")
		seen[prefix.Masked()] = true
	}
	c.require(len(c.domains) <= maxLocated, "/regions", "too many failure domains")
}

func (c *Checker) checkLimits(x model.Configuration) {
	c.require(x.LookUp.TTL.Duration > 0, "/look_up/ttl", "must be above 0")
	c.require(x.LookUp.Entries > 0, "/look_up/entries", "must be above 0")
	c.require(x.Shift.Cap > 0 && x.Shift.Cap <= 1, "/shift/cap", "must be above 0 and at most 1")
	c.require(x.Shift.Period.Duration > 0, "/shift/period", "must be above 0")
	c.require(x.Shift.MinimumRequests >= 0, "/shift/minimum_requests", "must not be negative")
	c.require(x.Retry.Fraction >= 0 && x.Retry.Fraction <= 1, "/retry/fraction", "must be from 0 to 1")
	c.require(x.Retry.Burst >= 0, "/retry/burst", "must not be negative")
	c.require(x.Retry.Attempts >= 1, "/retry/attempts", "must be at least 1")
	c.require(x.Recovery.SlowStart.Duration >= 0, "/recovery/slow_start", "must not be negative")
	c.require(x.Recovery.Failures >= 1, "/recovery/failures", "must be at least 1")
	c.require(x.Recovery.Ejection.Duration > 0, "/recovery/ejection", "must be above 0")
	c.require(x.Recovery.MaxEjected >= 0 && x.Recovery.MaxEjected <= 1, "/recovery/max_ejected", "must be from 0 to 1")
	c.require(x.OnceOnly.TicketLifetime.Duration > 0, "/once_only/ticket_lifetime", "must be above 0")
	c.require(x.OnceOnly.KeyLifetime.Duration >= x.OnceOnly.TicketLifetime.Duration,
		"/once_only/key_lifetime", "must not be below ticket_lifetime")
	c.require(x.OnceOnly.ClaimsPerSecond >= 0, "/once_only/claims_per_second", "must not be negative")
}
