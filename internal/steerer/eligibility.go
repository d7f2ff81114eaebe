package steerer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// trialWait is how long a server back in use waits for an idempotent request as
// its first.
const trialWait = 3 * time.Second

// eligible returns the servers that may get a call or have had it, with their
// places in the object's order.
func (s *Steerer) eligible(c *call) []candidate {
	v := s.service(c.service)
	shares := s.regionShares(v)
	found := make([]candidate, 0, len(v.servers))
	for _, u := range v.servers {
		if !s.usable(u) || !s.mayTry(c, u) || !allowedIn(c.route.Homes, u.region) {
			continue
		}
		weight := float64(u.Slots) * shares[u.region]
		found = append(found, candidate{server: u, score: v.placer.Score(c.request.Object, u.ID, weight)})
	}
	return found
}

func (s *Steerer) usable(u *upstream) bool {
	if u.Draining || u.misdirected || s.evacuated[u.Domain] || u.ejector.Ejected(s.now) {
		return false
	}
	return !s.cold(u) || u.pacer.Room(s.now, s.coldShare(u))
}

// mayTry keeps all but single requests from a server on trial; those that must
// not run twice are sent there only where no others come.
func (s *Steerer) mayTry(c *call, u *upstream) bool {
	if !u.ejector.OnTrial(s.now) || c.tried[u.ID] {
		return true
	}
	return u.inFlight == 0 && (c.route.Idempotent || s.now.Sub(u.ejector.Returned()) > trialWait)
}

func allowedIn(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

// coldShare is the number of requests a second that this instance may send to
// a cold server. Instances divide the bound by a server's hash, so that the
// parts of all instances add up to it without messages.
func (s *Steerer) coldShare(u *upstream) int {
	v := s.policy.Services[u.Service]
	bounds := s.Settings.Bounds
	total := int(v.ColdRate*bounds.ColdFactor + bounds.ColdSlack)
	size := s.instances.size()
	share := total / size
	if s.hashOrder(u.ID) < total%size {
		share++
	}
	return share
}

// hashOrder is this instance's place among all in a server's order.
func (s *Steerer) hashOrder(server string) int {
	own := xxhash.Sum64String(server + "\x00" + s.Self.Name)
	before := 0
	for name := range s.instances.records {
		if name != s.Self.Name && xxhash.Sum64String(server+"\x00"+name) < own {
			before++
		}
	}
	return before
}
