// Package stamper is a hybrid logical clock: its stamps stay close to wall
// time and order every cause before its effects across instances.
//
// Source: Kulkarni et al., "Logical Physical Clocks", 2014.
//
// Usage:
//
//	var s stamper.Stamper
//	sent := s.Next(now)
//	s.Merge(now, received)
package stamper

import (
	"time"

	"github.com/yuccathread/yuccathread/internal/model"
)

// maxDrift bounds how far a peer's clock may pull this one ahead.
const maxDrift = time.Minute

// Stamper issues stamps. The zero value is ready.
type Stamper struct {
	last model.Stamp
}

// Next returns a stamp later than all issued and merged before.
func (s *Stamper) Next(now time.Time) model.Stamp {
	wall := now.UnixMilli()
	if wall > s.last.WallMS {
		s.last = model.Stamp{WallMS: wall}
		return s.last
	}
	s.last.Logical++
	return s.last
}

// Merge takes in a stamp received from another instance. A stamp further
// ahead than a minute is ignored, so that one broken clock cannot spoil all.
func (s *Stamper) Merge(now time.Time, received model.Stamp) {
	if received.WallMS > now.Add(maxDrift).UnixMilli() {
		return
	}
	if received.WallMS > s.last.WallMS {
		s.last = received
		return
	}
	if received.WallMS == s.last.WallMS {
		s.last.Logical = max(s.last.Logical, received.Logical)
	}
}
