package reducer

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/yuccathread/yuccathread/internal/locator"
	"github.com/yuccathread/yuccathread/internal/model"
)

// policy is a configuration indexed for fast access. It does not change after
// compilePolicy, except for the cache in domainOrders.
type policy struct {
	model.Configuration

	version        int64
	kinds          map[string]*kindPolicy
	services       map[string]model.Service
	regionOf       map[string]string
	regionDomains  map[string][]string
	drained        map[string]bool
	floors         []float64
	links          map[linkKey]float64
	locator        locator.Locator
	locatedDomains []string
	domainOrders   map[orderKey][]string
	// largestMessage is the size in bytes of the largest message between
	// instances.
	largestMessage int64
}

type kindPolicy struct {
	model.Kind

	rank int
	// regionsKey is Regions joined with commas, for use in a flow.
	regionsKey string
}

type linkKey struct {
	from, to string
}

type orderKey struct {
	kind, home string
}

func compilePolicy(version int64, c model.Configuration) *policy {
	p := &policy{
		Configuration: c,
		version:       version,
		kinds:         make(map[string]*kindPolicy),
		services:      make(map[string]model.Service),
		regionOf:      make(map[string]string),
		regionDomains: make(map[string][]string),
		drained:       make(map[string]bool),
		links:         make(map[linkKey]float64),
		domainOrders:  make(map[orderKey][]string),
	}
	ranks := make(map[string]int)
	for i, rank := range c.Ranks {
		ranks[rank.Name] = i
		p.floors = append(p.floors, rank.Floor)
	}
	for _, kind := range c.Kinds {
		p.kinds[kind.Name] = &kindPolicy{Kind: kind, rank: ranks[kind.Rank], regionsKey: strings.Join(kind.Regions, ",")}
		p.largestMessage = max(p.largestMessage, kind.MaxBodyBytes+envelopeBytes, kind.AnswerBytes+envelopeBytes)
	}
	for _, service := range c.Services {
		p.services[service.Name] = service
	}
	for _, link := range c.Links {
		p.links[linkKey{from: link.From, to: link.To}] = float64(link.BytesPerSecond)
	}
	p.compileRegions()
	p.compileBlocks()
	return p
}

func (p *policy) compileRegions() {
	for _, region := range p.Regions {
		p.regionDomains[region.Name] = region.Domains
		for _, domain := range region.Domains {
			p.regionOf[domain] = region.Name
		}
		for _, domain := range region.Drained {
			p.drained[domain] = true
		}
	}
}

func (p *policy) compileBlocks() {
	indexes := make(map[string]uint16)
	prefixes := make([]netip.Prefix, 0, len(p.Blocks))
	domainIndexes := make([]uint16, 0, len(p.Blocks))
	for _, block := range p.Blocks {
		prefix, err := netip.ParsePrefix(block.Prefix)
		if err != nil {
			continue
		}
		index, ok := indexes[block.Domain]
		if !ok {
			index = uint16(len(p.locatedDomains))
			indexes[block.Domain] = index
			p.locatedDomains = append(p.locatedDomains, block.Domain)
		}
		prefixes = append(prefixes, prefix)
		domainIndexes = append(domainIndexes, index)
	}
	p.locator.Build(prefixes, domainIndexes)
}

// homeDomain returns the failure domain nearest to a client, or the fallback if
// the address is not valid or not in any address block.
func (p *policy) homeDomain(client netip.Addr, fallback string) string {
	if !client.IsValid() {
		return fallback
	}
	index, ok := p.locator.Find(client)
	if !ok {
		return fallback
	}
	return p.locatedDomains[index]
}

// domainOrder returns the failure domains that may run a kind of work, in order
// of preference: the regions as configured for the kind, and within the home's
// region the home first. Drained failure domains come last.
func (p *policy) domainOrder(k *kindPolicy, home string) []string {
	key := orderKey{kind: k.Name, home: home}
	if order, ok := p.domainOrders[key]; ok {
		return order
	}
	var order []string
	for _, region := range k.Regions {
		if region == model.HomeRegion {
			region = p.regionOf[home]
		}
		order = p.appendRegion(order, region, home)
	}
	active := slices.DeleteFunc(slices.Clone(order), func(d string) bool { return p.drained[d] })
	drained := slices.DeleteFunc(order, func(d string) bool { return !p.drained[d] })
	order = slices.Concat(active, drained)
	p.domainOrders[key] = order
	return order
}

func (p *policy) appendRegion(order []string, region, home string) []string {
	domains := slices.Clone(p.regionDomains[region])
	if i := slices.Index(domains, home); i > 0 {
		domains = append([]string{home}, slices.Delete(domains, i, i+1)...)
	}
	for _, domain := range domains {
		if !slices.Contains(order, domain) {
			order = append(order, domain)
		}
	}
	return order
}
