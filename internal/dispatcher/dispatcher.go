// Package dispatcher sends requests to upstream servers and to other instances
// over HTTP and reports whether they were executed.
//
// A request that never got a connection did not run. Once it has a connection,
// bytes may have been sent, so the outcome of any later failure is unknown. Only
// a complete answer counts as ran. The HTTP client never retries a request by
// itself, because the bodies cannot be rewound.
//
// Usage:
//
//	d := dispatcher.Dispatcher{Clock: clock.System(), MaxAnswerBytes: 8 << 20}
//	done, answer := d.Send(ctx, effect, payload)
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
	// maxDecisionAge is the age above which a dispatch decision is discarded.
	maxDecisionAge = 250 * time.Millisecond
	// peerDeadlineGrace is added to the deadline of forwarded work, so that the
	// other instance can still report the outcome when the deadline passes.
	peerDeadlineGrace = 100 * time.Millisecond
	// dialTimeout bounds the time to connect.
	dialTimeout = 500 * time.Millisecond
	// idleConnTimeout is the time after which an idle connection is closed.
	idleConnTimeout = 60 * time.Second
	// maxIdlePeerConns bounds the idle connections to one instance.
	maxIdlePeerConns = 64
)

// Dispatcher sends requests. Set the fields before the first call.
type Dispatcher struct {
	Clock          clock.Clock
	MaxAnswerBytes int64
	// MaxConnsPerServer bounds the connections to one upstream server.
	MaxConnsPerServer int

	once    sync.Once
	servers *http.Client
	peers   *http.Client
}

func (d *Dispatcher) createClients() {
	d.servers = newClient(d.MaxConnsPerServer, d.MaxConnsPerServer)
	d.peers = newClient(0, maxIdlePeerConns)
}

func newClient(maxConns, maxIdle int) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxConnsPerHost:     maxConns,
			MaxIdleConnsPerHost: maxIdle,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close closes idle connections.
func (d *Dispatcher) Close() {
	d.once.Do(d.createClients)
	d.servers.CloseIdleConnections()
	d.peers.CloseIdleConnections()
}

// Send sends a request to an upstream server. The answer is nil unless the
// request ran.
func (d *Dispatcher) Send(ctx context.Context, dispatch message.Dispatch, payload model.Payload) (message.DispatchDone, *model.Answer) {
	done := message.DispatchDone{ID: dispatch.ID, Attempt: dispatch.Attempt}
	if d.Clock.Now().Sub(dispatch.DecidedAt) > maxDecisionAge {
		done.Result = model.Result{Outcome: model.NotRun, Code: model.CodeUpstreamRefused, Detail: "decision too old"}
		return done, nil
	}
	ctx, cancel := context.WithDeadline(ctx, dispatch.Deadline)
	defer cancel()
	request, err := d.newRequest(ctx, "http://"+dispatch.Server.Address+"/run", payload)
	if err != nil {
		done.Result = model.Result{Outcome: model.NotRun, Code: model.CodeUpstreamFailed, Detail: err.Error()}
		return done, nil
	}
	request.Header.Set(model.HeaderRequestID, dispatch.ID)
	request.Header.Set(model.HeaderKind, dispatch.Kind)
	request.Header.Set(model.HeaderDeadlineMS, formatMilliseconds(dispatch.Deadline.Sub(d.Clock.Now())))
	if dispatch.Key != "" {
		request.Header.Set(model.HeaderKey, dispatch.Key)
	}
	e := d.exchange(d.servers, request)
	done.Aborted = e.failure != nil && e.connected && ctx.Err() != nil
	done.Draining = e.header.Get(model.HeaderDraining) == "true"
	done.Result = serverResult(e, dispatch)
	if done.Result.Outcome != model.Ran {
		return done, nil
	}
	return done, e.answer()
}

func serverResult(e exchange, dispatch message.Dispatch) model.Result {
	switch {
	case e.failure != nil:
		return failedResult(e, model.CodeUpstreamFailed)
	case e.status == http.StatusServiceUnavailable && e.header.Get(model.HeaderOutcome) == string(model.NotRun):
		return model.Result{Outcome: model.NotRun, Code: model.CodeUpstreamRefused, Detail: dispatch.Server.Name}
	}
	if id := e.header.Get(model.HeaderRequestID); id != "" && id != dispatch.ID {
		return model.Result{Outcome: model.Unknown, Code: model.CodeUpstreamFailed, Detail: "answer to another request"}
	}
	return model.Result{
		Outcome:     model.Ran,
		Code:        model.CodeOK,
		Status:      e.status,
		AnswerBytes: int64(len(e.body)),
		Server:      dispatch.Server.Name,
	}
}

// Forward sends a request to another instance. The answer is nil unless the
// other instance reports that the request ran and returns the whole answer.
func (d *Dispatcher) Forward(ctx context.Context, forward message.Forward, payload model.Payload) (message.ForwardDone, *model.Answer) {
	done := message.ForwardDone{ID: forward.ID, Attempt: forward.Attempt}
	if d.Clock.Now().Sub(forward.DecidedAt) > maxDecisionAge {
		done.Result = model.Result{Outcome: model.NotRun, Code: model.CodePeerFailed, Detail: "decision too old"}
		return done, nil
	}
	ctx, cancel := context.WithDeadline(ctx, forward.Deadline.Add(peerDeadlineGrace))
	defer cancel()
	request, err := d.newRequest(ctx, "http://"+forward.Peer.PeerAddress+model.PathPeerWork, payload)
	if err != nil {
		done.Result = model.Result{Outcome: model.NotRun, Code: model.CodePeerFailed, Detail: err.Error()}
		return done, nil
	}
	metadata, err := json.Marshal(forward.Request)
	if err != nil {
		done.Result = model.Result{Outcome: model.NotRun, Code: model.CodePeerFailed, Detail: err.Error()}
		return done, nil
	}
	request.Header.Set(model.HeaderPeerRequest, string(metadata))
	request.Header.Set(model.HeaderInstance, forward.Peer.Incarnation)
	request.Header.Set(model.HeaderDeadlineMS, formatMilliseconds(forward.Deadline.Sub(d.Clock.Now())))
	e := d.exchange(d.peers, request)
	done.Result = peerResult(e, forward)
	if done.Result.Outcome != model.Ran || done.Result.Code != model.CodeOK {
		return done, nil
	}
	return done, e.answer()
}

func peerResult(e exchange, forward message.Forward) model.Result {
	if e.failure != nil {
		return failedResult(e, model.CodePeerFailed)
	}
	var result model.Result
	err := json.Unmarshal([]byte(e.header.Get(model.HeaderPeerResult)), &result)
	if err != nil || result.Outcome == "" {
		return model.Result{Outcome: model.Unknown, Code: model.CodePeerFailed, Detail: "malformed result from " + forward.Peer.Name}
	}
	if result.Outcome == model.Ran && result.Code == model.CodeOK && result.AnswerBytes != int64(len(e.body)) {
		return model.Result{Outcome: model.Unknown, Code: model.CodePeerFailed, Detail: "answer is not whole"}
	}
	result.Status = e.status
	return result
}

// failedResult returns the result of a request whose exchange failed: not_run if
// it never got a connection, otherwise unknown.
func failedResult(e exchange, code model.Code) model.Result {
	if !e.connected {
		return model.Result{Outcome: model.NotRun, Code: code, Detail: e.failure.Error()}
	}
	if errors.Is(e.failure, context.DeadlineExceeded) {
		code = model.CodeDeadlineExceeded
	}
	return model.Result{Outcome: model.Unknown, Code: code, Detail: e.failure.Error()}
}

// exchange is the outcome of one HTTP request: an error or a response.
type exchange struct {
	connected bool
	failure   error
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
		return exchange{connected: connected.Load(), failure: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, d.MaxAnswerBytes+1))
	if err == nil && int64(len(body)) > d.MaxAnswerBytes {
		err = errTooLarge
	}
	return exchange{connected: true, failure: err, status: response.StatusCode, header: response.Header, body: body}
}

// nonRewindableReader hides the type of a request body, so that the HTTP client
// cannot rewind it to retry the request.
type nonRewindableReader struct {
	io.Reader
}

func (d *Dispatcher) newRequest(ctx context.Context, target string, payload model.Payload) (*http.Request, error) {
	d.once.Do(d.createClients)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, nonRewindableReader{bytes.NewReader(payload.Body)})
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(payload.Body))
	if payload.ContentType != "" {
		request.Header.Set("Content-Type", payload.ContentType)
	}
	return request, nil
}

func formatMilliseconds(d time.Duration) string {
	return strconv.FormatInt(max(1, d.Milliseconds()), 10)
}
