// Package executor carries out the reducer's effects: it calls upstreams, other
// instances and the platform, and returns the results to the reducer as events.
//
// Usage:
//
//	x := &executor.Executor{Store: store, List: list, ...}
//	e := &engine.Engine{Reducer: r, Clock: c, Execute: x.Execute}
//	x.Start(ctx, e)
//	result, answer := x.Submit(ctx, request, payload)
//
// Execute never blocks: every call runs in its own goroutine and has a timeout.
// Calls that could pile up, such as those to a slow platform, are skipped while
// one of the same name is running.
package executor

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/yuccathread/yuccathread/internal/clock"
	"github.com/yuccathread/yuccathread/internal/dispatcher"
	"github.com/yuccathread/yuccathread/internal/engine"
	"github.com/yuccathread/yuccathread/internal/gossiper"
	"github.com/yuccathread/yuccathread/internal/lister"
	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
	"github.com/yuccathread/yuccathread/internal/recorder"
)

// Executor carries out effects. Set the exported fields before Start.
type Executor struct {
	Clock      clock.Clock
	Logger     *slog.Logger
	Store      model.Store
	List       *lister.Lister
	Dispatcher *dispatcher.Dispatcher
	Gossiper   *gossiper.Gossiper
	// LoadClient requests load reports from upstream servers.
	LoadClient *http.Client
	Domain     string
	// TimelineRecords is the number of timeline records kept. RetainedBytes
	// bounds the total size of retained answers.
	TimelineRecords int
	RetainedBytes   int64
	// OnResult is called for every finished request.
	OnResult func(model.Result)
	// OnExit is called once, when the reducer ends the process.
	OnExit func(message.Exit)

	ctx    context.Context
	engine *engine.Engine

	mutex       sync.Mutex
	pending     map[string]*pending
	answerStore answerStore
	timeline    recorder.Recorder[model.Record]
	running     map[string]bool
	head        headCache
	table       tableCache
}

// Start connects the executor to an engine. HTTP calls are cancelled when ctx
// ends; RPC calls to other instances end at their timeout.
func (x *Executor) Start(ctx context.Context, e *engine.Engine) {
	x.ctx = ctx
	x.engine = e
	x.pending = make(map[string]*pending)
	x.running = make(map[string]bool)
	x.answerStore.initialize(x.RetainedBytes)
	x.timeline.Size = x.TimelineRecords
}

// Execute starts to carry out an effect.
func (x *Executor) Execute(effect message.Effect) {
	switch e := effect.(type) {
	case message.Dispatch:
		x.dispatch(e)
	case message.Forward:
		x.forward(e)
	case message.CancelAttempt:
		x.cancelAttempt(e)
	case message.Reply:
		x.reply(e)
	case message.RetainAnswer:
		x.retainAnswer(e.ID)
	case message.DiscardAnswer:
		x.discardAnswer(e.ID)
	case message.Timer:
		time.AfterFunc(e.At.Sub(x.Clock.Now()), func() { x.engine.Handle(e.Event) })
	case message.AppendRecord:
		x.record(e.Record)
	case message.Exit:
		go x.OnExit(e)
	default:
		x.executeControl(effect)
	}
}

func (x *Executor) executeControl(effect message.Effect) {
	switch e := effect.(type) {
	case message.SendGossip:
		x.runExclusive("gossip "+e.Peer.PeerAddress, func() { x.sendGossip(e) })
	case message.ReadConfiguration:
		x.runExclusive("read configuration", x.readConfiguration)
	case message.FetchConfiguration:
		x.runExclusive("fetch configuration", func() { x.fetchConfiguration(e.Peer) })
	case message.ReadTable:
		x.runExclusive("read table", x.readTable)
	case message.FetchTable:
		x.runExclusive("fetch table", func() { x.fetchTable(e.Peer) })
	case message.WriteTable:
		x.runExclusive("write table", func() { x.writeTable(e) })
	case message.ReadListing:
		x.runExclusive("list "+e.Domain, func() { x.readListing(e.Domain) })
	case message.PollLoad:
		x.runExclusive("load "+e.Server.Address, func() { x.pollLoad(e.Server) })
	case message.Claim:
		go x.claim(e)
	case message.Settle:
		x.runExclusive("settle "+e.Claim.Key, func() { x.settle(e) })
	}
}

// runExclusive runs a call in a goroutine unless one of the same name is running.
func (x *Executor) runExclusive(name string, call func()) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.running[name] {
		return
	}
	x.running[name] = true
	go func() {
		defer func() {
			x.mutex.Lock()
			delete(x.running, name)
			x.mutex.Unlock()
		}()
		call()
	}()
}

// record adds a record to the timeline and logs it, at debug level if it is about
// a single request.
func (x *Executor) record(r model.Record) {
	x.mutex.Lock()
	x.timeline.Add(r)
	x.mutex.Unlock()
	level := slog.LevelInfo
	if r.Request != "" {
		level = slog.LevelDebug
	}
	if !x.Logger.Enabled(x.ctx, level) {
		return
	}
	go x.Logger.Log(x.ctx, level, r.Kind,
		slog.String("request", r.Request),
		slog.String("subject", r.Subject),
		slog.String("reason", r.Reason),
		slog.String("inputs", r.Inputs),
	)
}

// Timeline returns the timeline records kept, oldest first.
func (x *Executor) Timeline() []model.Record {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.timeline.All()
}
