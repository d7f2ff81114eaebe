// Package reducer makes all decisions of an entry instance: a single function
// processes an event, updates the state and returns effects.
//
// The reducer has no clock, socket, goroutine or random source. The time is
// passed with each event, events carry the random numbers that they need, and
// effects are plain data (see package message). The same code therefore runs
// in the daemon, in golden-file tests and in measurements under a virtual clock.
//
// Usage:
//
//	r := &reducer.Reducer{Self: self, StopLimit: 30 * time.Second}
//	effects := r.Reduce(now, message.StopRequested{})
//
// There is one file for each topic: admission and placement of work, pools of
// servers, completion, once-only work, look-ups, membership and gossip, the
// failure domain's table, configuration, and stopping.
//
// A Reducer is not safe for concurrent use; its caller serializes events. The
// returned slice is valid until the next call.
package reducer

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/yuccathread/yuccathread/internal/assigner"
	"github.com/yuccathread/yuccathread/internal/budgeter"
	"github.com/yuccathread/yuccathread/internal/estimator"
	"github.com/yuccathread/yuccathread/internal/keeper"
	"github.com/yuccathread/yuccathread/internal/leaser"
	"github.com/yuccathread/yuccathread/internal/linker"
	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
	"github.com/yuccathread/yuccathread/internal/shifter"
	"github.com/yuccathread/yuccathread/internal/stamper"
	"github.com/yuccathread/yuccathread/internal/ticketer"
)

// keeperLimit is the largest number of once-only records kept in memory.
const keeperLimit = 200_000

// Reducer is the state of one entry instance. Set the exported fields before
// the first event.
type Reducer struct {
	Self model.Instance
	// StopLimit is the longest time that a graceful shutdown may take.
	StopLimit time.Duration

	now     time.Time
	started time.Time
	effects []message.Effect
	stamper stamper.Stamper

	policy *policy
	head   model.Head

	pending      map[string]*work
	pools        map[string]*pool
	servers      map[string]*server
	shifters     map[flow]*shifter.Shifter
	durations    map[string]*estimator.Estimator
	retryBudgets map[string]*budgeter.Budgeter
	linker       linker.Linker

	keeper       keeper.Keeper
	ticketer     ticketer.Ticketer
	claimLimiter *rate.Limiter
	unsettled    map[string]model.Claim
	retained     map[string]bool

	members       membership
	ownDigest     model.Digest
	ownSummary    model.Summary
	lookUpScratch []*model.Instance // Reused by each look-up.
	leaser        leaser.Leaser
	assigner      assigner.Assigner
	table         tableState
	schedules     schedules

	stopping stopping
}

// flow identifies the traffic that one shifter tracks. Kinds that may run in
// different regions belong to different flows. If they shared one whose traffic
// has moved away from home, the requests of a kind that may run only at home
// would count as moving back, and the shift cap could refuse them.
type flow struct {
	service string
	home    string
	regions string
}

// Reduce processes one event and returns the effects to carry out.
func (r *Reducer) Reduce(now time.Time, e message.Event) []message.Effect {
	if r.pending == nil {
		r.start(now)
	}
	r.now = now
	r.effects = r.effects[:0]
	if r.leaser.RecordActivity(now) {
		r.resumeAfterPause()
	}
	r.reduce(e)
	return r.effects
}

func (r *Reducer) start(now time.Time) {
	r.started = now
	r.pending = make(map[string]*work)
	r.pools = make(map[string]*pool)
	r.servers = make(map[string]*server)
	r.shifters = make(map[flow]*shifter.Shifter)
	r.durations = make(map[string]*estimator.Estimator)
	r.retryBudgets = make(map[string]*budgeter.Budgeter)
	r.unsettled = make(map[string]model.Claim)
	r.retained = make(map[string]bool)
	r.keeper = keeper.Keeper{Limit: keeperLimit}
	r.ticketer = ticketer.Ticketer{Instance: r.Self.Name, Incarnation: r.Self.Incarnation}
	r.leaser = leaser.Leaser{Duration: leaseDuration, PauseThreshold: pauseLimit, ResumeDelay: takeoverDelay}
	r.assigner = assigner.Assigner{Domain: r.Self.Domain}
	r.members.start()
}

func (r *Reducer) reduce(e message.Event) {
	switch e := e.(type) {
	case message.Arrived:
		r.arrive(e.Request)
	case message.DispatchDone:
		r.handleDispatchDone(e)
	case message.ForwardDone:
		r.handleForwardDone(e)
	case message.Expired:
		r.handleExpired(e.ID)
	case message.CallerGone:
		r.handleCallerGone(e.ID)
	case message.SlotFreed:
		r.handleSlotFreed(e.Server)
	case message.LookUpRequested:
		r.handleLookUpRequested(e)
	case message.TicketRequested:
		r.handleTicketRequested(e)
	case message.Claimed:
		r.handleClaimed(e)
	case message.Settled:
		r.handleSettled(e)
	case message.StopRequested:
		r.handleStopRequested()
	default:
		r.reduceControl(e)
	}
}

func (r *Reducer) reduceControl(e message.Event) {
	switch e := e.(type) {
	case message.Ticked:
		r.handleTicked(e)
	case message.GossipReceived:
		r.handleGossipReceived(e)
	case message.GossipReplied:
		r.handleGossipReplied(e)
	case message.GossipFailed:
		r.handleGossipFailed(e)
	case message.ConfigurationReceived:
		r.handleConfigurationReceived(e)
	case message.TableRead:
		r.handleTableRead(e)
	case message.TableFetched:
		r.handleTableFetched(e)
	case message.TableWritten:
		r.handleTableWritten(e)
	case message.StoreFailed:
		r.handleStoreFailed(e)
	case message.ListingRead:
		r.handleListingRead(e)
	case message.ListingFailed:
		r.handleListingFailed(e)
	case message.LoadReported:
		r.handleLoadReported(e)
	}
}

func (r *Reducer) emit(effect message.Effect) {
	r.effects = append(r.effects, effect)
}

// record appends a record to the timeline.
func (r *Reducer) record(kind, request, subject, reason, inputs string) {
	r.emit(message.AppendRecord{Record: model.Record{
		Stamp:    r.stamper.Next(r.now),
		Instance: r.Self.Name,
		Kind:     kind,
		Request:  request,
		Subject:  subject,
		Reason:   reason,
		Inputs:   inputs,
	}})
}
