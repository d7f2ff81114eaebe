// Package runner builds an entry instance from its settings and runs it until it
// is stopped.
//
// Usage:
//
//	r := runner.Runner{Settings: s, Clock: clock.System(), Logger: logger}
//	err := r.Run(ctx)   // returns after ctx ends and the graceful shutdown is done
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
	// peerTimeout bounds each control call to another instance.
	peerTimeout = time.Second
	// readHeaderTimeout and readTimeout close the connections of slow clients.
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 90 * time.Second
	maxHeaderBytes    = 32 << 10
	// maxBodyBytes bounds request bodies of any kind.
	maxBodyBytes = 8 << 20
	// maxTotalBodyBytes bounds the total bytes of the request bodies held in
	// memory.
	maxTotalBodyBytes = 48 << 20
	// maxConnsPerServer bounds the connections to one upstream server; see
	// docs/design.
	maxConnsPerServer = 330
	// patchRetryDelay is the time between two attempts to find out whether a
	// patch was accepted.
	patchRetryDelay = 200 * time.Millisecond
	// shutdownTimeout is how long open connections may take to finish once the
	// reducer has ended the process. Those still open are then closed.
	shutdownTimeout = 2 * time.Second
)

// Runner runs one entry instance. Set the exported fields before Run.
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

// Run serves until ctx ends and the graceful shutdown is done.
func (r *Runner) Run(ctx context.Context) error {
	self := r.self()
	workCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.build(workCtx, self)
	servers, serveErrors, err := r.listen(self)
	if err != nil {
		return err
	}
	r.Logger.Info("serving", "address", self.Address, "peer_address", self.PeerAddress,
		"incarnation", self.Incarnation)
	err = r.loop(ctx, serveErrors)
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
	r.dispatcher = &dispatcher.Dispatcher{Clock: r.Clock, MaxAnswerBytes: s.MaxAnswerBytes, MaxConnsPerServer: maxConnsPerServer}
	r.gossiper = &gossiper.Gossiper{Timeout: peerTimeout}
	r.executor = &executor.Executor{
		Clock:           r.Clock,
		Logger:          r.Logger,
		Store:           store,
		List:            &lister.Lister{URL: s.ListURL, Timeout: s.PlatformTimeout.Duration, Client: client},
		Dispatcher:      r.dispatcher,
		Gossiper:        r.gossiper,
		LoadClient:      client,
		Domain:          s.FailureDomain,
		TimelineRecords: s.TimelineRecords,
		RetainedBytes:   s.RetainedBytes,
		OnResult:        r.countResult,
		OnExit:          func(e message.Exit) { r.exited <- e },
	}
	r.engine = &engine.Engine{
		Reducer: &reducer.Reducer{Self: self, StopLimit: s.StopLimit.Duration},
		Clock:   r.Clock,
		Execute: r.executor.Execute,
	}
	r.executor.Start(ctx, r.engine)
}

func (r *Runner) countResult(result model.Result) {
	metrics.GetOrRegisterCounter("requests."+string(result.Outcome)+"."+string(result.Code), r.registry).Inc(1)
}

// listen starts the servers for the public and the peer address. Later errors of
// the servers are sent on the channel.
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
		BodyBudget:   semaphore.NewWeighted(maxTotalBodyBytes),
	}
	public, err := a.PublicHandler()
	if err != nil {
		return nil, nil, err
	}
	peers, err := a.PeerHandler()
	if err != nil {
		return nil, nil, err
	}
	serveErrors := make(chan error, 2)
	var servers []*http.Server
	for _, endpoint := range []struct {
		address string
		handler http.Handler
	}{{self.Address, public}, {self.PeerAddress, peers}} {
		server, err := r.serve(endpoint.address, endpoint.handler, serveErrors)
		if err != nil {
			return nil, nil, err
		}
		servers = append(servers, server)
	}
	return servers, serveErrors, nil
}

func (r *Runner) serve(address string, handler http.Handler, serveErrors chan<- error) (*http.Server, error) {
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
			serveErrors <- fmt.Errorf("runner: %w", err)
		}
	}()
	return server, nil
}

// loop sends ticks to the reducer until the reducer ends the process or a server
// fails. When ctx ends, it asks the reducer to stop.
func (r *Runner) loop(ctx context.Context, serveErrors <-chan error) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	stop := ctx.Done()
	for {
		select {
		case <-ticker.C:
			r.engine.Handle(message.Ticked{Random: rand.Uint64()})
		case <-stop:
			stop = nil
			r.engine.Handle(message.StopRequested{})
		case e := <-r.exited:
			r.Logger.Info("stopped", "cut_off", e.InFlight, "waited_for", string(e.WaitedFor))
			return nil
		case err := <-serveErrors:
			return err
		}
	}
}

func (r *Runner) shutDown(servers []*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			_ = s.Close()
		}
	}
}
