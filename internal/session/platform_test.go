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

// storeFake is the platform's store: it may be away for some failure domains,
// slow, or lose the answers of writes that took effect.
type storeFake struct {
	values   map[string]model.StoreValue
	revision int64
	away     map[string]bool
	down     bool
	lose     int
	delay    time.Duration
	reads    int
	writes   int
}

var errAway = errors.New("session: the store is away")

func (s *storeFake) Get(_ context.Context, key string, newerThan int64) (model.StoreValue, error) {
	s.reads++
	if s.down {
		return model.StoreValue{}, errAway
	}
	v := s.values[key]
	if v.Revision <= newerThan {
		v.Data = nil
	}
	return v, nil
}

func (s *storeFake) Put(_ context.Context, key string, data []byte, expect int64, _ time.Duration) (model.StoreValue, error) {
	s.writes++
	if s.down {
		return model.StoreValue{}, errAway
	}
	if s.values[key].Revision != expect {
		return model.StoreValue{Revision: s.values[key].Revision, Conflict: true}, nil
	}
	s.revision++
	s.values[key] = model.StoreValue{Revision: s.revision, Data: data}
	if s.lose > 0 {
		s.lose--
		return model.StoreValue{}, errAway
	}
	return s.values[key], nil
}

// storeCall runs a call with the store's delay, or fails it after its timeout.
func (w *world) storeCall(n *node, operation string, call func() (message.Event, error)) {
	if w.store.away[n.Domain] || w.store.down {
		w.after(callTimeout, func() { w.deliver(n, message.StoreFailed{Operation: operation}) })
		return
	}
	w.after(w.store.delay, func() {
		event, err := call()
		if err != nil {
			event = message.StoreFailed{Operation: operation}
		}
		if event != nil {
			w.after(w.store.delay, func() { w.deliver(n, event) })
		}
	})
}

func (w *world) readHead() (message.Event, error) {
	v, err := w.store.Get(context.Background(), model.KeyHead, 0)
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
	return message.ConfigurationSeen{Head: head, Configuration: c, Source: source}
}

func (w *world) readTable(n *node, started time.Time) (message.Event, error) {
	v, err := w.store.Get(context.Background(), model.KeyTables+n.Domain, 0)
	if err != nil {
		return nil, err
	}
	read := message.TableRead{StoreRevision: v.Revision, Started: started}
	if v.Revision > 0 {
		err = json.Unmarshal(v.Data, &read.Table)
	}
	return read, err
}

func (w *world) writeTable(n *node, x message.WriteTable, started time.Time) (message.Event, error) {
	data, err := json.Marshal(x.Table)
	if err != nil {
		return nil, err
	}
	v, err := w.store.Put(context.Background(), model.KeyTables+n.Domain, data, x.StoreRevision, 0)
	return message.TableWritten{Table: x.Table, StoreRevision: v.Revision, Started: started, Conflict: v.Conflict}, err
}

func (w *world) claim(n *node, x message.Claim) {
	claimed := message.Claimed{ID: x.ID, Verdict: message.ClaimAway, Holder: x.Claim}
	if w.store.away[n.Domain] || w.store.down {
		w.after(callTimeout, func() { w.deliver(n, claimed) })
		return
	}
	w.after(w.store.delay, func() {
		c := claimer.Claimer{Store: &w.store}
		claimed := c.Claim(context.Background(), x)
		w.after(w.store.delay, func() { w.deliver(n, claimed) })
	})
}

func (w *world) settle(x message.Settle) (message.Event, error) {
	c := claimer.Claimer{Store: &w.store}
	return c.Settle(context.Background(), x), nil
}

func (w *world) patch(base int64, id string, operations []byte) error {
	p := patcher.Patcher{Store: &w.store, Clock: w}
	_, err := p.Apply(context.Background(), model.Patch{
		BaseVersion: base, ChangeID: id, Author: "operator", Operations: operations,
	})
	return err
}
