package launcher

import (
	"context"
	"net/http"
	"time"

	"github.com/yuccathread/yuccathread/internal/steerer"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

const (
	// departurePeriod is how long callers may use an answer that names this
	// instance: three times the lifetime of look-ups.
	departurePeriod = 3200 * time.Millisecond
	// exitMargin is kept of the grace period for the exit itself.
	exitMargin = 400 * time.Millisecond
)

// shutDown leaves gracefully: first look-ups stop naming this instance, then
// new connections are refused, then the requests under way end.
func (l *Launcher) shutDown(front *http.Server) {
	started := l.Clock.Now()
	l.receiver.Stopping.Store(true)
	l.carrier.Handle(traffic.StopRequested{})
	l.registrar.Leave()
	grace := l.Settings.Bounds.Grace.Duration
	time.Sleep(min(departurePeriod, grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(grace-exitMargin))
	defer cancel()
	err := front.Shutdown(ctx)
	cut := 0
	l.carrier.View(func(s *steerer.Steerer) { cut = s.InFlight() })
	l.registrar.Withdraw(ctx)
	l.forwarder.Close()
	if err != nil {
		l.Logger.Warn("stopped", "cut_off", cut, "error", err.Error())
		return
	}
	l.Logger.Info("stopped", "cut_off", cut)
}
