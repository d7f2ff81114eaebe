// Package checker validates a configuration. It reports all errors at once, each
// with the JSON Pointer of its field.
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
	// maxFloorSum limits the sum of the floors, so that part of the slot time is
	// left for the most urgent work.
	maxFloorSum = 0.9
	// maxBlockDomains limits the failure domains, since the locator stores the
	// index of a block's failure domain in 16 bits.
	maxBlockDomains = 60_000
)

// Checker validates one configuration and collects the findings.
type Checker struct {
	findings []model.Finding
	regions  map[string]bool
	domains  map[string]bool
	services map[string]bool
	ranks    map[string]bool
}

// Check returns all findings about a configuration.
func (c *Checker) Check(configuration model.Configuration) []model.Finding {
	*c = Checker{
		regions:  make(map[string]bool),
		domains:  make(map[string]bool),
		services: make(map[string]bool),
		ranks:    make(map[string]bool),
	}
	c.checkRegions(configuration)
	c.checkLinks(configuration)
	c.checkRanks(configuration)
	c.checkServices(configuration)
	c.checkKinds(configuration)
	c.checkBlocks(configuration)
	c.checkLimits(configuration)
	return c.findings
}

// require adds a finding unless ok is true.
func (c *Checker) require(ok bool, field, message string) {
	if !ok {
		c.findings = append(c.findings, model.Finding{Field: field, Message: message})
	}
}

// requireUnique records a name and reports it if it is empty or a duplicate.
func (c *Checker) requireUnique(seen map[string]bool, name, field string) {
	c.require(name != "", field, "must not be empty")
	c.require(!seen[name], field, fmt.Sprintf("duplicate name %q", name))
	seen[name] = true
}

func (c *Checker) checkRegions(configuration model.Configuration) {
	c.require(len(configuration.Regions) > 0, "/regions", "must contain a region")
	for i, r := range configuration.Regions {
		field := fmt.Sprintf("/regions/%d", i)
		c.requireUnique(c.regions, r.Name, field+"/name")
		c.require(r.Name != model.HomeRegion, field+"/name", "the name is reserved for the caller's region")
		c.require(len(r.Domains) > 0, field+"/domains", "must contain a failure domain")
		regionDomains := make(map[string]bool)
		for j, d := range r.Domains {
			c.requireUnique(c.domains, d, fmt.Sprintf("%s/domains/%d", field, j))
			regionDomains[d] = true
		}
		for j, d := range r.Drained {
			c.require(regionDomains[d], fmt.Sprintf("%s/drained/%d", field, j), fmt.Sprintf("%q is not a failure domain of the region", d))
		}
	}
}

func (c *Checker) checkLinks(configuration model.Configuration) {
	seen := make(map[string]bool)
	for i, l := range configuration.Links {
		field := fmt.Sprintf("/links/%d", i)
		c.require(c.regions[l.From], field+"/from", fmt.Sprintf("%q is not a region", l.From))
		c.require(c.regions[l.To], field+"/to", fmt.Sprintf("%q is not a region", l.To))
		c.require(l.From != l.To, field+"/to", "must be another region")
		c.require(l.BytesPerSecond > 0, field+"/bytes_per_second", "must be above 0")
		pair := l.From + " " + l.To
		c.require(!seen[pair], field, "duplicate link")
		seen[pair] = true
	}
}

func (c *Checker) checkRanks(configuration model.Configuration) {
	c.require(len(configuration.Ranks) > 0, "/ranks", "must contain a rank")
	floorSum := 0.0
	for i, r := range configuration.Ranks {
		field := fmt.Sprintf("/ranks/%d", i)
		c.requireUnique(c.ranks, r.Name, field+"/name")
		c.require(r.Floor >= 0 && r.Floor < 1, field+"/floor", "must be from 0 to below 1")
		floorSum += r.Floor
	}
	c.require(floorSum <= maxFloorSum, "/ranks", fmt.Sprintf("the sum of the floors exceeds %g", maxFloorSum))
}

func (c *Checker) checkServices(configuration model.Configuration) {
	for i, s := range configuration.Services {
		field := fmt.Sprintf("/services/%d", i)
		c.requireUnique(c.services, s.Name, field+"/name")
		c.require(s.SlotsPerServer > 0, field+"/slots_per_server", "must be above 0")
		c.require(s.ConnectionsPerServer >= s.SlotsPerServer, field+"/connections_per_server",
			"must not be below slots_per_server")
	}
}

func (c *Checker) checkKinds(configuration model.Configuration) {
	seen := make(map[string]bool)
	for i, k := range configuration.Kinds {
		field := fmt.Sprintf("/kinds/%d", i)
		c.requireUnique(seen, k.Name, field+"/name")
		c.require(c.services[k.Service], field+"/service", fmt.Sprintf("%q is not a service", k.Service))
		c.require(c.ranks[k.Rank], field+"/rank", fmt.Sprintf("%q is not a rank", k.Rank))
		c.require(k.Deadline.Duration > 0, field+"/deadline", "must be above 0")
		c.require(k.QueueLimit >= 0, field+"/queue_limit", "must not be negative")
		c.require(k.MaxBodyBytes >= 0, field+"/max_body_bytes", "must not be negative")
		c.require(k.AnswerBytes >= 0, field+"/answer_bytes", "must not be negative")
		c.require(len(k.Regions) > 0, field+"/regions", "must contain a region")
		for j, r := range k.Regions {
			c.require(r == model.HomeRegion || c.regions[r], fmt.Sprintf("%s/regions/%d", field, j),
				fmt.Sprintf("%q is not a region", r))
		}
	}
}

func (c *Checker) checkBlocks(configuration model.Configuration) {
	seen := make(map[netip.Prefix]bool)
	for i, b := range configuration.Blocks {
		field := fmt.Sprintf("/blocks/%d", i)
		prefix, err := netip.ParsePrefix(b.Prefix)
		c.require(err == nil, field+"/prefix", "must be an address block such as 192.0.2.0/24")
		c.require(c.domains[b.Domain], field+"/domain", fmt.Sprintf("%q is not a failure domain", b.Domain))
		c.require(err != nil || !seen[prefix.Masked()], field+"/prefix", "duplicate block")
		seen[prefix.Masked()] = true
	}
	c.require(len(c.domains) <= maxBlockDomains, "/regions", "too many failure domains")
}

func (c *Checker) checkLimits(configuration model.Configuration) {
	c.require(configuration.LookUp.TTL.Duration > 0, "/look_up/ttl", "must be above 0")
	c.require(configuration.LookUp.Entries > 0, "/look_up/entries", "must be above 0")
	c.require(configuration.Shift.Cap > 0 && configuration.Shift.Cap <= 1, "/shift/cap", "must be above 0 and at most 1")
	c.require(configuration.Shift.Period.Duration > 0, "/shift/period", "must be above 0")
	c.require(configuration.Shift.MinimumRequests >= 0, "/shift/minimum_requests", "must not be negative")
	c.require(configuration.Retry.Fraction >= 0 && configuration.Retry.Fraction <= 1, "/retry/fraction", "must be from 0 to 1")
	c.require(configuration.Retry.Burst >= 0, "/retry/burst", "must not be negative")
	c.require(configuration.Retry.Attempts >= 1, "/retry/attempts", "must be at least 1")
	c.require(configuration.Recovery.SlowStart.Duration >= 0, "/recovery/slow_start", "must not be negative")
	c.require(configuration.Recovery.Failures >= 1, "/recovery/failures", "must be at least 1")
	c.require(configuration.Recovery.Ejection.Duration > 0, "/recovery/ejection", "must be above 0")
	c.require(configuration.Recovery.MaxEjected >= 0 && configuration.Recovery.MaxEjected <= 1, "/recovery/max_ejected", "must be from 0 to 1")
	c.require(configuration.OnceOnly.TicketLifetime.Duration > 0, "/once_only/ticket_lifetime", "must be above 0")
	c.require(configuration.OnceOnly.KeyLifetime.Duration >= configuration.OnceOnly.TicketLifetime.Duration,
		"/once_only/key_lifetime", "must not be below ticket_lifetime")
	c.require(configuration.OnceOnly.ClaimsPerSecond >= 0, "/once_only/claims_per_second", "must not be negative")
}
