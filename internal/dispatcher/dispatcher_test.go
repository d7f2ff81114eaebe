package dispatcher_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/clock"
	"github.com/yuccathread/yuccathread/internal/dispatcher"
	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
)

// sendTo sends one request to a handler.
func sendTo(t *testing.T, handler http.HandlerFunc) (message.DispatchDone, *model.Answer) {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return send(t.Context(), strings.TrimPrefix(server.URL, "http://"), time.Now())
}

func send(ctx context.Context, address string, decidedAt time.Time) (message.DispatchDone, *model.Answer) {
	d := dispatcher.Dispatcher{Clock: clock.System(), MaxAnswerBytes: 1000, MaxConnsPerServer: 4}
	defer d.Close()
	return d.Send(ctx, message.Dispatch{
		ID: "r1", Key: "k", Server: model.Server{Address: address},
		DecidedAt: decidedAt, Deadline: time.Now().Add(200 * time.Millisecond),
	}, model.Payload{Body: []byte("work")})
}

// neverAnswer never answers. It reads the request body, because the server
// notices the end of the connection only after that.
func neverAnswer(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func TestOutcomes(t *testing.T) {
	cases := map[string]struct {
		handler http.HandlerFunc
		want    string
	}{
		"whole": {func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") }, "ran ok"},
		"cut short": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "50")
			fmt.Fprint(w, "done")
		}, "unknown upstream_failed"},
		"too large": {func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, strings.Repeat("x", 1001)) }, "unknown upstream_failed"},
		"closed":    {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, "unknown upstream_failed"},
		"silent":    {neverAnswer, "unknown deadline_exceeded"},
		"refused": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(model.HeaderOutcome, "not_run")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, "not_run upstream_refused"},
		"unavailable without outcome": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, "ran ok"},
		"another's":                   {func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(model.HeaderRequestID, "r2") }, "unknown upstream_failed"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			done, answer := sendTo(t, c.handler)
			assert.Equal(t, string(done.Result.Outcome)+" "+string(done.Result.Code), c.want)
			assert.Equal(t, answer != nil, done.Result.Outcome == model.Ran)
		})
	}
}

func TestNoConnectionIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	done, _ := send(t.Context(), address, time.Now())
	assert.Equal(t, done.Result.Outcome, model.NotRun)
}

func TestOldDecisionIsDiscarded(t *testing.T) {
	var received atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	defer server.Close()
	done, _ := send(t.Context(), strings.TrimPrefix(server.URL, "http://"), time.Now().Add(-time.Second))
	assert.Equal(t, done.Result.Outcome, model.NotRun)
	assert.Equal(t, received.Load(), int32(0))
}

// TestClientNeverRetries closes kept-alive connections while a request with an
// idempotency key is sent on them. HTTP clients retry such requests by default.
func TestClientNeverRetries(t *testing.T) {
	var received atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if received.Add(1)%2 == 0 {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprint(w, "done")
	}))
	defer server.Close()
	d := dispatcher.Dispatcher{Clock: clock.System(), MaxAnswerBytes: 1000, MaxConnsPerServer: 1}
	defer d.Close()
	for i := range 50 {
		d.Send(t.Context(), message.Dispatch{
			ID: fmt.Sprint(i), Key: "k", Server: model.Server{Address: strings.TrimPrefix(server.URL, "http://")},
			DecidedAt: time.Now(), Deadline: time.Now().Add(time.Second),
		}, model.Payload{})
	}
	assert.Equal(t, received.Load(), int32(50))
}

func TestForwardRequiresCompleteAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		result any
		body   string
		want   model.Outcome
	}{
		"whole":     {model.Result{Outcome: model.Ran, Code: model.CodeOK, AnswerBytes: 4}, "done", model.Ran},
		"short":     {model.Result{Outcome: model.Ran, Code: model.CodeOK, AnswerBytes: 9}, "done", model.Unknown},
		"nonsense":  {"nonsense", "done", model.Unknown},
		"not run":   {model.Result{Outcome: model.NotRun, Code: model.CodeOverloaded}, "", model.NotRun},
		"no result": {nil, "done", model.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				data, _ := json.Marshal(c.result)
				w.Header().Set(model.HeaderPeerResult, string(data))
				fmt.Fprint(w, c.body)
			}))
			defer server.Close()
			d := dispatcher.Dispatcher{Clock: clock.System(), MaxAnswerBytes: 1000, MaxConnsPerServer: 1}
			defer d.Close()
			done, _ := d.Forward(t.Context(), message.Forward{
				Peer:      model.Instance{PeerAddress: strings.TrimPrefix(server.URL, "http://")},
				DecidedAt: time.Now(), Deadline: time.Now().Add(time.Second),
			}, model.Payload{})
			assert.Equal(t, done.Result.Outcome, c.want)
		})
	}
}

// TestConnectionsAreBounded sends far more concurrent requests than connections
// may be open.
func TestConnectionsAreBounded(t *testing.T) {
	var open, maxOpen atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(5 * time.Millisecond)
		fmt.Fprint(w, "done")
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			maxOpen.Store(max(maxOpen.Load(), open.Add(1)))
		case http.StateClosed, http.StateHijacked:
			open.Add(-1)
		}
	}
	server.Start()
	defer server.Close()
	d := dispatcher.Dispatcher{Clock: clock.System(), MaxAnswerBytes: 1000, MaxConnsPerServer: 4}
	defer d.Close()
	var group sync.WaitGroup
	for i := range 100 {
		group.Go(func() {
			done, _ := d.Send(t.Context(), message.Dispatch{
				ID: fmt.Sprint(i), Server: model.Server{Address: strings.TrimPrefix(server.URL, "http://")},
				DecidedAt: time.Now(), Deadline: time.Now().Add(5 * time.Second),
			}, model.Payload{})
			assert.Check(t, done.Result.Outcome == model.Ran)
		})
	}
	group.Wait()
	assert.Assert(t, maxOpen.Load() <= 4, "%d connections", maxOpen.Load())
}
