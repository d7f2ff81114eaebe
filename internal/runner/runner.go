// Package runner builds an entry instance from its settings and runs it until
// it is told to stop.
//
// Usage:
//
//	r := runner.Runner{Settings: s, Clock: clock.System(), Logger: logger}
//	err := r.Run(ctx)   // ends after ctx: first a graceful shutdown
package runner

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/semaphore"

	"github.com/yuccathread/yuccathread/internal/answerer"
	"github.com/yuccathread/yuccathread/internal/clock"
	"github.com/yuccathread/yuccathread/internal/dispatcher"
	"github.com/yuccathread/yuccathread/internal/engine"
	"github.com/yuccathread/yuccathread/internal/executor"
	"github.com/yuccathread/yuccathread/internal/gossiper"
	"github.com/yuccathread/yuccathread/internal/lister"
	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
	"github.com/yuccathread/yuccathread/internal/patcher"
	"github.com/yuccathread/yuccathread/internal/reducer"
	"github.com/yuccathread/yuccathread/internal/storer"
)

const (
	// tickInterval is the time between two ticks of the reducer.
	tickInterval = 100 * time.Millisecond
	// peerTimeout bounds a control call between instances.
	peerTimeout = time.Second
	// readHeaderTimeout and readTimeout end slow senders.
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 90 * time.Second
	maxHeaderBytes    = 32 << 10
	// maxBodyBytes bounds request bodies of any kind.
	maxBodyBytes = 8 << 20
	// bodiesLimit bounds the bytes of all request bodies under way.
	bodiesLimit = 48 << 20
	// connections bounds the connections to one server; see docs/design.
	connections = 330
	// patchRetryDelay is the time between two tries to learn of a patch's fate.
	patchRetryDelay = 200 * time.Millisecond
	// shutdownLimit ends connections that stay open after the last answer.
	shutdownLimit = 2 * time.Second
)

// Runner is one entry instance. Set the fields before Run.
type Runner struct {
	Settings model.Settings
	Clock    clock.Clock
	Logger   *slog.Logger

	registry   metrics.Registry
	executor   *executor.Executor
	engine     *engine.Engine
	dispatcher *dispatcher.Dispatcher
	gossiper   *gossiper.Gossiper
	exited     chan message.Exit
}

// Run serves until ctx ends and the shutdown is over.
func (r *Runner) Run(ctx context.Context) error {
	self := r.self()
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.build(work, self)
	servers, failed, err := r.listen(self)
	if err != nil {
		return err
	}
	r.Logger.Info("serving", "address", self.Address, "peer_address", self.PeerAddress,
		"incarnation", self.Incarnation)
	err = r.loop(ctx, failed)
	r.shutDown(servers)
	r.dispatcher.Close()
	r.gossiper.Close()
	return err
}

func (r *Runner) self() model.Instance {
	s := r.Settings
	return model.Instance{
		Name:        s.Instance,
		Domain:      s.FailureDomain,
		Region:      s.Region,
		Incarnation: strconv.FormatUint(rand.Uint64(), 36),
		Address:     s.Address,
		PeerAddress: s.PeerAddress,
	}
}

func (r *Runner) build(ctx context.Context, self model.Instance) {
	s := r.Settings
	client := &http.Client{Timeout: s.PlatformTimeout.Duration, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	store := &storer.Storer{URL: s.StoreURL, Timeout: s.PlatformTimeout.Duration, Client: client}
	r.registry = metrics.NewRegistry()
	r.exited = make(chan message.Exit, 1)
	r.dispatcher = &dispatcher.Dispatcher{Clock: r.Clock, MaxAnswerBytes: s.MaxAnswerBytes, Connections: connections}
	r.gossiper = &gossiper.Gossiper{Timeout: peerTimeout}
	r.executor = &executor.Executor{
		Clock:           r.Clock,
		Logger:          r.Logger,
		Store:           store,
		List:            &lister.Lister{URL: s.ListURL, Timeout: s.PlatformTimeout.Duration, Client: client},
		Dispatcher:      r.dispatcher,
		Gossiper:        r.gossiper,
		Platform:        client,
		Domain:          s.FailureDomain,
		TimelineRecords: s.TimelineRecords,
		RetainedBytes:   s.RetainedBytes,
		Count:           r.count,
		Exited:          func(e message.Exit) { r.exited <- e },
	}
	r.engine = &engine.Engine{
		Reducer: &reducer.Reducer{Self: self, StopLimit: s.StopLimit.Duration},
		Clock:   r.Clock,
		Execute: r.executor.Execute,
	}
	r.executor.Run(ctx, r.engine)
}

func (r *Runner) count(result model.Result) {
	metrics.GetOrRegisterCounter("requests."+string(result.Outcome)+"."+string(result.Code), r.registry).Inc(1)
}

// listen opens both addresses and serves them.
func (r *Runner) listen(self model.Instance) ([]*http.Server, <-chan error, error) {
	a := &answerer.Answerer{
		Engine:       r.engine,
		Executor:     r.executor,
		Gossiper:     r.gossiper,
		Patcher:      &patcher.Patcher{Store: r.executor.Store, Clock: r.Clock, RetryDelay: patchRetryDelay},
		Registry:     r.registry,
		Clock:        r.Clock,
		Self:         self,
		MaxBodyBytes: maxBodyBytes,
		Bodies:       semaphore.NewWeighted(bodiesLimit),
	}
	public, err := a.Public()
	if err != nil {
		return nil, nil, err
	}
	peers, err := a.Peers()
	if err != nil {
		return nil, nil, err
	}
	failed := make(chan error, 2)
	var servers []*http.Server
	for _, x := range []struct {
		address string
		handler http.Handler
	}{{self.Address, public}, {self.PeerAddress, peers}} {
		server, err := r.serve(x.address, x.handler, failed)
		if err != nil {
			return nil, nil, err
		}
		servers = append(servers, server)
	}
	return servers, failed, nil
}

func (r *Runner) serve(address string, handler http.Handler, failed chan<- error) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("runner: %w", err)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(r.Logger.Handler(), slog.LevelDebug),
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			failed <- fmt.Errorf("runner: %w", err)
		}
	}()
	return server, nil
}

// loop ticks until the reducer ends the process.
func (r *Runner) loop(ctx context.Context, failed <-chan error) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	stop := ctx.Done()
	for {
		select {
		case <-ticker.C:
			r.engine.Do(message.Ticked{Random: rand.Uint64()})
		case <-stop:
			stop = nil
			r.engine.Do(message.StopRequested{})
		case e := <-r.exited:
			r.Logger.Info("stopped", "cut_off", e.InFlight)
			return nil
		case err := <-failed:
			return err
		}
	}
}

func (r *Runner) shutDown(servers []*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownLimit)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			_ = s.Close()
		}
	}
}
