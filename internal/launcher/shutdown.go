package launcher

import (
	"context"
	"net/http"
	"time"

	"github.com/yuccathread/yuccathread/internal/steerer"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

const (
	// lookUpDrainPeriod is how long callers may still use the result of a look-up that
	// contains this instance: a little over three times the lifetime of a result.
	lookUpDrainPeriod = 3200 * time.Millisecond
	// exitMargin is the part of the grace period reserved for the exit of the process.
	exitMargin = 400 * time.Millisecond
)

// shutDown stops gracefully: first look-ups stop returning this instance, then
// new connections are refused, then the requests in progress finish.
func (l *Launcher) shutDown(callerServer *http.Server) {
	started := l.Clock.Now()
	l.receiver.Stopping.Store(true)
	l.carrier.Handle(traffic.StopRequested{})
	l.registrar.Leave()
	grace := l.Settings.Bounds.Grace.Duration
	time.Sleep(min(lookUpDrainPeriod, grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(grace-exitMargin))
	defer cancel()
	err := callerServer.Shutdown(ctx)
	unfinished := 0
	l.carrier.View(func(s *steerer.Steerer) { unfinished = s.InFlight() })
	l.registrar.Withdraw(ctx)
	l.forwarder.Close()
	if err != nil {
		l.Logger.Warn("stopped", "cut_off", unfinished, "error", err.Error())
		return
	}
	l.Logger.Info("stopped", "cut_off", unfinished)
}
