package steerer

const (
	// homeLoad is the load of a region up to which its callers' objects stay
	// in it, as a part of its slots when all regions ask for the same.
	homeLoad = 0.85
	// minShare keeps every region in an object's order, behind those that have
	// room for it.
	minShare = 0.02
)

// regionShares returns, per slot, the part of the own callers' objects that
// each region takes: as many as the own region has room for stay, the others
// go where there is room beyond what that region's own callers need. Every
// instance works this out for itself from the servers' records, on the
// assumption that all regions ask for the same.
func (s *Steerer) regionShares(v *service) map[string]float64 {
	slots := make(map[string]float64)
	total := 0.0
	for _, u := range v.servers {
		if !u.Draining && !s.evacuated[u.Domain] {
			slots[u.region] += float64(u.Slots)
			total += float64(u.Slots)
		}
	}
	regions := float64(max(len(s.regions()), 1))
	// room is what a region can take, in parts of all callers' objects.
	room := func(region string) float64 { return slots[region] / total / homeLoad }
	kept := func(region string) float64 { return min(1/regions, room(region)) }
	spare := 0.0
	for region := range slots {
		if region != s.Self.Region {
			spare += room(region) - kept(region)
		}
	}
	home := kept(s.Self.Region) * regions
	shares := make(map[string]float64, len(slots))
	for region, n := range slots {
		share := minShare * n / total
		switch {
		case region == s.Self.Region:
			share += home
		case spare > 0:
			share += (1 - home) * (room(region) - kept(region)) / spare
		}
		shares[region] = share / n
	}
	return shares
}

// regions returns the regions that the settings name.
func (s *Steerer) regions() map[string]bool {
	if s.regionNames == nil {
		s.regionNames = make(map[string]bool)
		for _, region := range s.Settings.Domains {
			s.regionNames[region] = true
		}
	}
	return s.regionNames
}
