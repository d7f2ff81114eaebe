package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/yuccathread/yuccathread/internal/explainer"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

const (
	// defaultMetricsAddress is that of an instance on this machine with its usual port.
	defaultMetricsAddress = "127.0.0.1:9464"
	maxExplanationBytes   = 16 << 20
)

func prepareExplain(inv *invocation) func(context.Context) error {
	var query explainer.Query
	var limit time.Duration
	address := inv.flags.String("at", defaultMetricsAddress, "metrics `address` of the instance to ask")
	inv.flags.StringVar(&query.Method, "method", http.MethodGet, "request `method`")
	inv.flags.StringVar(&query.Host, "host", "", "`host` of the request")
	inv.flags.StringVar(&query.Target, "path", "/", "`path` of the request, with its query")
	inv.flags.StringVar(&query.Object, "object", "", "`id` of the object that the request concerns")
	inv.flags.DurationVar(&limit, "limit", 0, "how long the caller waits; 0 for not known")
	return func(ctx context.Context) error {
		// A key on the command line would be in the list of processes.
		query.Key = os.Getenv("YUCCATHREAD_KEY")
		query.LimitMS = limit.Milliseconds()
		explanation, err := inv.explain(ctx, *address, query)
		if err != nil {
			return err
		}
		if inv.json {
			inv.printJSON(explanation)
			return nil
		}
		return inv.printExplanation(explanation)
	}
}

// explain asks an instance where a request would go now.
func (inv *invocation) explain(ctx context.Context, address string, query explainer.Query) (x traffic.Explanation, err error) {
	ctx, cancel := withCallTimeout(ctx)
	defer cancel()
	body, err := json.Marshal(query)
	if err != nil {
		return x, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/explain", bytes.NewReader(body))
	if err != nil {
		return x, err
	}
	response, err := inv.http.Do(request)
	if err != nil {
		return x, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxExplanationBytes))
	if err != nil {
		return x, fmt.Errorf("read explanation: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return x, errors.New(strings.TrimSpace(string(data)))
	}
	return x, json.Unmarshal(data, &x)
}

func (inv *invocation) printExplanation(x traffic.Explanation) error {
	fmt.Fprintf(inv.stdout, "configuration %d", x.Version)
	if x.Route != "" {
		fmt.Fprintf(inv.stdout, ", route %s, organisation %q, rank %d, idempotent %t, timeout %g ms", x.Route, x.Organisation, x.Rank,
			x.Idempotent, x.TimeoutMS)
	}
	fmt.Fprintln(inv.stdout)
	if x.Refusal != "" {
		fmt.Fprintf(inv.stdout, "refused: %s\n", x.Refusal)
		return nil
	}
	table := tabwriter.NewWriter(inv.stdout, 0, 0, 2, ' ', 0)
	for _, service := range x.Services {
		printService(table, service)
	}
	return table.Flush()
}

func printService(w io.Writer, x traffic.ServiceExplanation) {
	switch {
	case x.Server != "":
		fmt.Fprintf(w, "service %s (weight %g): server %s\n", x.Service, x.Weight, x.Server)
	default:
		fmt.Fprintf(w, "service %s (weight %g): refused: %s, again after %g ms\n", x.Service, x.Weight, x.Refusal, x.RetryAfterMS)
	}
	if len(x.Servers) > 0 {
		fmt.Fprintln(w, "  SERVER\tDOMAIN\tEXPECTED\tLOAD\tSLOTS\tREPORT AGE\tCACHED\tFAILURES")
	}
	for _, u := range x.Servers {
		fmt.Fprintf(w, "  %s\t%s\t%.0f ms\t%.1f\t%d\t%.0f ms\t%t\t%.2f\n", u.ID, u.Domain, u.ExpectedMS, u.Load, u.Slots, u.LoadAgeMS,
			u.Cached, u.FailureRate)
	}
	obstacles := make([]string, 0, len(x.Obstacles))
	for reason, n := range x.Obstacles {
		obstacles = append(obstacles, fmt.Sprintf("%s %d", reason, n))
	}
	slices.Sort(obstacles)
	if len(obstacles) > 0 {
		fmt.Fprintf(w, "  not compared: %s\n", strings.Join(obstacles, ", "))
	}
}
