package steerer

import (
	"math"
	"time"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

const (
	// strongFraction is the smallest capacity of a strong instance, as a fraction of the
	// largest one of its region.
	strongFraction = 0.25
	// minStrong is the number of strong instances that suffice for a region, so that callers
	// have others left when one of them fails.
	minStrong = 3
	// minStrongShare is the part of a region's capacity that suffices for its callers.
	minStrongShare = 1.0 / 3
)

// chooseStrong returns the strong instances that are not busy, if these suffice for all
// callers, and all instances otherwise.
//
// Where few instances have many callers each, they meet each server often: connections stay
// in use, and what an instance knows of a server is fresh. The others take over when the
// strong ones fail or have too much to do.
func chooseStrong(found []traffic.Instance) []traffic.Instance {
	largest, total := 0, 0.0
	for _, i := range found {
		largest = max(largest, i.Capacity)
		total += weight(i)
	}
	var strong []traffic.Instance
	held := 0.0
	for _, i := range found {
		if !i.Busy && float64(i.Capacity) >= strongFraction*float64(largest) {
			strong = append(strong, i)
			held += weight(i)
		}
	}
	if len(strong) < minStrong || held < minStrongShare*total {
		return found
	}
	return strong
}

// weight is the part of a region's callers that an instance can serve, in units of its own.
// Capacity is the product of the processor and the link, of which the weaker one binds;
// their geometric mean lies between them.
func weight(i traffic.Instance) float64 {
	return math.Sqrt(float64(max(i.Capacity, 1)))
}

// observeLateness notes how late timers fire, and tells the others when this instance
// becomes busy or is so no more.
func (s *Steerer) observeLateness(late time.Duration) {
	s.overload.Observe(s.now, late)
	if busy := s.overload.Busy(); busy != s.Self.Busy {
		s.Self.Busy = busy
		s.recordStateChange("instance busy", attr("busy", busy))
		s.emit(traffic.AnnounceBusy{Busy: busy})
	}
}
