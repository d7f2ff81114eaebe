// Package sharer divides room that is short among organisations: by rank, and max-min
// fairly inside each rank.
//
// It measures, over a decaying window, the work that each organisation asks for and the
// work that finds room. While less finds room than is asked for, what finds room is divided:
// each rank gets its floor, or what it asks for if that is less; the rest goes to the most
// urgent rank that asks for more. Inside a rank, no organisation gets more than the level at
// which all of the rank's part is used (water-filling): those that ask for less get all they
// ask for, and what they leave is divided among the others.
//
// Each organisation earns credit at the rate of the level and pays with it for the work that
// is admitted. A request for which its organisation has no credit is beyond its share. A
// Sharer refuses nothing itself: the caller decides what a request beyond its share may use.
//
// Usage:
//
//	s := &sharer.Sharer{Window: 2 * time.Second, Floors: []float64{0, 0.3}, Horizon: time.Second}
//	share := s.Offer(now, rank, organisation, work)
//	s.Settle(now, rank, organisation, work, outcome)
//
// A Sharer is not safe for concurrent use.
package sharer

import (
	"math"
	"time"
)

const (
	// dividePeriod is the time after which the room is divided anew.
	dividePeriod = 100 * time.Millisecond
	// idleWindows is the number of windows without a request after which an organisation
	// is forgotten.
	idleWindows = 4
	// tolerance is the fraction of the work that may find no room before the room counts as
	// short.
	tolerance = 0.1
	// creditWindows is the credit that an organisation can save, in windows at the rate of
	// the level. It bounds what one that was idle gets at once.
	creditWindows = 0.5
)

// Sharer divides the room of one group of servers. Window is the time constant of what it
// measures, Floors the least part of each rank, the most urgent first; further ranks have
// that of the last. Horizon is the longest time after which a refused request is told to
// come back.
type Sharer struct {
	Window  time.Duration
	Floors  []float64
	Horizon time.Duration

	accounts map[accountKey]*account
	ranks    []rank
	// fitting is the work that found room.
	fitting   float64
	startedAt time.Time
	dividedAt time.Time
}

// Share tells how a request stands to the share of its organisation.
type Share struct {
	// Beyond is set if the organisation has used up its share.
	Beyond bool
	// Short is set while there is less room than work.
	Short bool
	// Level is the work per second, in slots, up to which the organisations of the rank
	// get all that they ask for, and Asked what this one asks for.
	Level float64
	Asked float64
}

// Outcome is what became of an offered request.
type Outcome struct {
	// Admitted is set if it was sent to a server, and Fitting if there was room for it.
	Admitted, Fitting bool
}

type accountKey struct {
	rank int
	name string
}

// account is the account of one organisation in one rank. Work is in seconds.
type account struct {
	asked    float64
	credit   float64
	earnedAt time.Time
	askedAt  time.Time
	// returnsAt is when the request that was refused last comes back.
	returnsAt time.Time
}

// rank is the state of one rank. level is the work per window up to which organisations get
// all that they ask for; it is infinite while there is room for all.
type rank struct {
	asked float64
	level float64
	// demands are those of the rank's organisations.
	demands []float64
}

// Offer counts a request that asks for room.
func (s *Sharer) Offer(now time.Time, rank int, name string, work time.Duration) Share {
	s.divide(now)
	rank = s.bounded(rank)
	a := s.account(now, rank, name)
	a.asked += work.Seconds()
	a.askedAt = now
	s.earn(now, a, s.ranks[rank].level)
	return s.shareOf(rank, a)
}

// Peek returns what Offer would, and counts nothing.
func (s *Sharer) Peek(now time.Time, rank int, name string) Share {
	s.divide(now)
	rank = s.bounded(rank)
	level := s.ranks[rank].level
	a := account{credit: s.maxCredit(level), earnedAt: now}
	if known := s.accounts[accountKey{rank: rank, name: name}]; known != nil {
		a = *known
	}
	s.earn(now, &a, level)
	return s.shareOf(rank, &a)
}

func (s *Sharer) shareOf(rank int, a *account) Share {
	share := Share{Asked: a.asked / s.span()}
	if level := s.ranks[rank].level; !math.IsInf(level, 1) {
		share.Short, share.Beyond = true, a.credit <= 0
		share.Level = level / s.span()
	}
	return share
}

// Settle tells what became of an offered request.
func (s *Sharer) Settle(now time.Time, rank int, name string, work time.Duration, o Outcome) {
	if o.Fitting {
		s.fitting += work.Seconds()
	}
	if !o.Admitted {
		return
	}
	rank = s.bounded(rank)
	a := s.account(now, rank, name)
	a.credit = max(a.credit-work.Seconds(), -s.maxCredit(s.ranks[rank].level))
}

// Return returns the time after which a refused request is expected to find room. Requests
// of an organisation come back in the order in which they were refused, at the rate of the
// level. The time is zero while there is room for all.
func (s *Sharer) Return(now time.Time, rank int, name string, work time.Duration) time.Duration {
	rank = s.bounded(rank)
	level := s.ranks[rank].level
	if math.IsInf(level, 1) {
		return 0
	}
	a := s.account(now, rank, name)
	if a.returnsAt.Before(now) {
		a.returnsAt = now
	}
	wait := s.Horizon
	if level > 0 {
		between := work.Seconds() / level * s.span()
		wait = min(wait, a.returnsAt.Sub(now)+time.Duration(min(between, s.Horizon.Seconds())*float64(time.Second)))
	}
	a.returnsAt = now.Add(wait)
	return wait
}

// Idle reports whether nobody has asked for room for so long that all is forgotten.
func (s *Sharer) Idle(now time.Time) bool {
	return now.Sub(s.dividedAt) > idleWindows*s.Window+dividePeriod
}

// Organisations returns the number of organisations, by rank, that are remembered.
func (s *Sharer) Organisations() int {
	return len(s.accounts)
}

// span returns the seconds that the measured work stands for: less than the window at first.
func (s *Sharer) span() float64 {
	measured := max(s.dividedAt.Sub(s.startedAt), dividePeriod).Seconds()
	return s.Window.Seconds() * (1 - math.Exp(-measured/s.Window.Seconds()))
}

// bounded maps a rank to one that is told apart, and makes sure of its state.
func (s *Sharer) bounded(r int) int {
	for len(s.ranks) < max(len(s.Floors), 1) {
		s.ranks = append(s.ranks, rank{level: math.Inf(1)})
	}
	return min(max(r, 0), len(s.ranks)-1)
}

func (s *Sharer) account(now time.Time, rank int, name string) *account {
	if s.accounts == nil {
		s.accounts = make(map[accountKey]*account)
	}
	key := accountKey{rank: rank, name: name}
	a := s.accounts[key]
	if a == nil {
		a = &account{earnedAt: now, askedAt: now, credit: s.maxCredit(s.ranks[rank].level)}
		s.accounts[key] = a
	}
	return a
}

// maxCredit returns the credit that an organisation can save, and the debt that it can have.
func (s *Sharer) maxCredit(level float64) float64 {
	return creditWindows * level
}

// earn adds the credit that an account has earned since the last time.
func (s *Sharer) earn(now time.Time, a *account, level float64) {
	elapsed := now.Sub(a.earnedAt).Seconds()
	a.earnedAt = now
	if math.IsInf(level, 1) {
		a.credit = level
		return
	}
	if math.IsInf(a.credit, 1) {
		// The room has just become short: what was asked for until now counts.
		a.credit = max(level-a.asked, -s.maxCredit(level))
	}
	a.credit = min(a.credit+level*elapsed/s.span(), s.maxCredit(level))
}
