package launcher

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/yuccathread/yuccathread/internal/acceptor"
	"github.com/yuccathread/yuccathread/internal/explainer"
	"github.com/yuccathread/yuccathread/internal/exposer"
	"github.com/yuccathread/yuccathread/internal/pipeliner"
	"github.com/yuccathread/yuccathread/internal/steerer"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

const (
	// The defaults apply where the policy sets no limit.
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	defaultHeaderBytes   = 16 << 10
	// shownOrganisations bounds the number of organisations with metrics of their own.
	shownOrganisations = 20

	// One connection of a caller has this many requests in progress, which hold this many
	// bytes, before the next is read.
	maxRequestsAhead = 16
	maxBytesAhead    = 1 << 20
	// readAheadPercent is the part of the memory on loan up to which requests are read behind
	// others on their connections.
	readAheadPercent = 50
	// controlTimeout bounds the reading of a request for readiness, look-ups and metrics, and
	// the writing of its response.
	controlTimeout = 10 * time.Second
)

// listenControl serves readiness, look-ups and metrics.
func (l *Launcher) listenControl(serveErrors chan<- error) error {
	muxes := make(map[string]*http.ServeMux)
	add := func(address, pattern string, handler http.Handler) {
		if muxes[address] == nil {
			muxes[address] = http.NewServeMux()
		}
		muxes[address].Handle(pattern, handler)
	}
	add(l.Settings.ReadyAddress, "GET "+l.ReadyPath, http.HandlerFunc(l.receiver.Ready))
	add(l.Settings.LookUpAddress, "GET "+l.LookUpPath, http.HandlerFunc(l.receiver.LookUp))
	add(l.Settings.MetricsAddress, "POST /explain", &explainer.Explainer{Explain: l.carrier.Explain})
	add(l.Settings.MetricsAddress, "GET /metrics", &exposer.Exposer{Registry: l.registry, Prefix: "yuccathread_", Update: l.updateGauges})
	if l.Settings.PeerAddress != "" {
		mux := http.NewServeMux()
		if err := l.servePeers(mux); err != nil {
			return err
		}
		muxes[l.Settings.PeerAddress] = mux
	}
	for address, mux := range muxes {
		server := &http.Server{
			Handler:           acceptor.Track(mux),
			ConnContext:       acceptor.ConnContext,
			ReadHeaderTimeout: defaultHeaderTimeout,
			ReadTimeout:       controlTimeout,
			WriteTimeout:      controlTimeout,
			IdleTimeout:       defaultIdleTimeout,
			MaxHeaderBytes:    defaultHeaderBytes,
			ErrorLog:          slog.NewLogLogger(l.Logger.Handler(), slog.LevelDebug),
		}
		if err := l.serve(address, server, l.controlConnections(address), false, serveErrors); err != nil {
			return err
		}
	}
	return nil
}

func (l *Launcher) updateGauges() {
	for holder, bytes := range l.accountant.Held() {
		metrics.GetOrRegisterGauge("memory.lent_bytes."+string(holder), l.registry).Update(bytes)
	}
	metrics.GetOrRegisterGauge("connections.open", l.registry).Update(int64(l.acceptor.Open()))
	metrics.GetOrRegisterGauge("connections.gave_way", l.registry).Update(l.acceptor.GaveWay())
	l.carrier.View(func(s *steerer.Steerer) {
		metrics.GetOrRegisterGauge("in_flight", l.registry).Update(int64(s.InFlight()))
		metrics.GetOrRegisterGauge("configuration_version", l.registry).Update(s.Version())
		metrics.GetOrRegisterGauge("changes_age_ms", l.registry).Update(l.relayer.Age().Milliseconds())
		metrics.GetOrRegisterGauge("servers_limited", l.registry).Update(int64(s.LimitedServers()))
		for _, use := range s.BusiestOrganisations(shownOrganisations) {
			metrics.GetOrRegisterGauge("organisation_requests."+use.Name, l.registry).Update(use.Requests)
			metrics.GetOrRegisterGauge("organisation_refused."+use.Name, l.registry).Update(use.Refused)
		}
		quotas := s.QuotaUse()
		metrics.GetOrRegisterGauge("quota.slots_lent", l.registry).Update(int64(quotas.Slots))
		metrics.GetOrRegisterGauge("quota.queries", l.registry).Update(quotas.Queries)
		metrics.GetOrRegisterGauge("quota.refusals", l.registry).Update(quotas.Refusals)
		metrics.GetOrRegisterGauge("refused_beyond_share", l.registry).Update(int64(s.RefusedBeyondShare()))
		instances, dividedBy := s.Division()
		metrics.GetOrRegisterGauge("instances_known", l.registry).Update(int64(instances))
		metrics.GetOrRegisterGauge("bounds_divided_by", l.registry).Update(int64(dividedBy))
	})
}

// listenWhenSynced starts listening for callers once the reducer knows enough
// to serve requests. Until then connections are refused, so that callers use
// another instance.
func (l *Launcher) listenWhenSynced(ctx context.Context, serveErrors chan error) (*pipeliner.Pipeliner, error) {
	ticker := time.NewTicker(tickInterval / 5)
	defer ticker.Stop()
	for {
		var limits traffic.Limits
		synced := false
		l.carrier.View(func(s *steerer.Steerer) { synced, limits = s.Synced(), s.Limits() })
		if synced {
			callerServer := l.newCallerServer(limits)
			return callerServer, l.serve(l.Settings.CallerAddress, callerServer, l.callerConnections(), true, serveErrors)
		}
		select {
		case <-ticker.C:
		case err := <-serveErrors:
			return nil, err
		case <-ctx.Done():
			l.withdraw()
			l.Logger.Info("stopped before serving")
			return nil, nil
		}
	}
}

func (l *Launcher) newCallerServer(limits traffic.Limits) *pipeliner.Pipeliner {
	return &pipeliner.Pipeliner{
		Handler:           http.HandlerFunc(l.receiver.Serve),
		MayRepeat:         l.mayRepeat,
		ReadsAhead:        l.readsAhead,
		ConnContext:       l.receiver.ConnContext,
		ConnState:         l.receiver.ConnState,
		ReadHeaderTimeout: orDefault(limits.HeaderTimeout, defaultHeaderTimeout),
		IdleTimeout:       orDefault(limits.IdleTimeout, defaultIdleTimeout),
		MaxHeaderBytes:    orDefault(limits.HeaderBytes, defaultHeaderBytes),
		MaxRequests:       maxRequestsAhead,
		MaxBytes:          maxBytesAhead,
		ErrorLog:          slog.NewLogLogger(l.Logger.Handler(), slog.LevelDebug),
	}
}

// mayRepeat reports whether a request may run more than once.
func (l *Launcher) mayRepeat(r *http.Request) (repeats bool) {
	request := l.Codec.DecodeRequest(r)
	l.carrier.View(func(s *steerer.Steerer) { repeats = s.MayRepeat(request) })
	return repeats
}

// readsAhead reports whether there is memory for requests behind others on their connections:
// without it they would be refused, and unread they can wait.
func (l *Launcher) readsAhead() bool {
	return l.accountant.Lent() <= l.accountant.Limit/100*readAheadPercent
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

// server accepts connections until it is shut down.
type server interface {
	Serve(listener net.Listener) error
}

// serve serves an address on which at most most connections are open; yields is set if they
// give way to all others.
func (l *Launcher) serve(address string, server server, most int, yields bool, serveErrors chan<- error) error {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("launcher: %w", err)
	}
	listener := l.acceptor.Listen(inner, most, yields)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			serveErrors <- fmt.Errorf("launcher: %w", err)
		}
	}()
	return nil
}
