package session

import (
	"time"

	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
)

// upstream is a fake server with a number of slots. overSlots counts the requests
// that arrived while all slots were busy.
type upstream struct {
	model.Server

	slots            int
	workTime         func() time.Duration
	busy             int
	peakBusy         int
	overSlots        int
	down             bool
	hang             bool
	fail             bool
	draining         bool
	falseReports     bool
	truncatesAnswers bool
	lastArrival      time.Time
}

func (sim *simulation) addServer(s model.Server, slots int, workTime func() time.Duration) *upstream {
	u := &upstream{Server: s, slots: slots, workTime: workTime}
	sim.servers[s.Name] = u
	return u
}

func (sim *simulation) pollLoad(inst *simulatedInstance, poll message.PollLoad) {
	sim.after(serverDelay, func() {
		u := sim.servers[poll.Server.Name]
		if u == nil || u.down {
			return
		}
		report := message.LoadReported{Server: u.Name, Slots: u.slots, Busy: u.busy, Draining: u.draining}
		if u.falseReports {
			report.Busy, report.Draining = 0, false
		}
		sim.after(serverDelay, func() { sim.deliver(inst, report) })
	})
}

// dispatch sends work to a server. If the instance was killed before the work
// arrives, its connection is closed and the server does not execute the work.
func (sim *simulation) dispatch(inst *simulatedInstance, work message.Dispatch) {
	sim.after(serverDelay, func() {
		u := sim.servers[work.Server.Name]
		done := message.DispatchDone{ID: work.ID, Attempt: work.Attempt}
		if u == nil || u.down || !inst.alive {
			done.Result = model.Result{Outcome: model.NotRun, Code: model.CodeUpstreamFailed}
			sim.after(serverDelay, func() { sim.deliver(inst, done) })
			return
		}
		u.lastArrival = sim.now
		done.Draining = u.draining
		if u.busy >= u.slots {
			u.overSlots++
			done.Result = model.Result{Outcome: model.NotRun, Code: model.CodeUpstreamRefused}
			sim.after(serverDelay, func() { sim.deliver(inst, done) })
			return
		}
		u.busy++
		u.peakBusy = max(u.peakBusy, u.busy)
		sim.executeWork(inst, u, work, done)
	})
}

func (sim *simulation) executeWork(inst *simulatedInstance, u *upstream, work message.Dispatch, done message.DispatchDone) {
	duration := u.workTime()
	remaining := work.Deadline.Sub(sim.now)
	if u.hang || duration > remaining {
		sim.after(remaining, func() {
			sim.after(cancelNoticeDelay, func() { u.busy-- })
			done.Aborted = true
			done.Result = model.Result{Outcome: model.Unknown, Code: model.CodeDeadlineExceeded}
			sim.deliver(inst, done)
		})
		return
	}
	sim.busySlotTime += duration
	sim.after(duration, func() {
		u.busy--
		sim.executions[requestOf(work.ID)]++
		sim.executedIn[requestOf(work.ID)] = u.Domain
		if work.Key != "" {
			sim.executionsByKey[work.Key]++
			sim.lastExecution[work.Key] = sim.now
		}
		done.Result = model.Result{Outcome: model.Ran, Code: model.CodeOK, Status: 200, Server: u.Name, AnswerBytes: sim.answerBytes}
		if u.fail {
			done.Result.Status = 500
		}
		if u.truncatesAnswers {
			done.Result = model.Result{Outcome: model.Unknown, Code: model.CodeUpstreamFailed}
		}
		sim.after(serverDelay, func() { sim.deliver(inst, done) })
	})
}

// requestOf returns a request ID without the suffixes that forwarding adds.
func requestOf(id string) string {
	for i := range id {
		if id[i] == '/' {
			return id[:i]
		}
	}
	return id
}
