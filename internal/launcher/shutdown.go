package launcher

import (
	"context"
	"log/slog"
	"time"

	"github.com/yuccathread/yuccathread/internal/pipeliner"
	"github.com/yuccathread/yuccathread/internal/steerer"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

// What a graceful stop waited for last.
const (
	waitedForStore    = "store"
	waitedForLookUps  = "look_ups"
	waitedForRequests = "requests"
)

// shutDown stops gracefully. Look-ups stop returning this instance, but callers may use
// older results for a while: until then it accepts connections, and refuses the requests
// that it can't finish. Then connections are refused, and the requests in progress finish.
func (l *Launcher) shutDown(callerServer *pipeliner.Pipeliner) {
	ctx, cancel := context.WithDeadline(context.Background(), l.Clock.Now().Add(l.times.StopLimit()))
	defer cancel()
	go l.watchSuspension(ctx, l.times.StopLimit(), cancel)
	l.receiver.Stopping.Store(true)
	l.carrier.Handle(traffic.StopRequested{})
	waitedFor := l.awaitLookUps(ctx, l.registrar.Leave())
	if l.inFlight() > 0 {
		waitedFor = waitedForRequests
	}
	// It fails only at the end of ctx, when what is left is counted.
	_ = callerServer.Shutdown(ctx)
	l.awaitAttempts(ctx)
	unfinished := l.inFlight()
	l.withdraw()
	l.forwarder.Close()
	level := slog.LevelInfo
	if unfinished > 0 {
		level = slog.LevelWarn
	}
	l.Logger.Log(context.Background(), level, "stopped", "cut_off", unfinished, "waited_for", waitedFor)
}

// awaitLookUps waits until no caller can have the result of a look-up that names this
// instance, at most until the end of ctx, and returns what it waited for. left is closed
// when the store has taken the news of the stop.
func (l *Launcher) awaitLookUps(ctx context.Context, left <-chan struct{}) string {
	select {
	case <-left:
	case <-ctx.Done():
		return waitedForStore
	}
	timer := time.NewTimer(l.times.LookUpDrain())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return waitedForLookUps
}

// awaitAttempts waits for attempts whose callers have left, at most until the end of ctx:
// they are requests that must not run twice and whose effects should be complete.
func (l *Launcher) awaitAttempts(ctx context.Context) {
	ticker := time.NewTicker(tickInterval / 5)
	defer ticker.Stop()
	for l.inFlight() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (l *Launcher) inFlight() (n int) {
	l.carrier.View(func(s *steerer.Steerer) { n = s.InFlight() })
	return n
}

// withdraw removes the own record from the store, in the time that is kept for the exit.
func (l *Launcher) withdraw() {
	ctx, cancel := context.WithTimeout(context.Background(), l.times.ExitMargin()/2)
	defer cancel()
	l.registrar.Withdraw(ctx)
}
