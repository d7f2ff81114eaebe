package executor

import (
	"container/list"
	"context"

	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
)

// pending is a request that the reducer has not answered yet.
type pending struct {
	job    model.Job
	done   chan finished
	cancel context.CancelFunc
}

// finished is the end of a request with its answer, if it has one.
type finished struct {
	result model.Result
	answer *model.Answer
}

// Submit gives a request to the reducer and waits for its end. Where ctx ends
// first, the reducer is told that the caller is gone. A request ID that is in
// use is refused.
func (x *Executor) Submit(ctx context.Context, request model.Request, job model.Job) (model.Result, *model.Answer) {
	p := &pending{job: job, done: make(chan finished, 1)}
	x.mutex.Lock()
	if _, ok := x.pending[request.ID]; ok {
		x.mutex.Unlock()
		return model.Result{Outcome: model.Unknown, Code: model.CodeOverloaded, Detail: "request id is in use"}, nil
	}
	x.pending[request.ID] = p
	x.mutex.Unlock()
	x.engine.Do(message.Arrived{Request: request})
	select {
	case end := <-p.done:
		return end.result, end.answer
	case <-ctx.Done():
		x.engine.Do(message.CallerGone{ID: request.ID})
		return model.Result{Outcome: model.Unknown, Code: model.CodeCallerGone}, nil
	}
}

func (x *Executor) dispatch(e message.Dispatch) {
	ctx, job := x.begin(e.ID)
	go func() {
		answered, answer := x.Dispatcher.Run(ctx, e, job)
		x.end(e.ID, answer)
		x.engine.Do(answered)
	}()
}

func (x *Executor) forward(e message.Forward) {
	ctx, job := x.begin(e.ID)
	go func() {
		answered, answer := x.Dispatcher.Forward(ctx, e, job)
		x.end(e.ID, answer)
		x.engine.Do(answered)
	}()
}

// begin returns what a try needs; it can be cut off by cancel.
func (x *Executor) begin(id string) (context.Context, model.Job) {
	ctx, cancel := context.WithCancel(x.ctx)
	x.mutex.Lock()
	defer x.mutex.Unlock()
	p, ok := x.pending[id]
	if !ok {
		cancel()
		return ctx, model.Job{}
	}
	p.cancel = cancel
	return ctx, p.job
}

func (x *Executor) end(id string, answer *model.Answer) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if answer != nil {
		x.answers.put(id, answer)
	}
	if p, ok := x.pending[id]; ok && p.cancel != nil {
		p.cancel()
	}
}

func (x *Executor) cancel(e message.Cancel) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if p, ok := x.pending[e.ID]; ok && p.cancel != nil {
		p.cancel()
	}
}

func (x *Executor) reply(e message.Reply) {
	x.Count(e.Result)
	x.mutex.Lock()
	defer x.mutex.Unlock()
	answer := x.answers.take(e.Body)
	p, ok := x.pending[e.ID]
	if !ok {
		return
	}
	delete(x.pending, e.ID)
	result := e.Result
	if result.Outcome == model.Ran && result.Code == model.CodeOK && answer == nil {
		result = model.Result{Outcome: model.Ran, Code: model.CodeAnswerDropped}
	}
	p.done <- finished{result: result, answer: answer}
}

func (x *Executor) retain(id string) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.answers.retain(id)
}

func (x *Executor) drop(id string) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.answers.drop(id)
}

// answers holds answer bytes until their reply, and retained ones up to a
// number of bytes, newest first.
type answers struct {
	limit    int64
	bytes    int64
	byID     map[string]*model.Answer
	retained map[string]*list.Element
	order    *list.List
}

func (a *answers) start(limit int64) {
	a.limit = limit
	a.byID = make(map[string]*model.Answer)
	a.retained = make(map[string]*list.Element)
	a.order = list.New()
}

func (a *answers) put(id string, answer *model.Answer) {
	a.byID[id] = answer
}

// take returns an answer and lets go of it unless it is retained.
func (a *answers) take(id string) *model.Answer {
	answer := a.byID[id]
	if _, ok := a.retained[id]; !ok {
		delete(a.byID, id)
	}
	return answer
}

func (a *answers) retain(id string) {
	answer, ok := a.byID[id]
	if !ok {
		return
	}
	a.retained[id] = a.order.PushBack(id)
	a.bytes += int64(len(answer.Body))
	for a.bytes > a.limit && a.order.Len() > 1 {
		a.drop(a.order.Front().Value.(string))
	}
}

func (a *answers) drop(id string) {
	e, ok := a.retained[id]
	if !ok {
		return
	}
	a.order.Remove(e)
	delete(a.retained, id)
	a.bytes -= int64(len(a.byID[id].Body))
	delete(a.byID, id)
}
