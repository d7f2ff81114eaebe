package ctl

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/yuccathread/yuccathread/internal/api"
)

func prepareTimeline(inv *invocation) func(context.Context) error {
	request := inv.flags.String("request", "", "only records about a request `id`")
	kind := inv.flags.String("kind", "", "only records of a `kind`")
	subject := inv.flags.String("subject", "", "only records about a server, instance or other `subject`")
	limit := inv.flags.Int("limit", 1000, "number of newest records from each instance")
	return func(ctx context.Context) error {
		params := api.GetTimelineParams{Limit: api.NewOptInt(*limit)}
		for value, target := range map[*string]*api.OptString{
			request: &params.Request, kind: &params.Kind, subject: &params.Subject,
		} {
			if *value != "" {
				*target = api.NewOptString(*value)
			}
		}
		return inv.printTimeline(ctx, params)
	}
}

// printTimeline prints the records of all instances, merged in causal order. One
// instance of each failure domain collects the records of its domain.
func (inv *invocation) printTimeline(ctx context.Context, params api.GetTimelineParams) error {
	status, err := inv.getStatus(ctx, inv.entry)
	if err != nil {
		return err
	}
	if len(status.Domains) == 0 {
		// Without a configuration, the other failure domains are not known: ask
		// only that of this instance.
		status.Domains = []api.DomainStatus{{Name: status.Instance.Domain, Addresses: []string{inv.entry}}}
	}
	params.Scope = api.NewOptGetTimelineScope(api.GetTimelineScopeDomain)
	records := inv.collectRecords(ctx, status.Domains, params)
	slices.SortStableFunc(records, compareRecords)
	if inv.json {
		inv.printJSON(records)
		return nil
	}
	for _, record := range records {
		fmt.Fprintf(inv.stdout, "%s.%03d %-12s %-22s %s\n",
			time.UnixMilli(record.WallMs).Format("15:04:05.000"), record.Logical, record.Instance, record.Kind,
			strings.Join(nonEmpty(record.Request.Value, record.Subject.Value, record.Reason.Value, record.Inputs.Value), "  "))
	}
	return nil
}

func (inv *invocation) collectRecords(ctx context.Context, domains []api.DomainStatus, params api.GetTimelineParams) []api.Record {
	ctx, cancel := withCallTimeout(ctx)
	defer cancel()
	var mutex sync.Mutex
	var records []api.Record
	var group sync.WaitGroup
	for _, domain := range domains {
		group.Go(func() {
			answer := inv.getDomainTimeline(ctx, domain, params)
			mutex.Lock()
			defer mutex.Unlock()
			if answer == nil {
				fmt.Fprintf(inv.stderr, "yuccactl: no timeline from failure domain %s\n", domain.Name)
				return
			}
			for _, name := range answer.Missing {
				fmt.Fprintf(inv.stderr, "yuccactl: no timeline from %s\n", name)
			}
			records = append(records, answer.Records...)
		})
	}
	group.Wait()
	return records
}

// getDomainTimeline asks the instances of a failure domain one after another
// until one answers. It returns nil if none does.
func (inv *invocation) getDomainTimeline(ctx context.Context, domain api.DomainStatus, params api.GetTimelineParams) *api.Timeline {
	for _, address := range domain.Addresses {
		apiClient, err := inv.client(address)
		if err != nil {
			continue
		}
		if answer, err := apiClient.GetTimeline(ctx, params); err == nil {
			return answer
		}
	}
	return nil
}

// compareRecords orders records by their hybrid logical clock timestamps. The
// instance name breaks ties.
func compareRecords(a, b api.Record) int {
	return cmp.Or(
		cmp.Compare(a.WallMs, b.WallMs),
		cmp.Compare(a.Logical, b.Logical),
		cmp.Compare(a.Instance, b.Instance),
	)
}

func nonEmpty(texts ...string) []string {
	return slices.DeleteFunc(texts, func(text string) bool { return text == "" })
}
