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

// pollInterval is the time between two questions of wait.
const pollInterval = 200 * time.Millisecond

func prepareShow(t *tool) func(context.Context) error {
	history := t.flags.Bool("history", false, "list the newest changes instead")
	return func(ctx context.Context) error {
		ctx, cancel := bounded(ctx)
		defer cancel()
		c, err := t.client(t.entry)
		if err != nil {
			return err
		}
		head, err := c.GetConfiguration(ctx)
		if err != nil {
			return err
		}
		switch {
		case t.json:
			t.print(head)
		case *history:
			for _, x := range head.History {
				fmt.Fprintf(t.out, "%d\t%s\t%s\t%s\t%s\n", x.Version, x.Time.Format(time.RFC3339), x.Author,
					x.ChangeID, strings.Join(x.Paths, " "))
			}
		default:
			t.showHead(head)
		}
		return nil
	}
}

func (t *tool) showHead(head *api.Head) {
	fmt.Fprintf(t.out, "// version %d by %s at %s (%s)\n", head.Version, head.Author,
		head.Time.Format(time.RFC3339), head.ChangeID)
	formatted, err := hujson.Format(head.Document)
	if err != nil {
		formatted = head.Document
	}
	fmt.Fprintln(t.out, strings.TrimSpace(string(formatted)))
}

func (t *tool) readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(t.in)
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("ctl: %w", err)
	}
	return data, nil
}

func prepareCheck(t *tool) func(context.Context) error {
	file := t.flags.String("file", "-", "configuration `file`, JSON with comments; - reads standard input")
	return func(context.Context) error {
		data, err := t.readFile(*file)
		if err != nil {
			return err
		}
		findings := patcher.Check(data)
		for i := range findings {
			findings[i].File = *file
		}
		if t.json {
			t.print(findings)
		}
		if len(findings) > 0 {
			return &model.FindingsError{Findings: findings}
		}
		if !t.json {
			fmt.Fprintf(t.out, "%s: no findings\n", *file)
		}
		return nil
	}
}

// patching are the flags of patch.
type patching struct {
	base   int64
	patch  string
	file   string
	author string
	id     string
	dryRun bool
	wait   time.Duration
}

func preparePatch(t *tool) func(context.Context) error {
	var p patching
	t.flags.Int64Var(&p.base, "base", -1, "`version` that the patch is made against")
	t.flags.StringVar(&p.patch, "patch", "", "JSON Patch (RFC 6902) `text`; - reads standard input")
	t.flags.StringVar(&p.file, "file", "", "replace the whole configuration by a `file`")
	t.flags.StringVar(&p.author, "author", author(), "`name` recorded with the change")
	t.flags.StringVar(&p.id, "id", rand.Text(), "`id` of the change; the same id again asks what became of it")
	t.flags.BoolVar(&p.dryRun, "dry-run", false, "check only")
	t.flags.DurationVar(&p.wait, "wait", 0, "wait up to this `time` until it is in force everywhere")
	return func(ctx context.Context) error { return t.patch(ctx, p) }
}

func author() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

var errPatchUsage = errors.New("give -base and one of -patch and -file")

func (t *tool) patch(ctx context.Context, p patching) error {
	if p.base < 0 || (p.patch == "") == (p.file == "") {
		return errPatchUsage
	}
	call, cancel := bounded(ctx)
	defer cancel()
	c, err := t.client(t.entry)
	if err != nil {
		return err
	}
	operations, err := t.operations(call, c, p)
	if err != nil {
		return err
	}
	change, err := c.PatchConfiguration(call, &api.Patch{
		BaseVersion: p.base,
		ChangeID:    p.id,
		Author:      p.author,
		Patch:       jx.Raw(operations),
		DryRun:      api.NewOptBool(p.dryRun),
	})
	if err != nil {
		return fmt.Errorf("change %s: %w", p.id, err)
	}
	if t.json {
		t.print(change)
	} else {
		fmt.Fprintf(t.out, "accepted as version %d (%s)\n", change.Version, change.ChangeID)
	}
	if p.wait == 0 || p.dryRun {
		return nil
	}
	return t.waitInForce(ctx, change.Version, p.wait)
}

func (t *tool) operations(ctx context.Context, c *api.Client, p patching) ([]byte, error) {
	if p.file == "" {
		text := []byte(p.patch)
		if p.patch == "-" {
			return t.readFile("-")
		}
		return text, nil
	}
	data, err := t.readFile(p.file)
	if err != nil {
		return nil, err
	}
	if findings := patcher.Check(data); len(findings) > 0 {
		for i := range findings {
			findings[i].File = p.file
		}
		return nil, &model.FindingsError{Findings: findings}
	}
	current := []byte("{}")
	if head, err := c.GetConfiguration(ctx); err == nil {
		current = head.Document
	}
	return patcher.Replacement(current, data)
}

func prepareWait(t *tool) func(context.Context) error {
	version := t.flags.Int64("version", 0, "`version` to wait for")
	timeout := t.flags.Duration("timeout", 30*time.Second, "`time` to wait")
	return func(ctx context.Context) error { return t.waitInForce(ctx, *version, *timeout) }
}

var errNotInForce = errors.New("not in force everywhere")

func (t *tool) waitInForce(ctx context.Context, version int64, timeout time.Duration) error {
	start := time.Now()
	for {
		state, err := t.inForce(ctx, version)
		if err == nil && state.InForce {
			fmt.Fprintf(t.out, "version %d is in force everywhere after %s\n", version,
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
		return fmt.Errorf("%w: lagging %v, not heard of %v", errNotInForce, state.Lagging, state.Unheard)
	}
}

func (t *tool) inForce(ctx context.Context, version int64) (*api.InForce, error) {
	ctx, cancel := bounded(ctx)
	defer cancel()
	c, err := t.client(t.entry)
	if err != nil {
		return nil, err
	}
	return c.GetInForce(ctx, api.GetInForceParams{Version: version})
}

func prepareStatus(t *tool) func(context.Context) error {
	return func(ctx context.Context) error {
		status, err := t.status(ctx, t.entry)
		if err != nil {
			return err
		}
		if t.json {
			t.print(status)
			return nil
		}
		t.showStatus(status)
		return nil
	}
}

func (t *tool) status(ctx context.Context, address string) (*api.Status, error) {
	ctx, cancel := bounded(ctx)
	defer cancel()
	c, err := t.client(address)
	if err != nil {
		return nil, err
	}
	return c.GetStatus(ctx)
}

func (t *tool) showStatus(s *api.Status) {
	fmt.Fprintf(t.out, "%s (%s, %s): ready %t, leaving %t, configuration %d, table %d, lease %t, store away %t, in flight %d\n",
		s.Instance.Name, s.Instance.Domain, s.Instance.Region, s.Ready, s.Leaving, s.ConfigurationVersion,
		s.TableRevision, s.LeaseValid, s.StoreAway, s.InFlight)
	for _, x := range s.Servers {
		fmt.Fprintf(t.out, "  server %s (%s): %d of %d slots, draining %t, ejected %t\n", x.Name, x.Service,
			x.InFlight, x.Allowed, x.Draining, x.Ejected)
	}
	for _, x := range s.Members {
		fmt.Fprintf(t.out, "  instance %s at %s: alive %t, leaving %t, configuration %d\n", x.Name, x.Address,
			x.Alive, x.Leaving, x.ConfigurationVersion)
	}
	for _, x := range s.Domains {
		fmt.Fprintf(t.out, "  failure domain %s: heard %t, oldest configuration %d, lagging %v\n", x.Name, x.Heard,
			x.OldestVersion, x.Laggards)
	}
}

func prepareTimeline(t *tool) func(context.Context) error {
	request := t.flags.String("request", "", "only records about a request `id`")
	kind := t.flags.String("kind", "", "only records of a `kind`")
	subject := t.flags.String("subject", "", "only records about a server, instance or other `subject`")
	limit := t.flags.Int("limit", 1000, "newest records of each instance")
	return func(ctx context.Context) error {
		params := api.GetTimelineParams{Limit: api.NewOptInt(*limit)}
		for text, target := range map[*string]*api.OptString{
			request: &params.Request, kind: &params.Kind, subject: &params.Subject,
		} {
			if *text != "" {
				*target = api.NewOptString(*text)
			}
		}
		return t.timeline(ctx, params)
	}
}

// timeline merges the records of all instances: one instance of each failure
// domain collects its domain's.
func (t *tool) timeline(ctx context.Context, params api.GetTimelineParams) error {
	status, err := t.status(ctx, t.entry)
	if err != nil {
		return err
	}
	if len(status.Domains) == 0 {
		// There is no configuration yet that names the failure domains.
		status.Domains = []api.DomainStatus{{Name: status.Instance.Domain, Addresses: []string{t.entry}}}
	}
	params.Scope = api.NewOptGetTimelineScope(api.GetTimelineScopeDomain)
	records := t.collect(ctx, status.Domains, params)
	slices.SortStableFunc(records, compareRecords)
	if t.json {
		t.print(records)
		return nil
	}
	for _, x := range records {
		fmt.Fprintf(t.out, "%s.%03d %-12s %-22s %s\n",
			time.UnixMilli(x.WallMs).Format("15:04:05.000"), x.Logical, x.Instance, x.Kind,
			strings.Join(nonEmpty(x.Request.Value, x.Subject.Value, x.Reason.Value, x.Inputs.Value), "  "))
	}
	return nil
}

func (t *tool) collect(ctx context.Context, domains []api.DomainStatus, params api.GetTimelineParams) []api.Record {
	ctx, cancel := bounded(ctx)
	defer cancel()
	var mutex sync.Mutex
	var records []api.Record
	var group sync.WaitGroup
	for _, d := range domains {
		group.Go(func() {
			answer := t.askDomain(ctx, d, params)
			mutex.Lock()
			defer mutex.Unlock()
			if answer == nil {
				fmt.Fprintf(t.err, "yuccactl: no time line from failure domain %s\n", d.Name)
				return
			}
			for _, name := range answer.Missing {
				fmt.Fprintf(t.err, "yuccactl: no time line from %s\n", name)
			}
			records = append(records, answer.Records...)
		})
	}
	group.Wait()
	return records
}

// askDomain asks a failure domain's instances in turn until one answers.
func (t *tool) askDomain(ctx context.Context, d api.DomainStatus, params api.GetTimelineParams) *api.Timeline {
	for _, address := range d.Addresses {
		c, err := t.client(address)
		if err != nil {
			continue
		}
		if answer, err := c.GetTimeline(ctx, params); err == nil {
			return answer
		}
	}
	return nil
}

// compareRecords orders records as hybrid logical clocks do.
func compareRecords(a, b api.Record) int {
	return cmp.Or(
		cmp.Compare(a.WallMs, b.WallMs),
		cmp.Compare(a.Logical, b.Logical),
		cmp.Compare(a.Instance, b.Instance),
	)
}

func nonEmpty(texts ...string) []string {
	return slices.DeleteFunc(texts, func(x string) bool { return x == "" })
}
