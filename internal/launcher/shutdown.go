package launcher

import (
	"context"
	"net/http"
	"time"

	"github.com/yuccathread/yuccathread/internal/steerer"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

// shutDown stops gracefully: first look-ups stop returning this instance, then
// new connections are refused, then the requests in progress finish.
func (l *Launcher) shutDown(callerServer *http.Server) {
	started := l.Clock.Now()
	l.receiver.Stopping.Store(true)
	l.carrier.Handle(traffic.StopRequested{})
	l.registrar.Leave()
	time.Sleep(l.times.LookUpDrain())
	deadline := started.Add(l.Settings.Bounds.Grace.Duration - l.times.ExitMargin())
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
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
