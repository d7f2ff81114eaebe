package steerer

import (
	"log/slog"
	"math"
	"time"

	"github.com/yuccathread/yuccathread/internal/sharer"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

const (
	// roomWindow is the time constant with which the demand of organisations is measured.
	roomWindow = 2 * time.Second
	// beyondFraction is the part of the longest queue of a call's rank that is open to
	// organisations beyond their share. It is below those of all ranks for the others.
	beyondFraction = 0.3
)

// crowdedFraction is the queue, as a fraction of a server's slots, from which on there counts
// as no room: that at which the least urgent rank gets none.
var crowdedFraction = queueFractions[len(queueFractions)-1]

// rankFloors holds, for each rank, the least part of the room that it keeps if it asks for
// it, see docs/design/floods.md.
var rankFloors = []float64{0, 0.30, 0.15}

// roomKey identifies the servers whose room is shared.
type roomKey struct {
	service, region string
}

// roomClaim is what a call asks of the room of its servers.
type roomClaim struct {
	room  *sharer.Sharer
	share sharer.Share
	work  time.Duration
}

// withinShare returns the best choice for a call, or a refusal if the call's organisation has
// used up its share and the queue of the best server is open only to those that have not.
// The call is not sent to another server instead, which would have to learn the object.
func (s *Steerer) withinShare(c *call, best choice, preferred *upstream) choice {
	s.claimRoom(c, preferred)
	if best.server == nil || !c.claim.share.Beyond || best.load < queueRoom(best.server, beyondFraction*queueFraction(c.rank())) {
		return best
	}
	best.server, best.beyondShare = nil, true
	return best
}

// queueRoom returns the load of a server whose queue is a fraction of its slots.
func queueRoom(u *upstream, fraction float64) float64 {
	return float64(u.Slots) * (1 + fraction)
}

// claimRoom counts the work that a call asks for, once. Only policies with organisations
// share the room.
func (s *Steerer) claimRoom(c *call, preferred *upstream) {
	if len(s.organisations) == 0 || c.claim.room != nil {
		return
	}
	region := s.Self.Region
	if preferred != nil {
		region = preferred.region
	}
	c.claim.room = s.room(roomKey{service: c.service, region: region})
	c.claim.work = c.route.workTimes.mean(c.route.Sticky && c.request.Object != "")
	if c.explained {
		c.claim.share = c.claim.room.Peek(s.now, c.rank(), c.organisationName())
		return
	}
	c.claim.share = c.claim.room.Offer(s.now, c.rank(), c.organisationName(), c.claim.work)
}

func (s *Steerer) room(key roomKey) *sharer.Sharer {
	r := s.rooms[key]
	if r == nil {
		r = &sharer.Sharer{Window: roomWindow, Floors: rankFloors, Horizon: maxRetryAfter}
		if s.rooms == nil {
			s.rooms = make(map[roomKey]*sharer.Sharer)
		}
		s.rooms[key] = r
	}
	return r
}

// removeIdleRooms forgets the rooms that nobody has asked for lately.
func (s *Steerer) removeIdleRooms() {
	for key, r := range s.rooms {
		if r.Idle(s.now) {
			delete(s.rooms, key)
		}
	}
}

// settleRoom tells the room of a call's servers what became of the call at first.
func (s *Steerer) settleRoom(c *call, first choice) {
	if c.claim.room == nil || c.attempts > 0 {
		return
	}
	o := sharer.Outcome{Admitted: first.server != nil}
	o.Fitting = o.Admitted && first.load < queueRoom(first.server, crowdedFraction)
	c.claim.room.Settle(s.now, c.rank(), c.organisationName(), c.claim.work, o)
}

// returnAfter returns when a call that found no room is to come back: where the room is
// short, in its turn.
func (s *Steerer) returnAfter(c *call, reason traffic.Refusal, retryAfter time.Duration) time.Duration {
	if reason != traffic.Overloaded || c.claim.room == nil {
		return retryAfter
	}
	if c.lastChoice.beyondShare {
		s.refusedBeyondShare++
	}
	if inTurn := c.claim.room.Return(s.now, c.rank(), c.organisationName(), c.claim.work); inTurn > 0 {
		return minRetryAfter + inTurn
	}
	return retryAfter
}

// RefusedBeyondShare returns the number of calls refused since their organisations had used
// up their share of the room.
func (s *Steerer) RefusedBeyondShare() int {
	return s.refusedBeyondShare
}

// roomAttributes returns the log attributes of a call's share of the room while it is short,
// in slots.
func roomAttributes(c *call) []slog.Attr {
	if !c.claim.share.Short {
		return nil
	}
	round := func(slots float64) float64 { return math.Round(slots*100) / 100 }
	attributes := []slog.Attr{
		attr("room_level", round(c.claim.share.Level)), attr("organisation_share", round(c.claim.share.Asked)),
	}
	if c.lastChoice.beyondShare {
		attributes = append(attributes, attr("beyond_share", true))
	}
	return attributes
}
