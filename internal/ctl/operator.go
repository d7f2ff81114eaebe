package ctl

import (
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/jx"
	"github.com/tailscale/hujson"

	"github.com/yuccathread/yuccathread/internal/api"
	"github.com/yuccathread/yuccathread/internal/model"
	"github.com/yuccathread/yuccathread/internal/patcher"
)

// pollInterval is the time between two requests of the wait command.
const pollInterval = 200 * time.Millisecond

func prepareShow(inv *invocation) func(context.Context) error {
	history := inv.flags.Bool("history", false, "list the newest changes instead")
	return func(ctx context.Context) error {
		ctx, cancel := withCallTimeout(ctx)
		defer cancel()
		apiClient, err := inv.client(inv.entry)
		if err != nil {
			return err
		}
		head, err := apiClient.GetConfiguration(ctx)
		if err != nil {
			return err
		}
		switch {
		case inv.json:
			inv.printJSON(head)
		case *history:
			for _, change := range head.History {
				fmt.Fprintf(inv.stdout, "%d\t%s\t%s\t%s\t%s\n", change.Version, change.Time.Format(time.RFC3339), change.Author,
					change.ChangeID, strings.Join(change.Paths, " "))
			}
		default:
			inv.printHead(head)
		}
		return nil
	}
}

func (inv *invocation) printHead(head *api.Head) {
	fmt.Fprintf(inv.stdout, "// version %d by %s at %s (%s)\n", head.Version, head.Author,
		head.Time.Format(time.RFC3339), head.ChangeID)
	formatted, err := hujson.Format(head.Document)
	if err != nil {
		formatted = head.Document
	}
	fmt.Fprintln(inv.stdout, strings.TrimSpace(string(formatted)))
}

func (inv *invocation) readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(inv.stdin)
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("read input: %w", err)
	}
	return data, nil
}

func prepareCheck(inv *invocation) func(context.Context) error {
	file := inv.flags.String("file", "-", "configuration `file`, JSON with comments; - reads standard input")
	return func(context.Context) error {
		data, err := inv.readFile(*file)
		if err != nil {
			return err
		}
		findings := patcher.Check(data)
		for i := range findings {
			findings[i].File = *file
		}
		if inv.json {
			inv.printJSON(findings)
		}
		if len(findings) > 0 {
			return &model.FindingsError{Findings: findings}
		}
		if !inv.json {
			fmt.Fprintf(inv.stdout, "%s: no findings\n", *file)
		}
		return nil
	}
}

// patchOptions holds the flags of the patch command.
type patchOptions struct {
	base   int64
	patch  string
	file   string
	author string
	id     string
	dryRun bool
	wait   time.Duration
}

func preparePatch(inv *invocation) func(context.Context) error {
	var options patchOptions
	inv.flags.Int64Var(&options.base, "base", -1, "`version` that the change is based on")
	inv.flags.StringVar(&options.patch, "patch", "", "JSON Patch (RFC 6902) `text`; - reads standard input")
	inv.flags.StringVar(&options.file, "file", "", "replace the whole configuration with a `file`")
	inv.flags.StringVar(&options.author, "author", defaultAuthor(), "`name` recorded with the change")
	inv.flags.StringVar(&options.id, "id", rand.Text(), "`id` of the change; repeat an id to learn the outcome of that change")
	inv.flags.BoolVar(&options.dryRun, "dry-run", false, "check only")
	inv.flags.DurationVar(&options.wait, "wait", 0, "wait up to this `time` for the change to be in force everywhere")
	return func(ctx context.Context) error { return inv.patch(ctx, options) }
}

func defaultAuthor() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

var errPatchUsage = errors.New("-base and either -patch or -file are required")

func (inv *invocation) patch(ctx context.Context, options patchOptions) error {
	if options.base < 0 || (options.patch == "") == (options.file == "") {
		return errPatchUsage
	}
	callCtx, cancel := withCallTimeout(ctx)
	defer cancel()
	apiClient, err := inv.client(inv.entry)
	if err != nil {
		return err
	}
	operations, err := inv.jsonPatch(callCtx, apiClient, options)
	if err != nil {
		return err
	}
	change, err := apiClient.PatchConfiguration(callCtx, &api.Patch{
		BaseVersion: options.base,
		ChangeID:    options.id,
		Author:      options.author,
		Patch:       jx.Raw(operations),
		DryRun:      api.NewOptBool(options.dryRun),
	})
	if err != nil {
		return fmt.Errorf("change %s: %w", options.id, err)
	}
	if inv.json {
		inv.printJSON(change)
	} else {
		fmt.Fprintf(inv.stdout, "accepted as version %d (%s)\n", change.Version, change.ChangeID)
	}
	if options.wait == 0 || options.dryRun {
		return nil
	}
	return inv.waitInForce(ctx, change.Version, options.wait)
}

func (inv *invocation) jsonPatch(ctx context.Context, apiClient *api.Client, options patchOptions) ([]byte, error) {
	if options.file == "" {
		text := []byte(options.patch)
		if options.patch == "-" {
			return inv.readFile("-")
		}
		return text, nil
	}
	data, err := inv.readFile(options.file)
	if err != nil {
		return nil, err
	}
	if findings := patcher.Check(data); len(findings) > 0 {
		for i := range findings {
			findings[i].File = options.file
		}
		return nil, &model.FindingsError{Findings: findings}
	}
	current := []byte("{}")
	if head, err := apiClient.GetConfiguration(ctx); err == nil {
		current = head.Document
	}
	return patcher.Diff(current, data)
}

func prepareWait(inv *invocation) func(context.Context) error {
	version := inv.flags.Int64("version", 0, "`version` to wait for")
	timeout := inv.flags.Duration("timeout", 30*time.Second, "`time` to wait")
	return func(ctx context.Context) error { return inv.waitInForce(ctx, *version, *timeout) }
}

var errNotInForce = errors.New("not in force everywhere")

func (inv *invocation) waitInForce(ctx context.Context, version int64, timeout time.Duration) error {
	start := time.Now()
	for {
		answer, err := inv.getInForce(ctx, version)
		if err == nil && answer.InForce {
			fmt.Fprintf(inv.stdout, "version %d is in force everywhere after %s\n", version,
				time.Since(start).Round(time.Millisecond))
			return nil
		}
		if time.Since(start) < timeout && ctx.Err() == nil {
			time.Sleep(pollInterval)
			continue
		}
		if err != nil {
			return err
		}
		return fmt.Errorf("%w: lagging %v, failure domains without a report %v", errNotInForce, answer.Lagging, answer.Unheard)
	}
}

func (inv *invocation) getInForce(ctx context.Context, version int64) (*api.InForce, error) {
	ctx, cancel := withCallTimeout(ctx)
	defer cancel()
	apiClient, err := inv.client(inv.entry)
	if err != nil {
		return nil, err
	}
	return apiClient.GetInForce(ctx, api.GetInForceParams{Version: version})
}

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
