package steerer

import (
	"slices"
	"time"

	"github.com/yuccathread/yuccathread/internal/apportioner"
)

// idempotentProbeWait is how long after the end of its ejection a half-open server
// gets only idempotent requests.
const idempotentProbeWait = 3 * time.Second

// Obstacles that matter beyond the log.
const (
	// obstaclePause is that of a server that wants a pause.
	obstaclePause = "pause"
	obstacleTried = "tried"
)

// eligible returns the servers that may get a call if they have room, including those that
// it has already tried, with their scores for the call's object.
func (s *Steerer) eligible(c *call) []candidate {
	svc := s.service(c.service)
	shares := s.regionShares(svc)
	candidates := make([]candidate, 0, len(svc.servers))
	for _, u := range svc.servers {
		if s.obstacleTo(c, u) != "" {
			continue
		}
		weight := float64(u.Slots) * shares[u.region]
		candidates = append(candidates, candidate{server: u, score: svc.placer.Score(c.request.Object, u.ID, weight)})
	}
	return candidates
}

// obstacleTo returns why a server may not get a call, whatever its rates, or an empty string
// if it may.
func (s *Steerer) obstacleTo(c *call, u *upstream) string {
	if reason := s.obstacle(u); reason != "" {
		return reason
	}
	switch {
	case !c.mayRunIn(u.region):
		return "region"
	case !s.ejectorAllows(c, u):
		return "half_open"
	}
	return ""
}

// obstacleNow returns why a server may not get a call at the moment, its rates and earlier
// attempts included, or an empty string if it may.
func (s *Steerer) obstacleNow(c *call, u *upstream) string {
	if reason := s.obstacleTo(c, u); reason != "" {
		return reason
	}
	if c.tried[u.ID] {
		return obstacleTried
	}
	return s.rateObstacle(u)
}

// rateObstacle returns which rate of a server leaves no room for another request of this
// instance, or an empty string if none does.
func (s *Steerer) rateObstacle(u *upstream) string {
	switch {
	case !s.limitAllows(u):
		return "limit"
	case !s.coldLimitAllows(u):
		return "cold"
	}
	return ""
}

// hasRoom reports whether the rates of a server leave room for another request of this
// instance.
func (s *Steerer) hasRoom(u *upstream) bool {
	return s.rateObstacle(u) == ""
}

// obstacle returns why a server may get no requests, or an empty string if it may.
func (s *Steerer) obstacle(u *upstream) string {
	switch {
	case u.Draining:
		return "draining"
	case u.notice.leaving:
		return "leaving"
	case u.misdirected:
		return "misdirected"
	case u.implausible:
		return "implausible"
	case s.evacuated[u.Domain]:
		return "evacuated"
	case u.ejector.Ejected(s.now):
		return "ejected"
	case s.isPaused(u):
		return obstaclePause
	}
	return ""
}

func (s *Steerer) coldLimitAllows(u *upstream) bool {
	return !s.isCold(u) || u.pacer.CanTake(s.now, s.coldLimit(u))
}

// ejectorAllows limits a half-open server to one request at a time. It allows a
// request that must not run twice only if the server is still half-open
// idempotentProbeWait after the end of its ejection.
func (s *Steerer) ejectorAllows(c *call, u *upstream) bool {
	if !u.ejector.HalfOpen(s.now) || c.tried[u.ID] {
		return true
	}
	return u.inFlight == 0 && (c.idempotent || s.now.Sub(u.ejector.Returned()) > idempotentProbeWait)
}

func regionAllowed(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

// coldLimit returns the number of requests per second that this instance may send
// to a cold server. Each instance computes its share of the bound from hashes of
// the server and the instance names, so that the shares add up to the bound
// without coordination. They leave the slack to requests that are held up on their way
// and arrive within a later second.
func (s *Steerer) coldLimit(u *upstream) int {
	if !s.hasShares() {
		return 0
	}
	svc := s.policy.Services[u.Service]
	total := max(1, int(svc.ColdRate*s.Settings.Bounds.ColdFactor))
	size := s.divisor()
	share, rest := total/size, total%size
	if rest > 0 && s.coldRank(u) < rest {
		share++
	}
	return share
}

// coldRank returns this instance's rank for a server. It is computed once for each
// membership, since it takes a hash of every instance.
func (s *Steerer) coldRank(u *upstream) int {
	if u.rankOf != s.instances.generation {
		u.rank, u.rankOf = s.hashRank(u.ID), s.instances.generation
	}
	return u.rank
}

// hashRank returns this instance's rank among all instances, ordered by the hash
// of the server's and the instance's name.
func (s *Steerer) hashRank(server string) int {
	ownHash := apportioner.Hash(server, s.Self.Name)
	rank := 0
	for i := range s.instances.all() {
		if i.Name != s.Self.Name && apportioner.Hash(server, i.Name) < ownHash {
			rank++
		}
	}
	return rank
}
