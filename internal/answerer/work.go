package answerer

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccathread/yuccathread/internal/api"
	"github.com/yuccathread/yuccathread/internal/model"
	"github.com/yuccathread/yuccathread/internal/reducer"
)

const (
	// statusClientClosed is the non-standard status, introduced by nginx, for a
	// caller that closed the connection before the answer.
	statusClientClosed = 499
	// maxIDBytes bounds request IDs and keys that callers choose.
	maxIDBytes = 200
	// maxDeadline bounds the deadline that a caller may request for any kind. The
	// kind's own limit is applied later.
	maxDeadline = time.Hour
	// idBase is the base in which random numbers are written in request IDs.
	idBase = 36
)

// handleWork handles work from a caller.
func (a *Answerer) handleWork(w http.ResponseWriter, r *http.Request) {
	if name, outcome := ambiguousHeader(r.Header); name != "" {
		writeProblem(w, newProblem(http.StatusBadRequest, string(model.CodeBadRequest), outcome, name+" has several different values"))
		return
	}
	id := r.Header.Get(model.HeaderRequestID)
	if len(id) > maxIDBytes || len(r.Header.Get(model.HeaderKey)) > maxIDBytes {
		// No key of this length was ever accepted, so the work cannot have run.
		writeProblem(w, newProblem(http.StatusBadRequest, string(model.CodeBadRequest), model.NotRun, "id or key is too long"))
		return
	}
	// The random part distinguishes requests to which callers gave the same ID.
	id += "-" + strconv.FormatUint(rand.Uint64(), idBase)
	request := model.Request{
		ID:   id,
		Kind: r.PathValue("kind"),
		Key:  r.Header.Get(model.HeaderKey),
	}
	a.Engine.View(func(x *reducer.Reducer) { request.Home = x.HomeDomain(parseHostAddress(r.RemoteAddr)) })
	a.serveWork(w, r, request, false)
}

// ambiguousHeader returns the name of a header that has several different values where
// there must be one, and the outcome to report: an earlier request may have run with one of
// several keys.
func ambiguousHeader(h http.Header) (string, model.Outcome) {
	for _, name := range []string{model.HeaderKey, model.HeaderRequestID, model.HeaderDeadlineMS} {
		if len(slices.Compact(slices.Clone(h.Values(name)))) < 2 {
			continue
		}
		if h.Get(model.HeaderKey) != "" {
			return name, model.Unknown
		}
		return name, model.NotRun
	}
	return "", ""
}

// handlePeerWork handles work that another instance forwards.
func (a *Answerer) handlePeerWork(w http.ResponseWriter, r *http.Request) {
	var request model.Request
	err := json.Unmarshal([]byte(r.Header.Get(model.HeaderPeerRequest)), &request)
	if err != nil || request.ID == "" {
		writeProblem(w, newProblem(http.StatusBadRequest, string(model.CodeBadRequest), model.NotRun, "malformed peer request"))
		return
	}
	if incarnation := r.Header.Get(model.HeaderInstance); request.Bound && incarnation != a.Self.Incarnation {
		writeResult(w, request.ID, model.Result{Outcome: model.Unknown, Code: model.CodeIssuerUnreachable}, nil, true)
		return
	}
	a.serveWork(w, r, request, true)
}

// serveWork reads the body, submits the request and writes its result.
func (a *Answerer) serveWork(w http.ResponseWriter, r *http.Request, request model.Request, fromPeer bool) {
	reject := func(code model.Code, detail string) {
		writeResult(w, request.ID, unsubmittedResult(request, code, detail), nil, fromPeer)
	}
	deadline, err := readDeadline(r)
	if err != nil {
		reject(model.CodeBadRequest, err.Error())
		return
	}
	if deadline > 0 {
		request.Deadline = a.Clock.Now().Add(deadline)
	}
	limit := a.maxBodyBytesFor(request.Kind)
	if r.ContentLength > limit {
		reject(model.CodeBodyTooLarge, "see the kind's max_body_bytes")
		return
	}
	if r.ContentLength >= 0 {
		limit = r.ContentLength
	}
	if !a.BodyBudget.TryAcquire(limit) {
		reject(model.CodeOverloaded, "too many request bodies")
		return
	}
	defer a.BodyBudget.Release(limit)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		reject(bodyErrorCode(err), err.Error())
		return
	}
	request.BodyBytes = int64(len(body))
	if !fromPeer {
		request.Digest = xxhash.Sum64String(request.Kind) ^ xxhash.Sum64(body)
	}
	payload := model.Payload{ContentType: r.Header.Get("Content-Type"), Body: body}
	result, answer := a.Executor.Submit(r.Context(), request, payload)
	writeResult(w, request.ID, result, answer, fromPeer)
}

// unsubmittedResult is the result of a request that was never submitted to the
// reducer. If it has a key, the outcome is unknown, because an earlier request
// with the same key may have run.
func unsubmittedResult(request model.Request, code model.Code, detail string) model.Result {
	result := model.Result{Outcome: model.NotRun, Code: code, Detail: detail}
	if request.Key != "" {
		result.Outcome = model.Unknown
	}
	return result
}

func bodyErrorCode(err error) model.Code {
	if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
		return model.CodeBodyTooLarge
	}
	return model.CodeBadRequest
}

// maxBodyBytesFor returns the largest body that a request of the kind may have. No
// more than that is reserved in BodyBudget and read into memory.
func (a *Answerer) maxBodyBytesFor(kind string) int64 {
	limit := int64(0)
	a.Engine.View(func(x *reducer.Reducer) { limit = x.MaxBodyBytes(kind) })
	if limit == 0 {
		return a.MaxBodyBytes // The reducer rejects the unknown kind.
	}
	return min(limit, a.MaxBodyBytes)
}

var errInvalidDeadline = errors.New("answerer: " + model.HeaderDeadlineMS + " must be a positive number of milliseconds")

func readDeadline(r *http.Request) (time.Duration, error) {
	text := r.Header.Get(model.HeaderDeadlineMS)
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 {
		return 0, errInvalidDeadline
	}
	return time.Duration(min(ms, maxDeadline.Milliseconds())) * time.Millisecond, nil
}

// writeResult writes the upstream's answer or a problem response. Answers have a
// Content-Length, so that the receiver detects a truncated one.
func writeResult(w http.ResponseWriter, id string, result model.Result, answer *model.Answer, fromPeer bool) {
	h := w.Header()
	h.Set(model.HeaderRequestID, id)
	if fromPeer {
		data, err := json.Marshal(result)
		if err == nil {
			h.Set(model.HeaderPeerResult, string(data))
		}
	}
	if answer == nil {
		if result.RetryAfter > 0 {
			h.Set("Retry-After", strconv.Itoa(int(math.Ceil(result.RetryAfter.Seconds()))))
		}
		p := resultProblem(&resultError{result: result})
		p.Response.RequestID = api.NewOptString(id)
		writeProblem(w, p)
		return
	}
	h.Set(model.HeaderOutcome, string(result.Outcome))
	h.Set(model.HeaderCode, string(result.Code))
	h.Set(model.HeaderServer, result.Server)
	if answer.ContentType != "" {
		h.Set("Content-Type", answer.ContentType)
	}
	h.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

// httpStatus returns the HTTP status for a result without an answer.
func httpStatus(result model.Result) int {
	switch result.Code {
	case model.CodeUnknownKind:
		return http.StatusNotFound
	case model.CodeBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case model.CodeDeadlineExceeded:
		return http.StatusGatewayTimeout
	case model.CodeKeyRequired, model.CodeBadRequest:
		return http.StatusBadRequest
	case model.CodeKeyReused:
		return http.StatusUnprocessableEntity
	case model.CodeTicketExpired, model.CodeAnswerNotKept:
		return http.StatusGone
	case model.CodeClaimedElsewhere, model.CodeIssuerUnreachable:
		return http.StatusConflict
	case model.CodeUpstreamFailed, model.CodePeerFailed:
		return http.StatusBadGateway
	case model.CodeCallerGone:
		return statusClientClosed
	}
	return http.StatusServiceUnavailable
}

func (a *Answerer) handleHealth(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprintln(w, "ok")
}

func (a *Answerer) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !a.status().Ready {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

// peer implements the methods that other instances call over net/rpc.
type peer struct {
	answerer *Answerer
}

var errNoReply = errors.New("answerer: the reducer returned no gossip reply")

// Exchange answers a gossip request.
func (p *peer) Exchange(request model.Gossip, reply *model.Gossip) error {
	answer := p.answerer.replyToGossip(request)
	if answer == nil {
		return errNoReply
	}
	*reply = *answer
	return nil
}

// Configuration returns the configuration in force at this instance.
func (p *peer) Configuration(_ model.Empty, reply *model.Head) error {
	p.answerer.Engine.View(func(r *reducer.Reducer) { *reply = r.ConfigurationHead() })
	return nil
}

// Timeline returns matching records from this instance's timeline.
func (p *peer) Timeline(query model.TimelineQuery, reply *[]model.Record) error {
	*reply = p.answerer.selectRecords(query)
	return nil
}

// Table returns the failure domain's table as known to this instance.
func (p *peer) Table(_ model.Empty, reply *model.Table) error {
	p.answerer.Engine.View(func(r *reducer.Reducer) { *reply = r.Table() })
	return nil
}
