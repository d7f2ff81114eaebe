package steerer

import (
	"net/http"
	"time"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// noticeRetention is how long what a process has said of itself is kept after its record
// has gone: it may serve for many seconds more, and its record may return.
const noticeRetention = 10 * time.Minute

// notice is what a server's process has said of itself in its responses. It holds until
// the process ends, whatever the store says of the server meanwhile.
type notice struct {
	// leaving is set once the process has said that it leaves.
	leaving bool
	// pausedUntil is the time until which it wants no requests of this instance.
	pausedUntil time.Time
	// goneAt is when its record went; zero while the server is known.
	goneAt time.Time
}

// noticeOf returns the notice of a server's process: the former one if its record has
// only been away.
func (s *Steerer) noticeOf(r traffic.Upstream) *notice {
	n := s.notices[process{server: r.ID, started: r.Started}]
	if n == nil {
		return &notice{}
	}
	n.goneAt = time.Time{}
	return n
}

// keepNotice keeps the notice of a server's process beyond its record.
func (s *Steerer) keepNotice(u *upstream) {
	s.notices[process{server: u.ID, started: u.Started}] = u.notice
}

// expireNotices forgets what processes have said that are gone for good.
func (s *Steerer) expireNotices() {
	for key, n := range s.notices {
		if n.goneAt.IsZero() {
			continue
		}
		silent := !n.leaving && !s.now.Before(n.pausedUntil)
		if silent || s.now.Sub(n.goneAt) >= noticeRetention {
			delete(s.notices, key)
		}
	}
}

// observeNotice takes over what a server says of itself in a response. A misdirected
// response is another server's.
func (s *Steerer) observeNotice(u *upstream, reply traffic.Reply) {
	if reply.Status == 0 || reply.Misdirected {
		return
	}
	if reply.Leaving && !u.notice.leaving {
		u.notice.leaving = true
		s.keepNotice(u)
		s.recordStateChange("server says that it leaves", attr("server", u.ID), attr("in_flight", u.inFlight))
	}
	if reply.Status != http.StatusServiceUnavailable || reply.Pause <= 0 {
		return
	}
	until := s.now.Add(reply.Pause)
	if !s.isPaused(u) {
		s.recordStateChange("server wants a pause", attr("server", u.ID), attr("for", reply.Pause))
	}
	if until.After(u.notice.pausedUntil) {
		u.notice.pausedUntil = until
		s.keepNotice(u)
	}
}

// isPaused reports whether a server wants no requests of this instance at the moment.
func (s *Steerer) isPaused(u *upstream) bool {
	return s.now.Before(u.notice.pausedUntil)
}
