// Package launcher assembles an instance on a managed platform and runs it until
// it is told to stop.
//
// Usage:
//
//	l := &launcher.Launcher{Settings: s, Store: store, Codec: codec, ...}
//	err := l.Run(ctx)   // returns after ctx is cancelled and a graceful shutdown
package launcher

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"github.com/yuccathread/yuccathread/internal/acceptor"
	"github.com/yuccathread/yuccathread/internal/accountant"
	"github.com/yuccathread/yuccathread/internal/carrier"
	"github.com/yuccathread/yuccathread/internal/clock"
	"github.com/yuccathread/yuccathread/internal/collector"
	"github.com/yuccathread/yuccathread/internal/follower"
	"github.com/yuccathread/yuccathread/internal/forwarder"
	"github.com/yuccathread/yuccathread/internal/gossiper"
	"github.com/yuccathread/yuccathread/internal/publisher"
	"github.com/yuccathread/yuccathread/internal/receiver"
	"github.com/yuccathread/yuccathread/internal/registrar"
	"github.com/yuccathread/yuccathread/internal/relayer"
	"github.com/yuccathread/yuccathread/internal/steerer"
	"github.com/yuccathread/yuccathread/internal/timekeeper"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

const (
	// tickInterval is the time between two ticks of the reducer.
	tickInterval = 100 * time.Millisecond
	// sweepTicks is the number of ticks between two sweeps of idle connections.
	sweepTicks = 10
	// lendTimeout bounds a call to a lender of quotas. Requests wait less long for it.
	lendTimeout = 500 * time.Millisecond
	// maxBodyBytes limits the body of one request, where the configuration does not, and
	// that of one response.
	maxBodyBytes = 8 << 20
	// lentPercent is the part of the process's memory that is lent to what callers and
	// servers send. The rest is for the program, what it knows of the store, and the
	// garbage collector.
	lentPercent = 50
	// maxFailureLines limits the log lines per second about failed requests.
	maxFailureLines = 200
)

// Launcher runs one instance. Set the exported fields before Run.
type Launcher struct {
	Settings traffic.Settings
	Store    traffic.Store
	Codec    traffic.Codec
	// ReadyPath is the path of the platform's readiness check, LookUpPath that of
	// the callers' look-ups.
	ReadyPath  string
	LookUpPath string
	Clock      clock.Clock
	Logger     *slog.Logger
	// Reload receives changed settings; it may be nil.
	Reload <-chan traffic.Settings
	// Suspended returns for how long the machine has been suspended since it was started;
	// if it is nil, the kernel is asked.
	Suspended func() (time.Duration, error)

	times           timekeeper.Timekeeper
	registry        metrics.Registry
	accountant      *accountant.Accountant
	acceptor        *acceptor.Acceptor
	forwarder       *forwarder.Forwarder
	carrier         *carrier.Carrier
	receiver        *receiver.Receiver
	registrar       *registrar.Registrar
	publisher       *publisher.Publisher
	relayer         *relayer.Relayer
	frequentLimiter *rate.Limiter
	failureLimiter  *rate.Limiter
	// undecoded holds the fields of messages that were already logged as undecoded.
	undecoded sync.Map
}

// Run serves until ctx is cancelled and the graceful shutdown is complete.
func (l *Launcher) Run(ctx context.Context) error {
	l.build()
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	serveErrors := make(chan error, 4)
	if err := l.listenControl(serveErrors); err != nil {
		return err
	}
	l.startFollower(background)
	go l.register(background)
	go l.publisher.Run(background)
	l.Logger.Info("started", "caller_address", l.Settings.CallerAddress, "incarnation", l.registrar.Instance.Incarnation)
	callerServer, err := l.listenWhenSynced(ctx, serveErrors)
	if err != nil || callerServer == nil {
		return err
	}
	l.carrier.Handle(traffic.ServingStarted{})
	go l.tick(background)
	l.Logger.Info("serving", "address", l.Settings.CallerAddress)
	if err := l.loop(ctx, serveErrors); err != nil {
		return err
	}
	l.shutDown(callerServer)
	return nil
}

func (l *Launcher) build() {
	s := l.Settings
	self := traffic.Instance{
		Name:        s.Instance,
		Domain:      s.Domain,
		Region:      s.Region,
		Address:     s.CallerAddress,
		PeerAddress: s.PeerAddress,
		Capacity:    s.Capacity(),
		Incarnation: strconv.FormatUint(rand.Uint64(), 36),
	}
	if l.Suspended == nil {
		l.Suspended = machineSuspended
	}
	l.times = timekeeper.Timekeeper{Bounds: s.Bounds}
	l.registry = metrics.NewRegistry()
	l.frequentLimiter = rate.NewLimiter(rate.Limit(s.LogLines), max(s.LogLines, 1))
	l.failureLimiter = rate.NewLimiter(maxFailureLines, maxFailureLines)
	l.accountant = &accountant.Accountant{Limit: s.MemoryMB << 20 * lentPercent / 100, Refused: l.memoryRefused}
	l.acceptor = &acceptor.Acceptor{Limit: connectionLimit(s.MaxDescriptors, descriptorLimit), Accountant: l.accountant}
	l.forwarder = &forwarder.Forwarder{
		Codec:        l.Codec,
		Clock:        l.Clock,
		MaxBodyBytes: maxBodyBytes,
		// Each request has borrowed what a small response needs.
		Bodies:    &collector.Collector{Accountant: l.accountant, Free: receiver.ResponseBytes},
		Reserve:   l.acceptor.ReserveServer,
		Release:   l.acceptor.ReleaseServer,
		Opened:    func() { metrics.GetOrRegisterCounter("connections.opened", l.registry).Inc(1) },
		Undecoded: l.countUndecoded,
		RestEnded: func(u traffic.Upstream, err error) {
			l.carrier.Handle(traffic.RestEnded{Upstream: u, Err: err})
		},
	}
	l.registrar = &registrar.Registrar{Store: l.Store, Instance: self, Logger: l.Logger, Times: l.times}
	l.publisher = &publisher.Publisher{Store: l.Store, Logger: l.Logger, Timeout: l.times.LeaseCallTimeout()}
	l.carrier = &carrier.Carrier{
		Steerer:      &steerer.Steerer{Self: self, Settings: s},
		Forwarder:    l.forwarder,
		Clock:        l.Clock,
		Record:       l.record,
		Reannounce:   l.registrar.Reannounce,
		AnnounceBusy: l.registrar.SetBusy,
		Publish:      l.publisher.Publish,
	}
	lenders := gossiper.Gossiper{Timeout: lendTimeout}
	l.carrier.AskLender = lenders.Lend
	l.registrar.Kept = func(e traffic.RecordKept) { l.carrier.Handle(e) }
	peers := gossiper.Gossiper{Timeout: l.times.RelayWait() + l.times.RelayTimeout()}
	l.relayer = &relayer.Relayer{
		Store:   l.Store,
		Call:    peers.Changes,
		Readers: l.readers,
		Times:   l.times,
		Clock:   l.Clock,
		Logger:  l.Logger,
		Relayed: metrics.GetOrRegisterCounter("changes.relayed", l.registry),
		Direct:  metrics.GetOrRegisterCounter("changes.direct", l.registry),
	}
	l.receiver = &receiver.Receiver{
		Carrier:      l.carrier,
		Codec:        l.Codec,
		Clock:        l.Clock,
		Registry:     l.registry,
		MaxBodyBytes: maxBodyBytes,
		IdleTimeout:  defaultIdleTimeout,
		Bodies:       &collector.Collector{Accountant: l.accountant, Free: receiver.SmallBodyBytes},
	}
}

// register keeps this instance's record in the store. The first read of the store goes before
// the first write: whether the record of the process before this one is still there tells what
// the others count on.
func (l *Launcher) register(ctx context.Context) {
	l.awaitInstances(ctx, l.times.ReadTimeout())
	l.registrar.Run(ctx)
}

// awaitInstances waits until this instance knows the others, at most for a time.
func (l *Launcher) awaitInstances(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(tickInterval / 10)
	defer ticker.Stop()
	for {
		known := false
		l.carrier.View(func(s *steerer.Steerer) { known = s.KnowsInstances() })
		if known {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (l *Launcher) readers() (readers traffic.Readers) {
	l.carrier.View(func(s *steerer.Steerer) { readers = s.Readers() })
	return readers
}

// record writes a log line unless the rate limit on lines about requests is
// exceeded; it counts the lines left out.
func (l *Launcher) record(r traffic.Record) {
	if r.Frequent && !l.frequentLimiter.Allow() {
		metrics.GetOrRegisterCounter("log_lines.left_out", l.registry).Inc(1)
		return
	}
	if r.Level >= slog.LevelWarn && !l.failureLimiter.Allow() {
		metrics.GetOrRegisterCounter("log_lines.left_out", l.registry).Inc(1)
		return
	}
	l.Logger.LogAttrs(context.Background(), r.Level, r.Message, r.Attributes...)
}

// countUndecoded counts a header of a response that could not be decoded in full. It
// logs the first occurrence of each header.
func (l *Launcher) countUndecoded(header string) {
	metrics.GetOrRegisterCounter("responses.undecoded."+strings.ToLower(header), l.registry).Inc(1)
	if _, logged := l.undecoded.LoadOrStore(header, true); !logged {
		l.Logger.Warn("response header not decoded", "header", header)
	}
}

// memoryRefused logs and counts memory that a holder must do without.
func (l *Launcher) memoryRefused(loan traffic.Loan, lent int64) {
	metrics.GetOrRegisterCounter("memory.refused."+string(loan.Holder), l.registry).Inc(1)
	l.record(traffic.Record{
		Level:   slog.LevelWarn,
		Message: "memory refused",
		Attributes: []slog.Attr{
			slog.String("holder", string(loan.Holder)), slog.Int("rank", loan.Rank), slog.Int64("bytes", loan.Bytes),
			slog.Int64("lent", lent), slog.Int64("limit", l.accountant.Limit),
		},
	})
}

func (l *Launcher) startFollower(ctx context.Context) {
	f := &follower.Follower{
		Store:  l.relayer,
		Handle: l.carrier.Handle,
		Logger: l.Logger,
		Times:  l.times,
		Pause:  l.relayer.Pause,
	}
	go f.Run(ctx)
}

// tick passes ticks to the reducer until ctx ends, also while the instance stops.
func (l *Launcher) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case due := <-ticker.C:
			l.carrier.Handle(traffic.Ticked{Late: time.Since(due)})
		case <-ctx.Done():
			return
		}
		if n%sweepTicks == 0 {
			l.forwarder.Sweep()
			l.acceptor.Sweep(l.Clock.Now(), l.receiver.StallTimeout())
		}
	}
}

// loop passes changed settings to the reducer until the instance is told to stop or a
// listener fails.
func (l *Launcher) loop(ctx context.Context, serveErrors <-chan error) error {
	for {
		select {
		case s := <-l.Reload:
			l.carrier.Handle(traffic.SettingsReloaded{Settings: s})
			l.Logger.Info("settings reloaded")
		case err := <-serveErrors:
			return err
		case <-ctx.Done():
			return nil
		}
	}
}
