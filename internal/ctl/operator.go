package ctl

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"
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
