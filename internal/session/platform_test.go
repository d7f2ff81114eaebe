package session

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/yuccathread/yuccathread/internal/claimer"
	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
	"github.com/yuccathread/yuccathread/internal/patcher"
)

// fakeStore is the platform's store. It can be down, unreachable from some
// failure domains or slow, and it can lose the answers of successful writes.
type fakeStore struct {
	values          map[string]model.StoreValue
	revision        int64
	unreachableFrom map[string]bool
	down            bool
	loseAnswers     int
	delay           time.Duration
	reads           int
	writes          int
}

var errStoreUnavailable = errors.New("session: the store is unavailable")

func (s *fakeStore) Get(_ context.Context, key string, newerThan int64) (model.StoreValue, error) {
	s.reads++
	if s.down {
		return model.StoreValue{}, errStoreUnavailable
	}
	v := s.values[key]
	if v.Revision <= newerThan {
		v.Data = nil
	}
	return v, nil
}

func (s *fakeStore) Put(_ context.Context, key string, data []byte, expect int64, _ time.Duration) (model.StoreValue, error) {
	s.writes++
	if s.down {
		return model.StoreValue{}, errStoreUnavailable
	}
	if s.values[key].Revision != expect {
		return model.StoreValue{Revision: s.values[key].Revision, Conflict: true}, nil
	}
	s.revision++
	s.values[key] = model.StoreValue{Revision: s.revision, Data: data}
	if s.loseAnswers > 0 {
		s.loseAnswers--
		return model.StoreValue{}, errStoreUnavailable
	}
	return s.values[key], nil
}

// callStore calls the store with its delay, or delivers a failure after the
// timeout if the instance can't reach the store.
func (sim *simulation) callStore(inst *simulatedInstance, operation string, operate func() (message.Event, error)) {
	if sim.store.unreachableFrom[inst.Domain] || sim.store.down {
		sim.after(storeTimeout, func() { sim.deliver(inst, message.StoreFailed{Operation: operation}) })
		return
	}
	sim.after(sim.store.delay, func() {
		event, err := operate()
		if err != nil {
			event = message.StoreFailed{Operation: operation}
		}
		if event != nil {
			sim.after(sim.store.delay, func() { sim.deliver(inst, event) })
		}
	})
}

func (sim *simulation) readConfiguration() (message.Event, error) {
	v, err := sim.store.Get(context.Background(), model.KeyHead, 0)
	if err != nil || v.Revision == 0 {
		return nil, err
	}
	var head model.Head
	if err := json.Unmarshal(v.Data, &head); err != nil {
		return nil, err
	}
	return headEvent(head, "store"), nil
}

func headEvent(head model.Head, source string) message.Event {
	var c model.Configuration
	if err := json.Unmarshal(head.Document, &c); err != nil {
		return nil
	}
	return message.ConfigurationReceived{Head: head, Configuration: c, Source: source}
}

func (sim *simulation) readTable(inst *simulatedInstance, started time.Time) (message.Event, error) {
	v, err := sim.store.Get(context.Background(), model.KeyTables+inst.Domain, 0)
	if err != nil {
		return nil, err
	}
	read := message.TableRead{StoreRevision: v.Revision, StartedAt: started}
	if v.Revision > 0 {
		err = json.Unmarshal(v.Data, &read.Table)
	}
	return read, err
}

func (sim *simulation) writeTable(inst *simulatedInstance, write message.WriteTable, started time.Time) (message.Event, error) {
	data, err := json.Marshal(write.Table)
	if err != nil {
		return nil, err
	}
	v, err := sim.store.Put(context.Background(), model.KeyTables+inst.Domain, data, write.StoreRevision, 0)
	return message.TableWritten{Table: write.Table, StoreRevision: v.Revision, StartedAt: started, Conflict: v.Conflict}, err
}

func (sim *simulation) claim(inst *simulatedInstance, request message.Claim) {
	claimed := message.Claimed{ID: request.ID, Status: message.ClaimStoreUnavailable, Holder: request.Claim}
	if sim.store.unreachableFrom[inst.Domain] || sim.store.down {
		sim.after(storeTimeout, func() { sim.deliver(inst, claimed) })
		return
	}
	sim.after(sim.store.delay, func() {
		claims := claimer.Claimer{Store: &sim.store}
		claimed := claims.Claim(context.Background(), request)
		sim.after(sim.store.delay, func() { sim.deliver(inst, claimed) })
	})
}

func (sim *simulation) settle(request message.Settle) (message.Event, error) {
	claims := claimer.Claimer{Store: &sim.store}
	return claims.Settle(context.Background(), request), nil
}

func (sim *simulation) patch(base int64, id string, operations []byte) error {
	p := patcher.Patcher{Store: &sim.store, Clock: sim}
	_, err := p.Apply(context.Background(), model.Patch{
		BaseVersion: base, ChangeID: id, Author: "operator", Operations: operations,
	})
	return err
}
