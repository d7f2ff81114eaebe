package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/yuccathread/yuccathread/internal/api"
	"github.com/yuccathread/yuccathread/internal/loader"
	"github.com/yuccathread/yuccathread/internal/model"
)

func prepareLookUp(inv *invocation) func(context.Context) error {
	kind := inv.flags.String("kind", "", "`kind` of work")
	client := inv.flags.String("client", "", "the client's `address`, if not this machine's")
	return func(ctx context.Context) error {
		answer, err := inv.lookUp(ctx, *kind, *client)
		if err != nil {
			return err
		}
		if inv.json {
			inv.printJSON(answer)
			return nil
		}
		for _, entry := range answer.Entries {
			fmt.Fprintf(inv.stdout, "%s\t%s\t%s\n", entry.Name, entry.Domain, entry.Address)
		}
		fmt.Fprintf(inv.stdout, "home %s, valid %d ms, configuration version %d\n", answer.Home, answer.TTLMs, answer.Version)
		return nil
	}
}

func (inv *invocation) lookUp(ctx context.Context, kind, client string) (*api.LookUpAnswer, error) {
	ctx, cancel := withCallTimeout(ctx)
	defer cancel()
	apiClient, err := inv.client(inv.entry)
	if err != nil {
		return nil, err
	}
	params := api.LookUpParams{Kind: kind}
	if client != "" {
		params.Client = api.NewOptString(client)
	}
	return apiClient.LookUp(ctx, params)
}

func prepareTicket(inv *invocation) func(context.Context) error {
	return func(ctx context.Context) error {
		ticket, err := inv.issueTicket(ctx, inv.entry)
		if err != nil {
			return err
		}
		if inv.json {
			inv.printJSON(ticket)
			return nil
		}
		fmt.Fprintln(inv.stdout, ticket.Ticket)
		return nil
	}
}

func (inv *invocation) issueTicket(ctx context.Context, address string) (*api.Ticket, error) {
	ctx, cancel := withCallTimeout(ctx)
	defer cancel()
	apiClient, err := inv.client(address)
	if err != nil {
		return nil, err
	}
	return apiClient.IssueTicket(ctx)
}

// sendOptions holds the flags of the send command.
type sendOptions struct {
	kind     string
	body     string
	key      string
	id       string
	deadline time.Duration
	direct   bool
}

func prepareSend(inv *invocation) func(context.Context) error {
	var options sendOptions
	inv.flags.StringVar(&options.kind, "kind", "", "`kind` of work")
	inv.flags.StringVar(&options.body, "body", "", "`text` of the request; - reads standard input")
	inv.flags.StringVar(&options.key, "key", "", "idempotency `key`; by default a ticket if the instance requires a key")
	inv.flags.StringVar(&options.id, "id", "yuccactl", "request `id`, to find the request in the timeline")
	inv.flags.DurationVar(&options.deadline, "deadline", 0, "`time` limit for the answer; by default the limit of the kind")
	inv.flags.BoolVar(&options.direct, "direct", false, "send to -entry itself, without a look-up")
	return func(ctx context.Context) error { return inv.send(ctx, options) }
}

func (inv *invocation) send(ctx context.Context, options sendOptions) error {
	if options.body == "-" {
		data, err := io.ReadAll(inv.stdin)
		if err != nil {
			return fmt.Errorf("read standard input: %w", err)
		}
		options.body = string(data)
	}
	address := inv.entry
	if !options.direct {
		answer, err := inv.lookUp(ctx, options.kind, "")
		if err != nil {
			return err
		}
		address = answer.Entries[0].Address
	}
	response, err := inv.postWork(ctx, address, options)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.Header.Get(model.HeaderCode) == string(model.CodeKeyRequired) {
		return inv.sendWithTicket(ctx, address, options)
	}
	return inv.printResponse(response)
}

// sendWithTicket sends once-only work with a ticket as its idempotency key. The
// instance that receives the work issues the ticket.
func (inv *invocation) sendWithTicket(ctx context.Context, address string, options sendOptions) error {
	ticket, err := inv.issueTicket(ctx, address)
	if err != nil {
		return err
	}
	options.key = ticket.Ticket
	response, err := inv.postWork(ctx, address, options)
	if err != nil {
		return fmt.Errorf("outcome unknown, send again with -key %s: %w", options.key, err)
	}
	defer response.Body.Close()
	return inv.printResponse(response)
}

func (inv *invocation) postWork(ctx context.Context, address string, options sendOptions) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/work/"+options.kind,
		strings.NewReader(options.body))
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	// Without GetBody, the HTTP client cannot replay a body and send the work twice
	// on its own. It can still replay a request with a key and an empty body.
	request.GetBody = nil
	request.Header.Set(model.HeaderRequestID, options.id)
	if options.key != "" {
		request.Header.Set(model.HeaderKey, options.key)
	}
	if options.deadline > 0 {
		request.Header.Set(model.HeaderDeadlineMS, fmt.Sprint(options.deadline.Milliseconds()))
	}
	return inv.http.Do(request)
}

var errWorkFailed = errors.New("the work did not succeed")

func (inv *invocation) printResponse(response *http.Response) error {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("the answer was truncated, outcome unknown: %w", err)
	}
	header := response.Header
	fmt.Fprintf(inv.stderr, "%s, %s, request %s, server %s\n", header.Get(model.HeaderOutcome), response.Status,
		header.Get(model.HeaderRequestID), header.Get(model.HeaderServer))
	fmt.Fprintln(inv.stdout, string(body))
	if header.Get(model.HeaderCode) != string(model.CodeOK) {
		return fmt.Errorf("%w: %s (%s)", errWorkFailed, header.Get(model.HeaderCode), header.Get(model.HeaderOutcome))
	}
	return nil
}

func prepareLoad(inv *invocation) func(context.Context) error {
	generator := loader.Loader{HTTP: inv.http}
	inv.flags.StringVar(&generator.Kind, "kind", "", "`kind` of work")
	inv.flags.StringVar(&generator.Body, "body", "load", "`text` of each request")
	inv.flags.Float64Var(&generator.Rate, "rate", 100, "requests per second")
	inv.flags.DurationVar(&generator.Duration, "duration", 10*time.Second, "`time` to send for")
	inv.flags.DurationVar(&generator.Deadline, "deadline", 0, "`time` limit for each answer")
	inv.flags.BoolVar(&generator.Tickets, "tickets", false, "fetch a ticket for each request")
	return func(ctx context.Context) error {
		generator.Entry = inv.entry
		report, err := generator.Run(ctx)
		if err != nil {
			return err
		}
		if inv.json {
			inv.printJSON(report)
			return nil
		}
		fmt.Fprint(inv.stdout, report.String())
		return nil
	}
}
