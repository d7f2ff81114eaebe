// Package demonstrator runs stand-ins, and a whole small fleet for a first try.
//
// Usage:
//
//	d := demonstrator.Demonstrator{Clock: clock.System(), Logger: logger}
//	err := d.Run(ctx)                // the demonstration, in one process
//	err := d.RunStandIns(ctx, s)     // stand-ins only
package demonstrator

import (
	"context"
	_ "embed" // The demonstration's configuration.
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/yuccathread/yuccathread/internal/clock"
	"github.com/yuccathread/yuccathread/internal/fakeplatform"
	"github.com/yuccathread/yuccathread/internal/fakeupstream"
	"github.com/yuccathread/yuccathread/internal/model"
	"github.com/yuccathread/yuccathread/internal/patcher"
	"github.com/yuccathread/yuccathread/internal/runner"
	"github.com/yuccathread/yuccathread/internal/settings"
	"github.com/yuccathread/yuccathread/internal/storer"
)

//go:embed configuration.jsonc
var configuration []byte

const (
	platformAddress = "127.0.0.1:7000"
	storeTimeout    = time.Second
	closeLimit      = time.Second
	// submitDelay is the time between two tries to reach the store.
	submitDelay = 10 * time.Millisecond
	// upstreamPort is the port of the first upstream stand-in.
	upstreamPort = 7100
	// serversPerService is the number of servers of each service and failure domain.
	serversPerService = 2
)

// Demonstrator runs stand-ins and entry instances in this process.
type Demonstrator struct {
	Clock  clock.Clock
	Logger *slog.Logger
}

// Run runs a platform, eight servers in two regions and two entry instances
// until ctx ends.
func (d *Demonstrator) Run(ctx context.Context) error {
	standIns := d.standIns()
	group, ctx := errgroup.WithContext(ctx)
	standing, cancel := context.WithCancel(context.WithoutCancel(ctx))
	entries, _ := errgroup.WithContext(ctx)
	group.Go(func() error { return d.RunStandIns(standing, standIns) })
	if err := d.submit(ctx); err != nil {
		cancel()
		return err
	}
	for _, s := range d.instances() {
		r := runner.Runner{Settings: s, Clock: d.Clock, Logger: d.Logger.With("instance", s.Instance)}
		entries.Go(func() error { return r.Run(ctx) })
	}
	group.Go(func() error {
		defer cancel()
		return entries.Wait()
	})
	return group.Wait()
}

// instances are the settings of the two entry instances.
func (d *Demonstrator) instances() []model.Settings {
	var l settings.Loader
	first := l.Defaults()
	second := l.Defaults()
	second.Instance = "namur-a-1"
	second.FailureDomain = "namur-a"
	second.Region = "wallonia"
	second.Address = "127.0.0.1:8081"
	second.PeerAddress = "127.0.0.1:8181"
	return []model.Settings{first, second}
}

func (d *Demonstrator) standIns() model.StandIns {
	s := model.StandIns{
		Platform: &model.PlatformStandIn{Address: platformAddress},
		Listings: make(map[string]model.Listing),
	}
	port := upstreamPort
	for _, x := range d.instances() {
		listing := model.Listing{Instances: []model.Listed{{Instance: model.Instance{
			Name: x.Instance, Domain: x.FailureDomain, Region: x.Region,
			Address: x.Address, PeerAddress: x.PeerAddress,
		}}}}
		for _, service := range []string{"stock", "ordering"} {
			for i := range serversPerService {
				server := standInServer(service, x.FailureDomain, i+1, port)
				port++
				s.Servers = append(s.Servers, server)
				listing.Servers = append(listing.Servers, server.Server)
			}
		}
		s.Listings[x.FailureDomain] = listing
	}
	return s
}

func standInServer(service, domain string, number, port int) model.UpstreamStandIn {
	slots := map[string]int{"stock": 9, "ordering": 4}
	return model.UpstreamStandIn{
		Server: model.Server{
			Name:    fmt.Sprintf("%s-%s-%d", service, domain, number),
			Service: service,
			Domain:  domain,
			Address: fmt.Sprintf("127.0.0.1:%d", port),
		},
		Slots: slots[service],
		Work:  model.Duration{Duration: 20 * time.Millisecond},
	}
}

// submit writes the demonstration's configuration as version 1.
func (d *Demonstrator) submit(ctx context.Context) error {
	operations, err := patcher.Replacement([]byte("{}"), configuration)
	if err != nil {
		return err
	}
	p := patcher.Patcher{
		Store:      &storer.Storer{URL: "http://" + platformAddress, Timeout: storeTimeout},
		Clock:      d.Clock,
		RetryDelay: submitDelay,
	}
	patch := model.Patch{ChangeID: "demonstration", Author: "yuccathread", Operations: operations}
	for {
		_, err = p.Apply(ctx, patch)
		if err == nil || ctx.Err() != nil {
			return err
		}
		if _, ok := errors.AsType[*model.FindingsError](err); ok {
			return err
		}
		time.Sleep(submitDelay)
	}
}

// RunStandIns runs stand-ins until ctx ends.
func (d *Demonstrator) RunStandIns(ctx context.Context, s model.StandIns) error {
	group, ctx := errgroup.WithContext(ctx)
	if s.Platform != nil {
		p := &fakeplatform.Platform{Clock: d.Clock}
		for domain, listing := range s.Listings {
			p.SetListing(domain, listing)
		}
		group.Go(func() error { return serve(ctx, s.Platform.Address, p.Handler()) })
	}
	for _, x := range s.Servers {
		u := &fakeupstream.Upstream{UpstreamStandIn: x}
		group.Go(func() error { return serve(ctx, x.Address, u.Handler()) })
	}
	return group.Wait()
}

func serve(ctx context.Context, address string, handler http.Handler) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("demonstrator: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: closeLimit}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("demonstrator: %w", err)
	}
	return nil
}
