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

func prepareLookUp(t *tool) func(context.Context) error {
	kind := t.flags.String("kind", "", "`kind` of work")
	client := t.flags.String("client", "", "the client's `address`, if not this machine's")
	return func(ctx context.Context) error {
		answer, err := t.lookUp(ctx, *kind, *client)
		if err != nil {
			return err
		}
		if t.json {
			t.print(answer)
			return nil
		}
		for _, e := range answer.Entries {
			fmt.Fprintf(t.out, "%s\t%s\t%s\n", e.Name, e.Domain, e.Address)
		}
		fmt.Fprintf(t.out, "home %s, valid %d ms, configuration version %d\n", answer.Home, answer.TTLMs, answer.Version)
		return nil
	}
}

func (t *tool) lookUp(ctx context.Context, kind, client string) (*api.LookUpAnswer, error) {
	ctx, cancel := bounded(ctx)
	defer cancel()
	c, err := t.client(t.entry)
	if err != nil {
		return nil, err
	}
	params := api.LookUpParams{Kind: kind}
	if client != "" {
		params.Client = api.NewOptString(client)
	}
	return c.LookUp(ctx, params)
}

func prepareTicket(t *tool) func(context.Context) error {
	return func(ctx context.Context) error {
		ticket, err := t.ticket(ctx, t.entry)
		if err != nil {
			return err
		}
		if t.json {
			t.print(ticket)
			return nil
		}
		fmt.Fprintln(t.out, ticket.Ticket)
		return nil
	}
}

func (t *tool) ticket(ctx context.Context, address string) (*api.Ticket, error) {
	ctx, cancel := bounded(ctx)
	defer cancel()
	c, err := t.client(address)
	if err != nil {
		return nil, err
	}
	return c.IssueTicket(ctx)
}

// sending are the flags of send.
type sending struct {
	kind     string
	body     string
	key      string
	id       string
	deadline time.Duration
	direct   bool
}

func prepareSend(t *tool) func(context.Context) error {
	var s sending
	t.flags.StringVar(&s.kind, "kind", "", "`kind` of work")
	t.flags.StringVar(&s.body, "body", "", "the request's `text`; - reads standard input")
	t.flags.StringVar(&s.key, "key", "", "idempotency `key`; by default a ticket where the entry asks for one")
	t.flags.StringVar(&s.id, "id", "yuccactl", "`id` to find the request by on the time line")
	t.flags.DurationVar(&s.deadline, "deadline", 0, "answer within this `time`; by default the kind's own")
	t.flags.BoolVar(&s.direct, "direct", false, "send to -entry itself, without a look-up")
	return func(ctx context.Context) error { return t.send(ctx, s) }
}

func (t *tool) send(ctx context.Context, s sending) error {
	if s.body == "-" {
		data, err := io.ReadAll(t.in)
		if err != nil {
			return fmt.Errorf("ctl: %w", err)
		}
		s.body = string(data)
	}
	address := t.entry
	if !s.direct {
		answer, err := t.lookUp(ctx, s.kind, "")
		if err != nil {
			return err
		}
		address = answer.Entries[0].Address
	}
	response, err := t.post(ctx, address, s)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.Header.Get(model.HeaderCode) == string(model.CodeKeyRequired) {
		return t.sendTicketed(ctx, address, s)
	}
	return t.printAnswer(response)
}

// sendTicketed sends once-only work under a ticket of the instance that gets it.
func (t *tool) sendTicketed(ctx context.Context, address string, s sending) error {
	ticket, err := t.ticket(ctx, address)
	if err != nil {
		return err
	}
	s.key = ticket.Ticket
	response, err := t.post(ctx, address, s)
	if err != nil {
		return fmt.Errorf("outcome unknown, ask again with -key %s: %w", s.key, err)
	}
	defer response.Body.Close()
	return t.printAnswer(response)
}

func (t *tool) post(ctx context.Context, address string, s sending) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/work/"+s.kind,
		strings.NewReader(s.body))
	if err != nil {
		return nil, fmt.Errorf("ctl: %w", err)
	}
	// Without GetBody the client does not send the work twice by itself.
	request.GetBody = nil
	request.Header.Set(model.HeaderRequestID, s.id)
	if s.key != "" {
		request.Header.Set(model.HeaderKey, s.key)
	}
	if s.deadline > 0 {
		request.Header.Set(model.HeaderDeadlineMS, fmt.Sprint(s.deadline.Milliseconds()))
	}
	return t.http.Do(request)
}

var errNotAnswered = errors.New("the work has no answer")

func (t *tool) printAnswer(response *http.Response) error {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("the answer was cut off, outcome unknown: %w", err)
	}
	h := response.Header
	fmt.Fprintf(t.err, "%s, %s, request %s, server %s\n", h.Get(model.HeaderOutcome), response.Status,
		h.Get(model.HeaderRequestID), h.Get(model.HeaderServer))
	fmt.Fprintln(t.out, string(body))
	if h.Get(model.HeaderCode) != string(model.CodeOK) {
		return fmt.Errorf("%w: %s (%s)", errNotAnswered, h.Get(model.HeaderCode), h.Get(model.HeaderOutcome))
	}
	return nil
}

func prepareLoad(t *tool) func(context.Context) error {
	l := loader.Loader{HTTP: t.http}
	t.flags.StringVar(&l.Kind, "kind", "", "`kind` of work")
	t.flags.StringVar(&l.Body, "body", "load", "the requests' `text`")
	t.flags.Float64Var(&l.Rate, "rate", 100, "requests a second")
	t.flags.DurationVar(&l.Duration, "duration", 10*time.Second, "`time` to send for")
	t.flags.DurationVar(&l.Deadline, "deadline", 0, "answer within this `time`")
	t.flags.BoolVar(&l.Tickets, "tickets", false, "fetch a ticket for each request")
	return func(ctx context.Context) error {
		l.Entry = t.entry
		report, err := l.Run(ctx)
		if err != nil {
			return err
		}
		if t.json {
			t.print(report)
			return nil
		}
		fmt.Fprint(t.out, report.String())
		return nil
	}
}
