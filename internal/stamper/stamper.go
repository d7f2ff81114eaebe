// Package stamper implements a hybrid logical clock: its stamps stay close to
// wall time, and the stamp of a cause is lower than those of its effects, also
// across instances.
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

// maxDrift limits how far a peer's stamp may advance this clock beyond wall time.
const maxDrift = time.Minute

// Stamper issues stamps. The zero value is ready to use.
type Stamper struct {
	last model.Stamp
}

// Next returns a stamp later than all stamps issued or merged before.
func (s *Stamper) Next(now time.Time) model.Stamp {
	wall := now.UnixMilli()
	if wall > s.last.WallMS {
		s.last = model.Stamp{WallMS: wall}
		return s.last
	}
	s.last.Logical++
	return s.last
}

// Merge advances the clock to a stamp received from another instance. A stamp
// more than maxDrift ahead is ignored, so that one wrong clock cannot advance
// the clocks of all instances.
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
