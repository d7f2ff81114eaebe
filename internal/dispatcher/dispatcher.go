// Package dispatcher carries requests to upstream servers and to other
// instances over HTTP, and says truthfully what became of them.
//
// A request that never had a connection did not run. Once a connection was
// handed to it, bytes may have gone out: whatever fails from then on is
// unknown. An answer counts only when it is whole. The HTTP client never
// repeats a request by itself, since the bodies cannot be rewound.
//
// Usage:
//
//	d := dispatcher.Dispatcher{Clock: clock.System(), MaxAnswerBytes: 8 << 20}
//	answered, answer := d.Run(ctx, effect, job)
package dispatcher

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccathread/yuccathread/internal/clock"
	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
)

const (
	// staleDecision is the age at which a decision is not acted on any more.
	staleDecision = 250 * time.Millisecond
	// peerGrace lets an instance say what became of work at its deadline.
	peerGrace = 100 * time.Millisecond
	// dialLimit bounds the time to connect.
	dialLimit = 500 * time.Millisecond
	// idleLimit closes connections that are not used.
	idleLimit = 60 * time.Second
	// maxIdlePeer bounds idle connections to one instance.
	maxIdlePeer = 64
)

// Dispatcher sends requests. Set the fields before the first call.
type Dispatcher struct {
	Clock          clock.Clock
	MaxAnswerBytes int64
	// Connections bounds the connections to one server.
	Connections int

	once    sync.Once
	servers *http.Client
	peers   *http.Client
}

func (d *Dispatcher) start() {
	d.servers = newClient(d.Connections, d.Connections)
	d.peers = newClient(0, maxIdlePeer)
}

func newClient(connections, idle int) *http.Client {
	dialer := &net.Dialer{Timeout: dialLimit}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxConnsPerHost:     connections,
			MaxIdleConnsPerHost: idle,
			IdleConnTimeout:     idleLimit,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close lets go of idle connections.
func (d *Dispatcher) Close() {
	d.once.Do(d.start)
	d.servers.CloseIdleConnections()
	d.peers.CloseIdleConnections()
}

// Run sends a request to an upstream server. The answer is nil unless the
// request ran.
func (d *Dispatcher) Run(ctx context.Context, x message.Dispatch, job model.Job) (message.Answered, *model.Answer) {
	answered := message.Answered{ID: x.ID, Attempt: x.Attempt}
	if d.Clock.Now().Sub(x.Decided) > staleDecision {
		answered.Result = model.Result{Outcome: model.NotRun, Code: model.CodeUpstreamRefused, Detail: "decision too old"}
		return answered, nil
	}
	ctx, cancel := context.WithDeadline(ctx, x.Deadline)
	defer cancel()
	request, err := d.newRequest(ctx, "http://"+x.Server.Address+"/run", job)
	if err != nil {
		answered.Result = model.Result{Outcome: model.NotRun, Code: model.CodeUpstreamFailed, Detail: err.Error()}
		return answered, nil
	}
	request.Header.Set(model.HeaderRequestID, x.ID)
	request.Header.Set(model.HeaderKind, x.Kind)
	request.Header.Set(model.HeaderDeadlineMS, remaining(x.Deadline.Sub(d.Clock.Now())))
	if x.Key != "" {
		request.Header.Set(model.HeaderKey, x.Key)
	}
	e := d.exchange(d.servers, request)
	answered.Abandoned = e.failed != nil && e.connected && ctx.Err() != nil
	answered.Draining = e.header.Get(model.HeaderDraining) == "true"
	answered.Result = serverResult(e, x)
	if answered.Result.Outcome != model.Ran {
		return answered, nil
	}
	return answered, e.answer()
}

func serverResult(e exchange, x message.Dispatch) model.Result {
	switch {
	case e.failed != nil:
		return failure(e, model.CodeUpstreamFailed)
	case e.status == http.StatusServiceUnavailable && e.header.Get(model.HeaderOutcome) == string(model.NotRun):
		return model.Result{Outcome: model.NotRun, Code: model.CodeUpstreamRefused, Detail: x.Server.Name}
	}
	if id := e.header.Get(model.HeaderRequestID); id != "" && id != x.ID {
		return model.Result{Outcome: model.Unknown, Code: model.CodeUpstreamFailed, Detail: "answer to another request"}
	}
	return model.Result{
		Outcome:     model.Ran,
		Code:        model.CodeOK,
		Status:      e.status,
		AnswerBytes: int64(len(e.body)),
		Server:      x.Server.Name,
	}
}

// Forward hands a request to another instance.
func (d *Dispatcher) Forward(ctx context.Context, x message.Forward, job model.Job) (message.PeerAnswered, *model.Answer) {
	answered := message.PeerAnswered{ID: x.ID, Attempt: x.Attempt}
	if d.Clock.Now().Sub(x.Decided) > staleDecision {
		answered.Result = model.Result{Outcome: model.NotRun, Code: model.CodePeerFailed, Detail: "decision too old"}
		return answered, nil
	}
	ctx, cancel := context.WithDeadline(ctx, x.Deadline.Add(peerGrace))
	defer cancel()
	request, err := d.newRequest(ctx, "http://"+x.Peer.PeerAddress+model.PathPeerWork, job)
	if err != nil {
		answered.Result = model.Result{Outcome: model.NotRun, Code: model.CodePeerFailed, Detail: err.Error()}
		return answered, nil
	}
	meta, err := json.Marshal(x.Request)
	if err != nil {
		answered.Result = model.Result{Outcome: model.NotRun, Code: model.CodePeerFailed, Detail: err.Error()}
		return answered, nil
	}
	request.Header.Set(model.HeaderPeerRequest, string(meta))
	request.Header.Set(model.HeaderInstance, x.Peer.Incarnation)
	request.Header.Set(model.HeaderDeadlineMS, remaining(x.Deadline.Sub(d.Clock.Now())))
	e := d.exchange(d.peers, request)
	answered.Result = peerResult(e, x)
	if answered.Result.Outcome != model.Ran || answered.Result.Code != model.CodeOK {
		return answered, nil
	}
	return answered, e.answer()
}

func peerResult(e exchange, x message.Forward) model.Result {
	if e.failed != nil {
		return failure(e, model.CodePeerFailed)
	}
	var result model.Result
	err := json.Unmarshal([]byte(e.header.Get(model.HeaderPeerResult)), &result)
	if err != nil || result.Outcome == "" {
		return model.Result{Outcome: model.Unknown, Code: model.CodePeerFailed, Detail: "malformed result from " + x.Peer.Name}
	}
	if result.Outcome == model.Ran && result.Code == model.CodeOK && result.AnswerBytes != int64(len(e.body)) {
		return model.Result{Outcome: model.Unknown, Code: model.CodePeerFailed, Detail: "answer is not whole"}
	}
	result.Status = e.status
	return result
}

// failure says what is known of a request whose exchange failed.
func failure(e exchange, code model.Code) model.Result {
	if !e.connected {
		return model.Result{Outcome: model.NotRun, Code: code, Detail: e.failed.Error()}
	}
	if errors.Is(e.failed, context.DeadlineExceeded) {
		code = model.CodeDeadline
	}
	return model.Result{Outcome: model.Unknown, Code: code, Detail: e.failed.Error()}
}

// exchange is one request and what came back.
type exchange struct {
	connected bool
	failed    error
	status    int
	header    http.Header
	body      []byte
}

func (e exchange) answer() *model.Answer {
	return &model.Answer{Status: e.status, ContentType: e.header.Get("Content-Type"), Body: e.body}
}

var errTooLarge = errors.New("dispatcher: the answer is too large")

func (d *Dispatcher) exchange(client *http.Client, request *http.Request) exchange {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	response, err := client.Do(request)
	if err != nil {
		return exchange{connected: connected.Load(), failed: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, d.MaxAnswerBytes+1))
	if err == nil && int64(len(body)) > d.MaxAnswerBytes {
		err = errTooLarge
	}
	return exchange{connected: true, failed: err, status: response.StatusCode, header: response.Header, body: body}
}

// onceReader hides the type of a body, so that the client cannot rewind and
// repeat it.
type onceReader struct {
	io.Reader
}

func (d *Dispatcher) newRequest(ctx context.Context, target string, job model.Job) (*http.Request, error) {
	d.once.Do(d.start)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, onceReader{bytes.NewReader(job.Body)})
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(job.Body))
	if job.ContentType != "" {
		request.Header.Set("Content-Type", job.ContentType)
	}
	return request, nil
}

func remaining(d time.Duration) string {
	return strconv.FormatInt(max(1, d.Milliseconds()), 10)
}
