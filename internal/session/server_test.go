package session

import (
	"time"

	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
)

// upstream is a server with slots; over counts arrivals beyond them.
type upstream struct {
	model.Server

	slots   int
	work    func() time.Duration
	busy    int
	peak    int
	over    int
	down    bool
	hang    bool
	fail    bool
	drains  bool
	lies    bool
	cuts    bool
	arrived time.Time
}

func (w *world) addServer(s model.Server, slots int, work func() time.Duration) *upstream {
	u := &upstream{Server: s, slots: slots, work: work}
	w.servers[s.Name] = u
	return u
}

func (w *world) pollLoad(n *node, x message.PollLoad) {
	w.after(serverDelay, func() {
		u := w.servers[x.Server.Name]
		if u == nil || u.down {
			return
		}
		e := message.LoadReported{Server: u.Name, Slots: u.slots, Busy: u.busy, Draining: u.drains}
		if u.lies {
			e.Busy, e.Draining = 0, false
		}
		w.after(serverDelay, func() { w.deliver(n, e) })
	})
}

// dispatch brings work to a server. A killed instance's connection closes, and
// the server gives its work up.
func (w *world) dispatch(n *node, x message.Dispatch) {
	w.after(serverDelay, func() {
		u := w.servers[x.Server.Name]
		a := message.Answered{ID: x.ID, Attempt: x.Attempt}
		if u == nil || u.down || !n.alive {
			a.Result = model.Result{Outcome: model.NotRun, Code: model.CodeUpstreamFailed}
			w.after(serverDelay, func() { w.deliver(n, a) })
			return
		}
		u.arrived = w.now
		a.Draining = u.drains
		if u.busy >= u.slots {
			u.over++
			a.Result = model.Result{Outcome: model.NotRun, Code: model.CodeUpstreamRefused}
			w.after(serverDelay, func() { w.deliver(n, a) })
			return
		}
		u.busy++
		u.peak = max(u.peak, u.busy)
		w.finish(n, u, x, a)
	})
}

func (w *world) finish(n *node, u *upstream, x message.Dispatch, a message.Answered) {
	took := u.work()
	late := x.Deadline.Sub(w.now)
	if u.hang || took > late {
		w.after(late, func() {
			w.after(cancelDelay, func() { u.busy-- })
			a.Abandoned = true
			a.Result = model.Result{Outcome: model.Unknown, Code: model.CodeDeadline}
			w.deliver(n, a)
		})
		return
	}
	w.occupied += took
	w.after(took, func() {
		u.busy--
		w.ran[requestOf(x.ID)]++
		w.places[requestOf(x.ID)] = u.Domain
		if x.Key != "" {
			w.ranKey[x.Key]++
			w.ranLast[x.Key] = w.now
		}
		a.Result = model.Result{Outcome: model.Ran, Code: model.CodeOK, Status: 200, Server: u.Name, AnswerBytes: w.answerBytes}
		if u.fail {
			a.Result.Status = 500
		}
		if u.cuts {
			a.Result = model.Result{Outcome: model.Unknown, Code: model.CodeUpstreamFailed}
		}
		w.after(serverDelay, func() { w.deliver(n, a) })
	})
}

// requestOf cuts the marks of hops off a request id.
func requestOf(id string) string {
	for i := range id {
		if id[i] == '/' {
			return id[:i]
		}
	}
	return id
}
