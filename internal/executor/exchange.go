package executor

import (
	"container/list"
	"context"

	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
)

// pending is a request without a reply so far.
type pending struct {
	payload model.Payload
	done    chan completion
	cancel  context.CancelFunc
}

// completion is the result of a request and its answer, if it has one.
type completion struct {
	result model.Result
	answer *model.Answer
}

// Submit passes a request to the reducer and waits for its result. If ctx ends
// first, Submit tells the reducer that the caller is gone. It rejects a request
// ID that is in use.
func (x *Executor) Submit(ctx context.Context, request model.Request, payload model.Payload) (model.Result, *model.Answer) {
	p := &pending{payload: payload, done: make(chan completion, 1)}
	x.mutex.Lock()
	if _, ok := x.pending[request.ID]; ok {
		x.mutex.Unlock()
		return model.Result{Outcome: model.Unknown, Code: model.CodeOverloaded, Detail: "request id is in use"}, nil
	}
	x.pending[request.ID] = p
	x.mutex.Unlock()
	x.engine.Handle(message.Arrived{Request: request})
	select {
	case completed := <-p.done:
		return completed.result, completed.answer
	case <-ctx.Done():
		x.engine.Handle(message.CallerGone{ID: request.ID})
		return model.Result{Outcome: model.Unknown, Code: model.CodeCallerGone}, nil
	}
}

func (x *Executor) dispatch(e message.Dispatch) {
	ctx, payload := x.startAttempt(e.ID)
	go func() {
		done, answer := x.Dispatcher.Send(ctx, e, payload)
		x.finishAttempt(e.ID, answer)
		x.engine.Handle(done)
	}()
}

func (x *Executor) forward(e message.Forward) {
	ctx, payload := x.startAttempt(e.ID)
	go func() {
		done, answer := x.Dispatcher.Forward(ctx, e, payload)
		x.finishAttempt(e.ID, answer)
		x.engine.Handle(done)
	}()
}

// startAttempt returns the context and payload of an attempt. cancelAttempt and
// finishAttempt cancel the context.
func (x *Executor) startAttempt(id string) (context.Context, model.Payload) {
	ctx, cancel := context.WithCancel(x.ctx)
	x.mutex.Lock()
	defer x.mutex.Unlock()
	p, ok := x.pending[id]
	if !ok {
		cancel()
		return ctx, model.Payload{}
	}
	p.cancel = cancel
	return ctx, p.payload
}

func (x *Executor) finishAttempt(id string, answer *model.Answer) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if answer != nil {
		x.answerStore.put(id, answer)
	}
	if p, ok := x.pending[id]; ok && p.cancel != nil {
		p.cancel()
	}
}

func (x *Executor) cancelAttempt(e message.CancelAttempt) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if p, ok := x.pending[e.ID]; ok && p.cancel != nil {
		p.cancel()
	}
}

func (x *Executor) reply(e message.Reply) {
	x.OnResult(e.Result)
	x.mutex.Lock()
	defer x.mutex.Unlock()
	answer := x.answerStore.take(e.Body)
	p, ok := x.pending[e.ID]
	if !ok {
		return
	}
	delete(x.pending, e.ID)
	result := e.Result
	if result.Outcome == model.Ran && result.Code == model.CodeOK && answer == nil {
		result = model.Result{Outcome: model.Ran, Code: model.CodeAnswerNotKept}
	}
	p.done <- completion{result: result, answer: answer}
}

func (x *Executor) retainAnswer(id string) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.answerStore.retain(id)
}

func (x *Executor) discardAnswer(id string) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.answerStore.discard(id)
}

// answerStore holds answers until their reply is sent. Retained answers are kept
// longer; the oldest are discarded while their bodies exceed limit bytes in total,
// but the newest is always kept.
type answerStore struct {
	limit    int64
	bytes    int64
	byID     map[string]*model.Answer
	retained map[string]*list.Element
	order    *list.List
}

func (a *answerStore) initialize(limit int64) {
	a.limit = limit
	a.byID = make(map[string]*model.Answer)
	a.retained = make(map[string]*list.Element)
	a.order = list.New()
}

func (a *answerStore) put(id string, answer *model.Answer) {
	a.byID[id] = answer
}

// take returns an answer and removes it unless it is retained.
func (a *answerStore) take(id string) *model.Answer {
	answer := a.byID[id]
	if _, ok := a.retained[id]; !ok {
		delete(a.byID, id)
	}
	return answer
}

func (a *answerStore) retain(id string) {
	answer, ok := a.byID[id]
	if !ok {
		return
	}
	a.retained[id] = a.order.PushBack(id)
	a.bytes += int64(len(answer.Body))
	for a.bytes > a.limit && a.order.Len() > 1 {
		a.discard(a.order.Front().Value.(string))
	}
}

func (a *answerStore) discard(id string) {
	e, ok := a.retained[id]
	if !ok {
		return
	}
	a.order.Remove(e)
	delete(a.retained, id)
	a.bytes -= int64(len(a.byID[id].Body))
	delete(a.byID, id)
}
