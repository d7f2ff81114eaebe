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
		if err := l.relayer.Serve(mux); err != nil {
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
		instances, dividedBy := s.Division()
		metrics.GetOrRegisterGauge("instances_known", l.registry).Update(int64(instances))
		metrics.GetOrRegisterGauge("bounds_divided_by", l.registry).Update(int64(dividedBy))
	})
}

// listenWhenSynced starts listening for callers once the reducer knows enough
// to serve requests. Until then connections are refused, so that callers use
// another instance.
func (l *Launcher) listenWhenSynced(ctx context.Context, serveErrors chan error) (*http.Server, error) {
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

func (l *Launcher) newCallerServer(limits traffic.Limits) *http.Server {
	return &http.Server{
		Handler: http.HandlerFunc(l.receiver.Serve),
		// A success that no server has given must not be sent, also not to OPTIONS *.
		DisableGeneralOptionsHandler: true,
		ConnContext:                  l.receiver.ConnContext,
		ConnState:                    l.receiver.ConnState,
		ReadHeaderTimeout:            orDefault(limits.HeaderTimeout, defaultHeaderTimeout),
		IdleTimeout:                  orDefault(limits.IdleTimeout, defaultIdleTimeout),
		MaxHeaderBytes:               orDefault(limits.HeaderBytes, defaultHeaderBytes),
		ErrorLog:                     slog.NewLogLogger(l.Logger.Handler(), slog.LevelDebug),
	}
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

// serve serves an address on which at most most connections are open; yields is set if they
// give way to all others.
func (l *Launcher) serve(address string, server *http.Server, most int, yields bool, serveErrors chan<- error) error {
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
