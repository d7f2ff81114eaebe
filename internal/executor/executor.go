// Package executor acts on the reducer's effects: it calls upstreams, other
// instances and the platform, and returns what came of it as events.
//
// Usage:
//
//	x := &executor.Executor{Store: store, List: list, ...}
//	e := &engine.Engine{Reducer: r, Clock: c, Execute: x.Execute}
//	x.Run(ctx, e)
//	reply, answer := x.Submit(ctx, request, job)
//
// Execute never blocks; every call runs in a goroutine of its own and is
// bounded in time. Calls of one sort that would pile up behind a slow platform
// are skipped while one is under way.
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

// Executor acts on effects. Set the exported fields before Run.
type Executor struct {
	Clock      clock.Clock
	Logger     *slog.Logger
	Store      model.Store
	List       *lister.Lister
	Dispatcher *dispatcher.Dispatcher
	Gossiper   *gossiper.Gossiper
	// Platform asks servers for their load.
	Platform *http.Client
	Domain   string
	// TimelineRecords bounds the time line; RetainedBytes the kept answers.
	TimelineRecords int
	RetainedBytes   int64
	// Count is called for every finished request.
	Count func(model.Result)
	// Exited is called once, when the reducer ends the process.
	Exited func(message.Exit)

	ctx    context.Context
	engine *engine.Engine

	mutex    sync.Mutex
	pending  map[string]*pending
	answers  answers
	timeline recorder.Recorder[model.Record]
	busy     map[string]bool
	head     headCache
	table    tableCache
}

// Run binds the executor to an engine. Calls end with ctx.
func (x *Executor) Run(ctx context.Context, e *engine.Engine) {
	x.ctx = ctx
	x.engine = e
	x.pending = make(map[string]*pending)
	x.busy = make(map[string]bool)
	x.answers.start(x.RetainedBytes)
	x.timeline.Size = x.TimelineRecords
}

// Execute starts an effect.
func (x *Executor) Execute(effect message.Effect) {
	switch e := effect.(type) {
	case message.Dispatch:
		x.dispatch(e)
	case message.Forward:
		x.forward(e)
	case message.Cancel:
		x.cancel(e)
	case message.Reply:
		x.reply(e)
	case message.Retain:
		x.retain(e.ID)
	case message.Drop:
		x.drop(e.ID)
	case message.Timer:
		time.AfterFunc(e.At.Sub(x.Clock.Now()), func() { x.engine.Do(e.Event) })
	case message.Note:
		x.note(e.Record)
	case message.Exit:
		go x.Exited(e)
	default:
		x.executeControl(effect)
	}
}

func (x *Executor) executeControl(effect message.Effect) {
	switch e := effect.(type) {
	case message.SendGossip:
		x.alone("gossip "+e.Peer.PeerAddress, func() { x.sendGossip(e) })
	case message.ReadConfiguration:
		x.alone("read configuration", x.readConfiguration)
	case message.FetchConfiguration:
		x.alone("fetch configuration", func() { x.fetchConfiguration(e.Peer) })
	case message.ReadTable:
		x.alone("read table", x.readTable)
	case message.FetchTable:
		x.alone("fetch table", func() { x.fetchTable(e.Peer) })
	case message.WriteTable:
		x.alone("write table", func() { x.writeTable(e) })
	case message.ReadListing:
		x.alone("list "+e.Domain, func() { x.readListing(e.Domain) })
	case message.PollLoad:
		x.alone("load "+e.Server.Address, func() { x.pollLoad(e.Server) })
	case message.Claim:
		go x.claim(e)
	case message.Settle:
		x.alone("settle "+e.Claim.Key, func() { x.settle(e) })
	}
}

// alone runs a call unless one of the same name is under way.
func (x *Executor) alone(name string, call func()) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.busy[name] {
		return
	}
	x.busy[name] = true
	go func() {
		defer func() {
			x.mutex.Lock()
			delete(x.busy, name)
			x.mutex.Unlock()
		}()
		call()
	}()
}

// note keeps a record and logs it; what is about a single request is logged for
// debugging only.
func (x *Executor) note(r model.Record) {
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

// Timeline returns the newest records, oldest first.
func (x *Executor) Timeline() []model.Record {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.timeline.All()
}
