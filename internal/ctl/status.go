package ctl

import (
	"context"
	"fmt"

	"github.com/yuccathread/yuccathread/internal/api"
)

func prepareStatus(inv *invocation) func(context.Context) error {
	return func(ctx context.Context) error {
		status, err := inv.getStatus(ctx, inv.entry)
		if err != nil {
			return err
		}
		if inv.json {
			inv.printJSON(status)
			return nil
		}
		inv.printStatus(status)
		return nil
	}
}

func (inv *invocation) getStatus(ctx context.Context, address string) (*api.Status, error) {
	ctx, cancel := withCallTimeout(ctx)
	defer cancel()
	apiClient, err := inv.client(address)
	if err != nil {
		return nil, err
	}
	return apiClient.GetStatus(ctx)
}

func (inv *invocation) printStatus(status *api.Status) {
	fmt.Fprintf(inv.stdout, "%s (%s, %s): ready %t, leaving %t, configuration %d, table %d, lease %t, store away %t, in flight %d\n",
		status.Instance.Name, status.Instance.Domain, status.Instance.Region, status.Ready, status.Leaving, status.ConfigurationVersion,
		status.TableRevision, status.LeaseValid, status.StoreAway, status.InFlight)
	for _, server := range status.Servers {
		fmt.Fprintf(inv.stdout, "  server %s (%s): %d of %d slots, draining %t, ejected %t\n", server.Name, server.Service,
			server.InFlight, server.Allowed, server.Draining, server.Ejected)
	}
	for _, member := range status.Members {
		fmt.Fprintf(inv.stdout, "  instance %s at %s: alive %t, leaving %t, configuration %d\n", member.Name, member.Address,
			member.Alive, member.Leaving, member.ConfigurationVersion)
	}
	for _, domain := range status.Domains {
		fmt.Fprintf(inv.stdout, "  failure domain %s: heard %t, oldest configuration %d, lagging %v\n", domain.Name, domain.Heard,
			domain.OldestVersion, domain.Laggards)
	}
}
