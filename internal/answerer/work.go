package answerer

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccathread/yuccathread/internal/api"
	"github.com/yuccathread/yuccathread/internal/model"
	"github.com/yuccathread/yuccathread/internal/reducer"
)

const (
	// statusClientClosed is the customary status for a caller that went away.
	statusClientClosed = 499
	// maxIDBytes bounds ids and keys that callers choose.
	maxIDBytes = 200
	// maxDeadline bounds deadlines before the kind's own is known.
	maxDeadline = time.Hour
	// idBase writes random numbers.
	idBase = 36
)

// work takes work from a caller.
func (a *Answerer) work(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(model.HeaderRequestID)
	if len(id) > maxIDBytes || len(r.Header.Get(model.HeaderKey)) > maxIDBytes {
		// No key of this length was ever taken.
		writeProblem(w, problem(http.StatusBadRequest, string(model.CodeBadRequest), model.NotRun, "id or key is too long"))
		return
	}
	// The random part keeps two requests apart that callers gave the same id.
	id += "-" + strconv.FormatUint(rand.Uint64(), idBase)
	request := model.Request{
		ID:   id,
		Kind: r.PathValue("kind"),
		Key:  r.Header.Get(model.HeaderKey),
	}
	a.Engine.View(func(x *reducer.Reducer) { request.Home = x.Home(hostAddress(r.RemoteAddr)) })
	a.serve(w, r, request, false)
}

// peerWork takes work that another instance hands on.
func (a *Answerer) peerWork(w http.ResponseWriter, r *http.Request) {
	var request model.Request
	err := json.Unmarshal([]byte(r.Header.Get(model.HeaderPeerRequest)), &request)
	if err != nil || request.ID == "" {
		writeProblem(w, problem(http.StatusBadRequest, string(model.CodeBadRequest), model.NotRun, "malformed peer request"))
		return
	}
	if incarnation := r.Header.Get(model.HeaderInstance); request.Bound && incarnation != a.Self.Incarnation {
		writeResult(w, request.ID, model.Result{Outcome: model.Unknown, Code: model.CodeIssuerAway}, nil, true)
		return
	}
	a.serve(w, r, request, true)
}

// serve reads the body, gives the request to the engine and writes its end.
func (a *Answerer) serve(w http.ResponseWriter, r *http.Request, request model.Request, peer bool) {
	refuse := func(code model.Code, detail string) {
		writeResult(w, request.ID, unread(request, code, detail), nil, peer)
	}
	deadline, err := readDeadline(r)
	if err != nil {
		refuse(model.CodeBadRequest, err.Error())
		return
	}
	if deadline > 0 {
		request.Deadline = a.Clock.Now().Add(deadline)
	}
	limit := a.bodyLimit(request.Kind)
	if r.ContentLength > limit {
		refuse(model.CodeBodyTooLarge, "see the kind's max_body_bytes")
		return
	}
	if r.ContentLength >= 0 {
		limit = r.ContentLength
	}
	if !a.Bodies.TryAcquire(limit) {
		refuse(model.CodeOverloaded, "too many request bodies")
		return
	}
	defer a.Bodies.Release(limit)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		refuse(bodyCode(err), err.Error())
		return
	}
	request.BodyBytes = int64(len(body))
	if !peer {
		request.Digest = xxhash.Sum64String(request.Kind) ^ xxhash.Sum64(body)
	}
	job := model.Job{ContentType: r.Header.Get("Content-Type"), Body: body}
	result, answer := a.Executor.Submit(r.Context(), request, job)
	writeResult(w, request.ID, result, answer, peer)
}

// unread is the end of a request that the reducer never saw. An earlier one
// with the same key may have run.
func unread(request model.Request, code model.Code, detail string) model.Result {
	result := model.Result{Outcome: model.NotRun, Code: code, Detail: detail}
	if request.Key != "" {
		result.Outcome = model.Unknown
	}
	return result
}

func bodyCode(err error) model.Code {
	if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
		return model.CodeBodyTooLarge
	}
	return model.CodeBadRequest
}

// bodyLimit is the kind's own limit, so that no more is held in memory.
func (a *Answerer) bodyLimit(kind string) int64 {
	limit := int64(0)
	a.Engine.View(func(x *reducer.Reducer) { limit = x.BodyLimit(kind) })
	if limit == 0 {
		return a.MaxBodyBytes // The reducer will refuse the kind.
	}
	return min(limit, a.MaxBodyBytes)
}

var errDeadline = errors.New("answerer: " + model.HeaderDeadlineMS + " must be a positive number of milliseconds")

func readDeadline(r *http.Request) (time.Duration, error) {
	text := r.Header.Get(model.HeaderDeadlineMS)
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 {
		return 0, errDeadline
	}
	return time.Duration(min(ms, maxDeadline.Milliseconds())) * time.Millisecond, nil
}

// writeResult answers with the upstream's whole answer or with a problem.
// Answers carry their length, so that one cut off on the way is seen to be.
func writeResult(w http.ResponseWriter, id string, result model.Result, answer *model.Answer, peer bool) {
	h := w.Header()
	h.Set(model.HeaderRequestID, id)
	if peer {
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

// httpStatus maps results without an answer to HTTP statuses.
func httpStatus(result model.Result) int {
	switch result.Code {
	case model.CodeUnknownKind:
		return http.StatusNotFound
	case model.CodeBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case model.CodeDeadline:
		return http.StatusGatewayTimeout
	case model.CodeKeyRequired, model.CodeBadRequest:
		return http.StatusBadRequest
	case model.CodeKeyReused:
		return http.StatusUnprocessableEntity
	case model.CodeTicketExpired, model.CodeAnswerDropped:
		return http.StatusGone
	case model.CodeClaimed, model.CodeIssuerAway:
		return http.StatusConflict
	case model.CodeUpstreamFailed, model.CodePeerFailed:
		return http.StatusBadGateway
	case model.CodeCallerGone:
		return statusClientClosed
	}
	return http.StatusServiceUnavailable
}

func (a *Answerer) healthy(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprintln(w, "ok")
}

func (a *Answerer) ready(w http.ResponseWriter, _ *http.Request) {
	if !a.status().Ready {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

// peer has the methods that other instances call over net/rpc.
type peer struct {
	answerer *Answerer
}

var errNoGossip = errors.New("answerer: no gossip")

// Exchange answers gossip.
func (p *peer) Exchange(question model.Gossip, reply *model.Gossip) error {
	effect := p.answerer.exchange(question)
	if effect == nil {
		return errNoGossip
	}
	*reply = *effect
	return nil
}

// Configuration hands out the configuration in force here.
func (p *peer) Configuration(_ model.Empty, reply *model.Head) error {
	p.answerer.Engine.View(func(r *reducer.Reducer) { *reply = r.Head() })
	return nil
}

// Timeline hands out records of this instance's time line.
func (p *peer) Timeline(query model.TimelineQuery, reply *[]model.Record) error {
	*reply = p.answerer.selectRecords(query)
	return nil
}

// Table hands out the failure domain's table as known here.
func (p *peer) Table(_ model.Empty, reply *model.Table) error {
	p.answerer.Engine.View(func(r *reducer.Reducer) { *reply = r.Table() })
	return nil
}
