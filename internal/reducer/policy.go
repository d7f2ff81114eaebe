package reducer

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/yuccathread/yuccathread/internal/locator"
	"github.com/yuccathread/yuccathread/internal/model"
)

// policy is a configuration made ready for decisions. It is never changed
// after compile.
type policy struct {
	model.Configuration

	version  int64
	kinds    map[string]*kindPolicy
	services map[string]model.Service
	regionOf map[string]string
	domains  map[string][]string
	drained  map[string]bool
	floors   []float64
	links    map[linkKey]float64
	locator  locator.Locator
	located  []string
	orders   map[orderKey][]string
	// largest is the size of the largest message between instances in bytes.
	largest int64
}

type kindPolicy struct {
	model.Kind

	rank int
	// regions is Regions as one word.
	regions string
}

type linkKey struct {
	from, to string
}

type orderKey struct {
	kind, home string
}

func compile(version int64, c model.Configuration) *policy {
	p := &policy{
		Configuration: c,
		version:       version,
		kinds:         make(map[string]*kindPolicy),
		services:      make(map[string]model.Service),
		regionOf:      make(map[string]string),
		domains:       make(map[string][]string),
		drained:       make(map[string]bool),
		links:         make(map[linkKey]float64),
		orders:        make(map[orderKey][]string),
	}
	ranks := make(map[string]int)
	for i, x := range c.Ranks {
		ranks[x.Name] = i
		p.floors = append(p.floors, x.Floor)
	}
	for _, x := range c.Kinds {
		p.kinds[x.Name] = &kindPolicy{Kind: x, rank: ranks[x.Rank], regions: strings.Join(x.Regions, ",")}
		p.largest = max(p.largest, x.MaxBodyBytes+envelopeBytes, x.AnswerBytes+envelopeBytes)
	}
	for _, x := range c.Services {
		p.services[x.Name] = x
	}
	for _, x := range c.Links {
		p.links[linkKey{from: x.From, to: x.To}] = float64(x.BytesPerSecond)
	}
	p.compileRegions()
	p.compileBlocks()
	return p
}

func (p *policy) compileRegions() {
	for _, x := range p.Regions {
		p.domains[x.Name] = x.Domains
		for _, domain := range x.Domains {
			p.regionOf[domain] = x.Name
		}
		for _, domain := range x.Drained {
			p.drained[domain] = true
		}
	}
}

func (p *policy) compileBlocks() {
	numbers := make(map[string]uint16)
	prefixes := make([]netip.Prefix, 0, len(p.Blocks))
	values := make([]uint16, 0, len(p.Blocks))
	for _, x := range p.Blocks {
		prefix, err := netip.ParsePrefix(x.Prefix)
		if err != nil {
			continue
		}
		n, ok := numbers[x.Domain]
		if !ok {
			n = uint16(len(p.located))
			numbers[x.Domain] = n
			p.located = append(p.located, x.Domain)
		}
		prefixes = append(prefixes, prefix)
		values = append(values, n)
	}
	p.locator.Build(prefixes, values)
}

// home returns the failure domain nearest to a client, or the fallback.
func (p *policy) home(client netip.Addr, fallback string) string {
	if !client.IsValid() {
		return fallback
	}
	n, ok := p.locator.Find(client)
	if !ok {
		return fallback
	}
	return p.located[n]
}

// order returns the failure domains that may run a kind of work, best first:
// the home, the rest of its region, then the other regions as configured.
// Drained failure domains come last.
func (p *policy) order(k *kindPolicy, home string) []string {
	key := orderKey{kind: k.Name, home: home}
	if order, ok := p.orders[key]; ok {
		return order
	}
	var order []string
	for _, region := range k.Regions {
		if region == model.Home {
			region = p.regionOf[home]
		}
		order = p.appendRegion(order, region, home)
	}
	kept := slices.DeleteFunc(slices.Clone(order), func(d string) bool { return p.drained[d] })
	last := slices.DeleteFunc(order, func(d string) bool { return !p.drained[d] })
	order = slices.Concat(kept, last)
	p.orders[key] = order
	return order
}

func (p *policy) appendRegion(order []string, region, home string) []string {
	domains := slices.Clone(p.domains[region])
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
