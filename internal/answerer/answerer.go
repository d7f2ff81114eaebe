// Package answerer implements the HTTP servers of an entry instance: the
// generated API for callers and operators, handlers for work, health checks and
// metrics, and the endpoints for other instances.
//
// Usage:
//
//	a := answerer.Answerer{Engine: e, Executor: x, ...}
//	public, err := a.PublicHandler()
//	peers, err := a.PeerHandler()
package answerer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/semaphore"

	"github.com/yuccathread/yuccathread/internal/api"
	"github.com/yuccathread/yuccathread/internal/clock"
	"github.com/yuccathread/yuccathread/internal/engine"
	"github.com/yuccathread/yuccathread/internal/executor"
	"github.com/yuccathread/yuccathread/internal/exposer"
	"github.com/yuccathread/yuccathread/internal/gossiper"
	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
	"github.com/yuccathread/yuccathread/internal/patcher"
	"github.com/yuccathread/yuccathread/internal/reducer"
)

// Answerer serves callers, operators and other instances. Set the fields before
// the first call.
type Answerer struct {
	Engine   *engine.Engine
	Executor *executor.Executor
	Gossiper *gossiper.Gossiper
	Patcher  *patcher.Patcher
	Registry metrics.Registry
	Clock    clock.Clock
	Self     model.Instance
	// MaxBodyBytes bounds all request bodies. The limit of a kind can be lower.
	MaxBodyBytes int64
	// BodyBudget bounds the total bytes of the request bodies held in memory.
	BodyBudget *semaphore.Weighted
}

// PublicHandler returns the handler for callers and operators.
func (a *Answerer) PublicHandler() (http.Handler, error) {
	server, err := api.NewServer(a, api.WithErrorHandler(writeAPIError))
	if err != nil {
		return nil, fmt.Errorf("answerer: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/work/{kind}", a.handleWork)
	mux.HandleFunc("GET /healthz", a.handleHealth)
	mux.HandleFunc("GET /readyz", a.handleReady)
	mux.Handle("GET /metrics", &exposer.Exposer{Registry: a.Registry, Prefix: "yuccathread_", Update: a.updateGauges})
	mux.Handle("/", withClientAddress(server))
	return mux, nil
}

// PeerHandler returns the handler for other instances.
func (a *Answerer) PeerHandler() (http.Handler, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+model.PathPeerWork, a.handlePeerWork)
	if err := gossiper.Serve(mux, &peer{answerer: a}); err != nil {
		return nil, err
	}
	return mux, nil
}

type clientAddressKey struct{}

// withClientAddress adds the remote address of the connection to the request
// context, for look-ups.
func withClientAddress(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := context.WithValue(r.Context(), clientAddressKey{}, r.RemoteAddr)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

func parseHostAddress(address string) netip.Addr {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	a, err := netip.ParseAddr(host)
	if err != nil {
		return netip.Addr{}
	}
	return a
}

// LookUp returns the instances that a client should use.
func (a *Answerer) LookUp(ctx context.Context, params api.LookUpParams) (*api.LookUpAnswer, error) {
	client := params.Client.Value
	if client == "" {
		client, _ = ctx.Value(clientAddressKey{}).(string)
	}
	effect := a.Engine.Handle(message.LookUpRequested{
		Kind:   params.Kind,
		Client: parseHostAddress(client),
		Random: rand.Uint64(),
	})
	answer, ok := effect.(message.AnswerLookUp)
	if !ok || answer.Code != model.CodeOK {
		return nil, &resultError{result: model.Result{Outcome: model.NotRun, Code: answer.Code, Detail: params.Kind}}
	}
	entries := make([]api.Entry, 0, len(answer.Entries))
	for _, e := range answer.Entries {
		entries = append(entries, api.Entry{Name: e.Name, Domain: e.Domain, Address: e.Address})
	}
	return &api.LookUpAnswer{
		Entries: entries,
		Home:    answer.Home,
		TTLMs:   answer.TTL.Milliseconds(),
		Version: answer.Version,
	}, nil
}

// IssueTicket returns a ticket. Other instances forward requests with it to this
// process, which alone decides whether the work runs.
func (a *Answerer) IssueTicket(context.Context) (*api.Ticket, error) {
	answer, ok := a.Engine.Handle(message.TicketRequested{Random: rand.Uint64()}).(message.AnswerTicket)
	if !ok || answer.Ticket == "" {
		return nil, &resultError{result: model.Result{Outcome: model.NotRun, Code: model.CodeNotReady}}
	}
	return &api.Ticket{Ticket: answer.Ticket, Expires: answer.Expires}, nil
}

// GetConfiguration returns the configuration in force at this instance.
func (a *Answerer) GetConfiguration(context.Context) (*api.Head, error) {
	var head model.Head
	a.Engine.View(func(r *reducer.Reducer) { head = r.ConfigurationHead() })
	if head.Version == 0 {
		return nil, &resultError{result: model.Result{Outcome: model.NotRun, Code: model.CodeNotReady, Detail: "no configuration yet"}}
	}
	return convert[api.Head](head)
}

// PatchConfiguration applies a patch to the configuration version that it names.
func (a *Answerer) PatchConfiguration(ctx context.Context, request *api.Patch) (*api.Change, error) {
	patch := model.Patch{
		BaseVersion: request.BaseVersion,
		ChangeID:    request.ChangeID,
		Author:      request.Author,
		Operations:  request.Patch,
		DryRun:      request.DryRun.Value,
	}
	head, err := a.Patcher.Apply(ctx, patch)
	if err != nil {
		return nil, err
	}
	if !patch.DryRun {
		a.Executor.ApplyConfiguration(head, "patch")
	}
	return convert[api.Change](head.Change)
}

// GetInForce reports whether a configuration version is in force in every failure
// domain, and which instances or domains lag behind or are not heard from.
func (a *Answerer) GetInForce(_ context.Context, params api.GetInForceParams) (*api.InForce, error) {
	status := a.status()
	answer := &api.InForce{Version: params.Version}
	for _, d := range status.Domains {
		switch {
		case !d.Heard:
			answer.Unheard = append(answer.Unheard, d.Name)
		case d.OldestVersion < params.Version && len(d.Laggards) == 0:
			answer.Lagging = append(answer.Lagging, d.Name)
		case d.OldestVersion < params.Version:
			answer.Lagging = append(answer.Lagging, d.Laggards...)
		}
	}
	known := status.ConfigurationVersion >= params.Version
	answer.InForce = known && len(answer.Lagging) == 0 && len(answer.Unheard) == 0
	return answer, nil
}

func (a *Answerer) status() model.Status {
	var status model.Status
	a.Engine.View(func(r *reducer.Reducer) { status = r.Status() })
	return status
}

// GetStatus returns the state of the instance and its view of the fleet.
func (a *Answerer) GetStatus(context.Context) (*api.Status, error) {
	return convert[api.Status](a.status())
}

func optionalString(text string) api.OptString {
	return api.OptString{Value: text, Set: text != ""}
}

// NewError converts an error to the API's problem response.
func (a *Answerer) NewError(_ context.Context, err error) *api.ProblemStatusCode {
	return errorProblem(err)
}

// convert copies data to a generated type through JSON, in which both types have
// the same field names.
func convert[T any](from any) (*T, error) {
	data, err := json.Marshal(from)
	if err != nil {
		return nil, fmt.Errorf("answerer: %w", err)
	}
	to := new(T)
	if err := json.Unmarshal(data, to); err != nil {
		return nil, fmt.Errorf("answerer: %w", err)
	}
	return to, nil
}

// resultError wraps a result as an error.
type resultError struct {
	result model.Result
}

// Error returns the code and, if there is one, the detail.
func (e *resultError) Error() string {
	if e.result.Detail == "" {
		return string(e.result.Code)
	}
	return string(e.result.Code) + ": " + e.result.Detail
}

func errorProblem(err error) *api.ProblemStatusCode {
	if e, ok := errors.AsType[*resultError](err); ok {
		return resultProblem(e)
	}
	if e, ok := errors.AsType[*model.StaleError](err); ok {
		return staleProblem(e)
	}
	if e, ok := errors.AsType[*model.FindingsError](err); ok {
		return findingsProblem(e)
	}
	if e, ok := errors.AsType[*model.UncertainError](err); ok {
		return newProblem(http.StatusServiceUnavailable, "uncertain", model.Unknown, e.Error())
	}
	return newProblem(http.StatusServiceUnavailable, string(model.CodeStoreUnavailable), model.NotRun, err.Error())
}

func newProblem(status int, code string, outcome model.Outcome, text string) *api.ProblemStatusCode {
	return &api.ProblemStatusCode{
		StatusCode: status,
		Response:   api.Problem{Code: code, Outcome: api.ProblemOutcome(outcome), Message: text},
	}
}

func resultProblem(e *resultError) *api.ProblemStatusCode {
	return newProblem(httpStatus(e.result), string(e.result.Code), e.result.Outcome, e.Error())
}

func staleProblem(e *model.StaleError) *api.ProblemStatusCode {
	p := newProblem(http.StatusConflict, "stale_version", model.NotRun, e.Error())
	p.Response.CurrentVersion = api.NewOptInt64(e.Current)
	for _, c := range e.Conflicts {
		if change, err := convert[api.Change](c); err == nil {
			p.Response.Conflicts = append(p.Response.Conflicts, *change)
		}
	}
	return p
}

func findingsProblem(e *model.FindingsError) *api.ProblemStatusCode {
	p := newProblem(http.StatusUnprocessableEntity, "invalid", model.NotRun, "the patch is refused; nothing was written")
	for _, f := range e.Findings {
		if finding, err := convert[api.Finding](f); err == nil {
			p.Response.Findings = append(p.Response.Findings, *finding)
		}
	}
	return p
}

// writeAPIError answers requests that the generated code cannot decode.
func writeAPIError(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	writeProblem(w, newProblem(http.StatusBadRequest, string(model.CodeBadRequest), model.NotRun, err.Error()))
}

func writeProblem(w http.ResponseWriter, p *api.ProblemStatusCode) {
	data, err := json.Marshal(&p.Response)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(model.HeaderOutcome, string(p.Response.Outcome))
	h.Set(model.HeaderCode, p.Response.Code)
	w.WriteHeader(p.StatusCode)
	_, _ = w.Write(data)
}
