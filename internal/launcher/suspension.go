package launcher

import (
	"context"
	"time"

	"golang.org/x/sys/unix"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// machineSuspended returns for how long the machine has been suspended since it was
// started. The monotonic clock, and with it every timer, does not count that time; the
// grace time of a stop goes on.
func machineSuspended() (time.Duration, error) {
	var elapsed, running unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &elapsed); err != nil {
		return 0, err
	}
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &running); err != nil {
		return 0, err
	}
	return time.Duration(elapsed.Nano() - running.Nano()), nil
}

// watchSuspension reports each suspension of the machine to the reducer until ctx ends, and
// calls expire once limit has passed, suspensions included.
func (l *Launcher) watchSuspension(ctx context.Context, limit time.Duration, expire func()) {
	started := l.Clock.Now()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	before, err := l.Suspended()
	counted := time.Duration(0)
	for err == nil && l.Clock.Now().Sub(started)+counted < limit {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		var now time.Duration
		now, err = l.Suspended()
		if news := now - before - counted; news >= tickInterval {
			counted += news
			l.carrier.Handle(traffic.Suspended{For: news})
		}
	}
	if err != nil {
		l.Logger.Warn("suspensions of the machine are not noticed", "error", err.Error())
		return
	}
	expire()
}
