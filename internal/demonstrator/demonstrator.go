// Package demonstrator runs stand-ins for the platform and the upstream servers,
// and a small demonstration fleet that uses them.
//
// Usage:
//
//	d := demonstrator.Demonstrator{Clock: clock.System(), Logger: logger}
//	err := d.Run(ctx)                // the demonstration fleet, in this process
//	err := d.RunStandIns(ctx, s)     // stand-ins only
package demonstrator

import (
	"context"
	_ "embed" // For configuration.jsonc.
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
	platformAddress   = "127.0.0.1:7000"
	storeTimeout      = time.Second
	readHeaderTimeout = time.Second
	// storeRetryDelay is the time between two attempts to write to the store.
	storeRetryDelay = 10 * time.Millisecond
	// upstreamPort is the port of the first upstream stand-in.
	upstreamPort = 7100
	// serversPerService is the number of servers per service and failure domain.
	serversPerService = 2
)

// Demonstrator runs stand-ins and entry instances in this process.
type Demonstrator struct {
	Clock  clock.Clock
	Logger *slog.Logger
}

// Run runs a platform stand-in, eight upstream stand-ins in two regions and two
// entry instances until ctx is done. The stand-ins stop after the instances.
func (d *Demonstrator) Run(ctx context.Context) error {
	standIns := d.standIns()
	group, ctx := errgroup.WithContext(ctx)
	standInCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	instances, _ := errgroup.WithContext(ctx)
	group.Go(func() error { return d.RunStandIns(standInCtx, standIns) })
	if err := d.writeConfiguration(ctx); err != nil {
		cancel()
		return err
	}
	for _, s := range d.instanceSettings() {
		r := runner.Runner{Settings: s, Clock: d.Clock, Logger: d.Logger.With("instance", s.Instance)}
		instances.Go(func() error { return r.Run(ctx) })
	}
	group.Go(func() error {
		defer cancel()
		return instances.Wait()
	})
	return group.Wait()
}

// instanceSettings returns the settings of the two entry instances.
func (d *Demonstrator) instanceSettings() []model.Settings {
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
	standIns := model.StandIns{
		Platform: &model.PlatformStandIn{Address: platformAddress},
		Listings: make(map[string]model.Listing),
	}
	port := upstreamPort
	for _, instance := range d.instanceSettings() {
		listing := model.Listing{Instances: []model.Listed{{Instance: model.Instance{
			Name: instance.Instance, Domain: instance.FailureDomain, Region: instance.Region,
			Address: instance.Address, PeerAddress: instance.PeerAddress,
		}}}}
		for _, service := range []string{"stock", "ordering"} {
			for i := range serversPerService {
				server := newUpstreamStandIn(service, instance.FailureDomain, i+1, port)
				port++
				standIns.Servers = append(standIns.Servers, server)
				listing.Servers = append(listing.Servers, server.Server)
			}
		}
		standIns.Listings[instance.FailureDomain] = listing
	}
	return standIns
}

func newUpstreamStandIn(service, domain string, number, port int) model.UpstreamStandIn {
	slots := map[string]int{"stock": 9, "ordering": 4}
	return model.UpstreamStandIn{
		Server: model.Server{
			Name:    fmt.Sprintf("%s-%s-%d", service, domain, number),
			Service: service,
			Domain:  domain,
			Address: fmt.Sprintf("127.0.0.1:%d", port),
		},
		Slots:       slots[service],
		ServiceTime: model.Duration{Duration: 20 * time.Millisecond},
	}
}

// writeConfiguration writes the demonstration's configuration as version 1. It
// retries until the write succeeds, the configuration is found invalid or ctx is
// done.
func (d *Demonstrator) writeConfiguration(ctx context.Context) error {
	operations, err := patcher.Diff([]byte("{}"), configuration)
	if err != nil {
		return err
	}
	p := patcher.Patcher{
		Store:      &storer.Storer{URL: "http://" + platformAddress, Timeout: storeTimeout},
		Clock:      d.Clock,
		RetryDelay: storeRetryDelay,
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
		time.Sleep(storeRetryDelay)
	}
}

// RunStandIns runs the given stand-ins until ctx is done.
func (d *Demonstrator) RunStandIns(ctx context.Context, standIns model.StandIns) error {
	group, ctx := errgroup.WithContext(ctx)
	if standIns.Platform != nil {
		platform := &fakeplatform.Platform{Clock: d.Clock}
		for domain, listing := range standIns.Listings {
			platform.SetListing(domain, listing)
		}
		group.Go(func() error { return serve(ctx, standIns.Platform.Address, platform.Handler()) })
	}
	for _, server := range standIns.Servers {
		upstream := &fakeupstream.Upstream{UpstreamStandIn: server}
		group.Go(func() error { return serve(ctx, server.Address, upstream.Handler()) })
	}
	return group.Wait()
}

func serve(ctx context.Context, address string, handler http.Handler) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("demonstrator: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("demonstrator: %w", err)
	}
	return nil
}
