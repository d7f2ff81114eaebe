package steerer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/yuccathread/yuccathread/internal/apportioner"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

const (
	// limitRefresh is the time after which an instance computes its share of a limit anew.
	limitRefresh = time.Second
	// limitTolerance is the relative change of a limit that other instances need not know.
	limitTolerance = 0.1
)

// rateLimit is the number of requests per second that a server accepts from all
// instances together, and this instance's part of it. The zero value is no limit.
type rateLimit struct {
	limited   bool
	perSecond float64
	// bucket holds the requests that this instance may send. It starts empty.
	bucket      *rate.Limiter
	refreshedAt time.Time
}

// limitNews is a server's limit that the store does not hold.
type limitNews struct {
	since       time.Time
	publishedAt time.Time
}

// observeLimit takes over the limit that a server names in a response, or its end. A
// rejection that names none says nothing: the server may not have got so far.
func (s *Steerer) observeLimit(u *upstream, reply traffic.Reply) {
	named := reply.Limit
	if reply.Status == 0 || reply.Misdirected || !named.Known || !named.Limited && reply.NotRun {
		return
	}
	s.setLimit(u, named.Limited, named.PerSecond, "response")
}

func (s *Steerer) handleLimitSeen(l traffic.ServerLimit) {
	s.storedLimits[l.Server] = l
	u := s.upstreams[l.Server]
	// A copy may hold an older limit.
	outdated := u != nil && u.limit.limited && s.isRestored()
	if u != nil && u.Started == l.Started && !outdated {
		s.setLimit(u, l.Limited, l.PerSecond, "store")
	}
	s.compareLimits(l.Server)
}

func (s *Steerer) handleLimitGone(server string) {
	delete(s.storedLimits, server)
	if u := s.upstreams[server]; u != nil && !s.isRestored() {
		s.setLimit(u, false, 0, "store")
	}
	s.compareLimits(server)
}

func (s *Steerer) handleLimitsListed(servers map[string]bool) {
	for server := range s.storedLimits {
		if !servers[server] {
			s.handleLimitGone(server)
		}
	}
}

// applyStoredLimit gives a server that has just become known the limit that the store
// holds of its process.
func (s *Steerer) applyStoredLimit(u *upstream) {
	if stored := s.storedLimits[u.ID]; stored.Limited && stored.Started == u.Started {
		s.setLimit(u, true, stored.PerSecond, "store")
	}
}

func (s *Steerer) setLimit(u *upstream, limited bool, perSecond float64, source string) {
	former := s.limitOf(u)
	switch {
	case !limited:
		u.limit = rateLimit{}
	case !u.limit.limited:
		u.limit = rateLimit{limited: true, perSecond: perSecond, bucket: rate.NewLimiter(0, 1)}
		u.limit.bucket.AllowN(s.now, 1)
	case perSecond != u.limit.perSecond:
		u.limit.perSecond = perSecond
		u.limit.refreshedAt = time.Time{}
	}
	if u.limit.limited {
		s.bucketOf(u)
	}
	if limitsDiffer(s.limitOf(u), former) {
		s.recordStateChange("server limit", attr("server", u.ID), attr("limited", limited), attr("per_second", perSecond),
			attr("source", source), attr("share", s.limitShare(u)))
	}
	s.compareLimits(u.ID)
}

// limitOf returns the limit of a server as this instance knows it.
func (s *Steerer) limitOf(u *upstream) traffic.ServerLimit {
	return traffic.ServerLimit{Server: u.ID, Started: u.Started, Limited: u.limit.limited, PerSecond: u.limit.perSecond}
}

// limitsDiffer reports whether the difference between two limits matters to others.
func limitsDiffer(a, b traffic.ServerLimit) bool {
	if !a.Limited || !b.Limited {
		return a.Limited != b.Limited
	}
	return a.Started != b.Started || math.Abs(a.PerSecond-b.PerSecond) > limitTolerance*b.PerSecond
}

// limitAllows reports whether this instance's part of a server's limit allows a request.
func (s *Steerer) limitAllows(u *upstream) bool {
	return !u.limit.limited || s.bucketOf(u).TokensAt(s.now) >= 1
}

// takeFromLimit counts a request towards a server's limit.
func (s *Steerer) takeFromLimit(u *upstream) {
	if u.limit.limited {
		s.bucketOf(u).AllowN(s.now, 1)
	}
}

// limitWait returns the time until this instance may send a server a request. limited is
// false if the server has no limit, or this instance no part of it.
func (s *Steerer) limitWait(u *upstream) (wait time.Duration, limited bool) {
	if !u.limit.limited {
		return 0, false
	}
	bucket := s.bucketOf(u)
	if bucket.Limit() <= 0 {
		return 0, false
	}
	missing := max(0, 1-bucket.TokensAt(s.now))
	return time.Duration(missing / float64(bucket.Limit()) * float64(time.Second)), true
}

// bucketOf returns the bucket of a limited server with this instance's present share.
func (s *Steerer) bucketOf(u *upstream) *rate.Limiter {
	if s.now.Sub(u.limit.refreshedAt) >= limitRefresh {
		share := s.limitShare(u)
		u.limit.bucket.SetLimitAt(s.now, rate.Limit(share))
		u.limit.bucket.SetBurstAt(s.now, max(1, int(share)))
		u.limit.refreshedAt = s.now
	}
	return u.limit.bucket
}

// limitShare returns this instance's part of a server's limit, in requests per second. A
// limit of almost nothing still leaves one request now and then, without which nobody
// would learn of its end.
func (s *Steerer) limitShare(u *upstream) float64 {
	if !u.limit.limited || !s.isCounted() {
		return 0
	}
	lowest := float64(time.Second) / float64(max(s.Settings.Bounds.Reconnect.Duration, time.Second))
	return s.apportionerOf(u).Share(max(u.limit.perSecond, lowest), u.ID, s.Self.Name)
}

// apportionerOf returns the division of a server's limit among the instances. Those of a
// region have the weight of the objects of their callers that the server's region
// serves.
func (s *Steerer) apportionerOf(u *upstream) *apportioner.Apportioner {
	svc := s.service(u.Service)
	if s.now.Sub(svc.apportionedAt) >= limitRefresh {
		svc.apportioners = make(map[string]*apportioner.Apportioner)
		svc.apportionedAt = s.now
	}
	a := svc.apportioners[u.region]
	if a == nil {
		a = s.newApportioner(svc, u.region)
		svc.apportioners[u.region] = a
	}
	return a
}

func (s *Steerer) newApportioner(svc *service, region string) *apportioner.Apportioner {
	slots, total := s.regionSlots(svc)
	names := make(map[string][]string)
	for i := range s.instances.all() {
		names[i.Region] = append(names[i.Region], i.Name)
	}
	a := &apportioner.Apportioner{}
	for callers, members := range names {
		share := s.targetShares(callers, slots, total)[region] + minShare*slots[region]/max(total, 1)
		a.Groups = append(a.Groups, apportioner.Group{Weight: share / float64(len(members)), Names: members})
	}
	a.Sort()
	return a
}

// compareLimits notes whether the store holds a server's limit as this instance knows it.
func (s *Steerer) compareLimits(server string) {
	if !limitsDiffer(s.wantedLimit(server), s.storedLimits[server]) {
		delete(s.unpublishedLimits, server)
		return
	}
	if s.unpublishedLimits[server] == nil {
		s.unpublishedLimits[server] = &limitNews{since: s.now}
	}
}

// wantedLimit returns the limit of a server that the store should hold: none if the
// server is not known.
func (s *Steerer) wantedLimit(server string) traffic.ServerLimit {
	if u := s.upstreams[server]; u != nil {
		return s.limitOf(u)
	}
	return traffic.ServerLimit{Server: server}
}

// publishLimits writes limits that the store does not hold. One instance does so at once,
// and each further one only if those before it have had the time to do it.
func (s *Steerer) publishLimits() {
	if len(s.unpublishedLimits) == 0 || !s.joined() || s.store.unavailable {
		return
	}
	var limits []traffic.ServerLimit
	for server, news := range s.unpublishedLimits {
		if s.now.Sub(news.publishedAt) < s.times().JoinDelay() || s.now.Sub(news.since) < s.publishDelay(server) {
			continue
		}
		news.publishedAt = s.now
		limits = append(limits, s.wantedLimit(server))
	}
	if len(limits) == 0 {
		return
	}
	slices.SortFunc(limits, func(a, b traffic.ServerLimit) int { return cmp.Compare(a.Server, b.Server) })
	s.emit(traffic.PublishLimits{Limits: limits})
	s.recordStateChange("limits published", attr("servers", len(limits)), attr("first", limits[0].Server))
}

// publishDelay returns how long this instance leaves the limit of a server to others. The
// record of a server that is not known may be on its way.
func (s *Steerer) publishDelay(server string) time.Duration {
	if u := s.upstreams[server]; u != nil {
		return time.Duration(s.apportionerOf(u).Rank(server, s.Self.Name)) * s.times().JoinDelay()
	}
	return s.Settings.Bounds.Reconnect.Duration + time.Duration(s.hashRank(server))*s.times().JoinDelay()
}

// LimitedServers returns the number of servers with a limit.
func (s *Steerer) LimitedServers() int {
	limited := 0
	for _, u := range s.upstreams {
		if u.limit.limited {
			limited++
		}
	}
	return limited
}
