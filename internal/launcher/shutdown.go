package launcher

import (
	"context"
	"net/http"
	"time"

	"github.com/yuccathread/yuccathread/internal/steerer"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

// shutDown stops gracefully. Look-ups stop returning this instance, but callers may use
// older results for a while: until then it accepts connections, and refuses the requests
// that it can't finish. Then connections are refused, and the requests in progress finish.
func (l *Launcher) shutDown(callerServer *http.Server) {
	ctx, cancel := context.WithDeadline(context.Background(), l.Clock.Now().Add(l.times.StopLimit()))
	defer cancel()
	go l.watchSuspension(ctx, l.times.StopLimit(), cancel)
	l.receiver.Stopping.Store(true)
	l.carrier.Handle(traffic.StopRequested{})
	left := l.registrar.Leave()
	l.awaitLookUps(ctx, left)
	err := callerServer.Shutdown(ctx)
	l.awaitAttempts(ctx)
	unfinished := l.inFlight()
	l.withdraw()
	l.forwarder.Close()
	if unfinished > 0 {
		l.Logger.Warn("stopped", "cut_off", unfinished, "error", errorText(err))
		return
	}
	l.Logger.Info("stopped", "cut_off", unfinished)
}

// awaitLookUps waits until no caller can have the result of a look-up that names this
// instance, at most until the end of ctx. left is closed when the store has taken the news
// of the stop.
func (l *Launcher) awaitLookUps(ctx context.Context, left <-chan struct{}) {
	select {
	case <-left:
	case <-ctx.Done():
		l.Logger.Warn("stopped before the store knows of it")
		return
	}
	timer := time.NewTimer(l.times.LookUpDrain())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
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

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
