// Package launcher puts an instance on a managed platform together and runs it
// until it is told to stop.
//
// Usage:
//
//	l := &launcher.Launcher{Settings: s, Store: store, Codec: codec, ...}
//	err := l.Run(ctx)   // ends after ctx: first a graceful shutdown
package launcher

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"

	"github.com/yuccathread/yuccathread/internal/carrier"
	"github.com/yuccathread/yuccathread/internal/clock"
	"github.com/yuccathread/yuccathread/internal/follower"
	"github.com/yuccathread/yuccathread/internal/forwarder"
	"github.com/yuccathread/yuccathread/internal/receiver"
	"github.com/yuccathread/yuccathread/internal/registrar"
	"github.com/yuccathread/yuccathread/internal/steerer"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

const (
	// tickInterval is the time between two ticks of the reducer.
	tickInterval = 100 * time.Millisecond
	// sweepTicks is the number of ticks between two looks at idle connections.
	sweepTicks = 10
	// maxBodyBytes bounds one body of either direction, bodiesPart the request
	// bodies of all together, as a divisor of the memory.
	maxBodyBytes = 8 << 20
	bodiesPart   = 4
	// followWait ends a quiet call of the store, so that a connection gone
	// silent is noticed within the operators' bounds.
	followWait = 3 * time.Second
	// pausePart of the shortest time in which the store's news must be in force
	// is waited between two calls, in percent: the servers' reports gather
	// meanwhile, and the rest is for a call that fails.
	pausePart = 55
	// failureLines bounds the lines a second about requests that failed.
	failureLines = 200
)

// Launcher runs one instance. Set the exported fields before Run.
type Launcher struct {
	Settings traffic.Settings
	Store    traffic.Store
	Codec    traffic.Codec
	// ReadyPath and LookUpPath are where the platform and callers ask.
	ReadyPath  string
	LookUpPath string
	Clock      clock.Clock
	Logger     *slog.Logger
	// Reload delivers new settings; it may be nil.
	Reload <-chan traffic.Settings

	registry  metrics.Registry
	forwarder *forwarder.Forwarder
	carrier   *carrier.Carrier
	receiver  *receiver.Receiver
	registrar *registrar.Registrar
	frequent  *rate.Limiter
	failures  *rate.Limiter
}

// Run serves until ctx ends and the shutdown is over.
func (l *Launcher) Run(ctx context.Context) error {
	l.build()
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, 4)
	if err := l.listenControl(failed); err != nil {
		return err
	}
	l.follow(work)
	go l.registrar.Run(work)
	l.Logger.Info("started", "caller_address", l.Settings.CallerAddress, "incarnation", l.registrar.Instance.Incarnation)
	front, err := l.listenWhenInformed(ctx, failed)
	if err != nil || front == nil {
		return err
	}
	l.carrier.Handle(traffic.ServingStarted{})
	l.Logger.Info("serving", "address", l.Settings.CallerAddress)
	if err := l.loop(ctx, failed); err != nil {
		return err
	}
	l.shutDown(front)
	return nil
}

func (l *Launcher) build() {
	s := l.Settings
	self := traffic.Instance{
		Name:        s.Instance,
		Domain:      s.Domain,
		Region:      s.Region,
		Address:     s.CallerAddress,
		Incarnation: strconv.FormatUint(rand.Uint64(), 36),
	}
	l.registry = metrics.NewRegistry()
	l.frequent = rate.NewLimiter(rate.Limit(s.LogLines), max(s.LogLines, 1))
	l.failures = rate.NewLimiter(failureLines, failureLines)
	l.forwarder = &forwarder.Forwarder{
		Codec:        l.Codec,
		Clock:        l.Clock,
		MaxBodyBytes: maxBodyBytes,
		Opened:       func() { metrics.GetOrRegisterCounter("connections.opened", l.registry).Inc(1) },
	}
	l.registrar = &registrar.Registrar{Store: l.Store, Instance: self, Logger: l.Logger}
	l.carrier = &carrier.Carrier{
		Steerer:    &steerer.Steerer{Self: self, Settings: s},
		Forwarder:  l.forwarder,
		Clock:      l.Clock,
		Record:     l.record,
		Reannounce: l.registrar.Reannounce,
	}
	l.receiver = &receiver.Receiver{
		Carrier:      l.carrier,
		Codec:        l.Codec,
		Clock:        l.Clock,
		Registry:     l.registry,
		MaxBodyBytes: maxBodyBytes,
		BodyMemory:   semaphore.NewWeighted(max(s.MemoryMB<<20/bodiesPart, maxBodyBytes)),
	}
}

// record writes a log line, within the bounds on lines about requests.
func (l *Launcher) record(r traffic.Record) {
	if r.Frequent && !l.frequent.Allow() {
		metrics.GetOrRegisterCounter("log_lines.left_out", l.registry).Inc(1)
		return
	}
	if r.Level >= slog.LevelWarn && !l.failures.Allow() {
		metrics.GetOrRegisterCounter("log_lines.left_out", l.registry).Inc(1)
		return
	}
	l.Logger.LogAttrs(context.Background(), r.Level, r.Message, r.Attributes...)
}

func (l *Launcher) follow(ctx context.Context) {
	bounds := l.Settings.Bounds
	f := &follower.Follower{
		Store:  l.Store,
		Handle: l.carrier.Handle,
		Logger: l.Logger,
		Wait:   followWait,
		Pause:  min(bounds.Drain.Duration, bounds.Apply.Duration) * pausePart / 100,
	}
	go f.Run(ctx)
}

// loop ticks until the instance is told to stop.
func (l *Launcher) loop(ctx context.Context, failed <-chan error) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ticker.C:
			l.carrier.Handle(traffic.Ticked{})
			if n%sweepTicks == 0 {
				l.forwarder.Sweep()
			}
		case s := <-l.Reload:
			l.carrier.Handle(traffic.SettingsReloaded{Settings: s})
			l.Logger.Info("settings reloaded")
		case err := <-failed:
			return err
		case <-ctx.Done():
			return nil
		}
	}
}
