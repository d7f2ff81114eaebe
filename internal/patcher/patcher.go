// Package patcher changes the configuration in the store: JSON Patches
// against a numbered version, by compare-and-swap.
//
// A patch against a version that is not in force is refused with what changed
// since. An invalid result is refused with every finding and nothing is
// written. Each change carries an id by which it is found again where the
// store's answer was lost: a change is reported as accepted only after it was
// seen in the store, and as refused only after another one was.
//
// Usage:
//
//	p := patcher.Patcher{Store: store, Clock: clock.System(), RetryDelay: 200 * time.Millisecond}
//	head, err := p.Apply(ctx, change)
package patcher

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/tailscale/hujson"

	"github.com/yuccathread/yuccathread/internal/checker"
	"github.com/yuccathread/yuccathread/internal/clock"
	"github.com/yuccathread/yuccathread/internal/decoder"
	"github.com/yuccathread/yuccathread/internal/model"
)

const (
	// historyLength is the number of past changes kept with the configuration.
	historyLength = 64
	// attempts bounds the tries to learn what the store did with a write.
	attempts = 5
	// maxDocumentBytes leaves room for the history within the store's limit.
	maxDocumentBytes = 900_000
)

// Patcher applies patches. Set the fields before the first call.
type Patcher struct {
	Store model.Store
	Clock clock.Clock
	// RetryDelay is the time between two tries.
	RetryDelay time.Duration
}

// Apply applies a patch and returns the new head, or, for a dry run, what it
// would be. Its errors are *model.StaleError, *model.FindingsError and
// *model.UncertainError, or plain where the store cannot be read.
func (p *Patcher) Apply(ctx context.Context, patch model.Patch) (model.Head, error) {
	var last error
	for try := range attempts {
		if try > 0 {
			wait(ctx, p.RetryDelay)
		}
		head, err := p.try(ctx, patch)
		if err == nil || final(err) {
			return head, err
		}
		last = err
		if try == 0 && !errors.As(err, new(*model.UncertainError)) {
			return head, err
		}
	}
	return model.Head{}, &model.UncertainError{ChangeID: patch.ChangeID, Cause: last}
}

func final(err error) bool {
	return errors.As(err, new(*model.StaleError)) || errors.As(err, new(*model.FindingsError))
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// try reads the head, and writes its successor. Doing so again after a lost
// answer is safe: the change is found by its id, or the write by its revision.
func (p *Patcher) try(ctx context.Context, patch model.Patch) (model.Head, error) {
	head, revision, err := p.read(ctx)
	if err != nil {
		return head, err
	}
	if accepted, ok := find(head, patch.ChangeID); ok {
		accepted.Document = head.Document
		return accepted, nil
	}
	if head.Version != patch.BaseVersion {
		return head, stale(head, patch.BaseVersion)
	}
	next, err := p.next(head, patch)
	if err != nil || patch.DryRun {
		return next, err
	}
	return p.write(ctx, next, revision)
}

func (p *Patcher) read(ctx context.Context) (model.Head, int64, error) {
	value, err := p.Store.Get(ctx, model.KeyHead, 0)
	if err != nil {
		return model.Head{}, 0, err
	}
	var head model.Head
	if value.Revision == 0 {
		return head, 0, nil
	}
	if err := json.Unmarshal(value.Data, &head); err != nil {
		return head, 0, fmt.Errorf("patcher: malformed head in the store: %w", err)
	}
	return head, value.Revision, nil
}

// write returns an UncertainError where the store may have taken the write.
func (p *Patcher) write(ctx context.Context, next model.Head, revision int64) (model.Head, error) {
	data, err := json.Marshal(next)
	if err != nil {
		return next, fmt.Errorf("patcher: %w", err)
	}
	put, err := p.Store.Put(ctx, model.KeyHead, data, revision, 0)
	if err != nil || put.Conflict {
		return next, &model.UncertainError{ChangeID: next.ChangeID, Cause: err}
	}
	return next, nil
}

// next computes the successor of a head and checks it.
func (p *Patcher) next(head model.Head, patch model.Patch) (model.Head, error) {
	document, paths, err := applyPatch(head.Document, patch.Operations)
	if err != nil {
		return head, &model.FindingsError{Findings: []model.Finding{{Field: "/patch", Message: err.Error()}}}
	}
	if findings := Check(document); len(findings) > 0 {
		return head, &model.FindingsError{Findings: findings}
	}
	next := model.Head{
		Change: model.Change{
			Version:  head.Version + 1,
			ChangeID: patch.ChangeID,
			Author:   patch.Author,
			Time:     p.Clock.Now().UTC().Round(time.Millisecond),
			Paths:    paths,
		},
		Document: document,
		History:  head.History,
	}
	next.History = append(slices.Clone(next.History), next.Change)
	if len(next.History) > historyLength {
		next.History = next.History[len(next.History)-historyLength:]
	}
	return next, nil
}

// Check returns every finding about a configuration document.
func Check(document []byte) []model.Finding {
	if len(document) > maxDocumentBytes {
		return []model.Finding{{Message: fmt.Sprintf("the document exceeds %d bytes", maxDocumentBytes)}}
	}
	var configuration model.Configuration
	var d decoder.Decoder
	findings := d.Decode(document, &configuration)
	if !d.Filled() {
		return findings
	}
	var c checker.Checker
	return append(findings, d.Locate(c.Check(configuration))...)
}

// Replacement returns the JSON Patch that turns one configuration document into
// another, field by field.
func Replacement(from, to []byte) ([]byte, error) {
	before, err := fields(from)
	if err != nil {
		return nil, err
	}
	after, err := fields(to)
	if err != nil {
		return nil, err
	}
	operations := []operation{}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if _, ok := after[name]; !ok {
			operations = append(operations, operation{Op: "remove", Path: "/" + name})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(after)) {
		if !bytes.Equal(before[name], after[name]) {
			operations = append(operations, operation{Op: "add", Path: "/" + name, Value: after[name]})
		}
	}
	data, err := json.Marshal(operations)
	if err != nil {
		return nil, fmt.Errorf("patcher: %w", err)
	}
	return data, nil
}

// operation is one operation of a JSON Patch.
type operation struct {
	Op    string          `json:"op"`
	Path  string          `json:"path"`
	From  string          `json:"from,omitempty"`
	Value json.RawMessage `json:"value,omitempty"`
}

func fields(document []byte) (map[string]json.RawMessage, error) {
	standard, err := hujson.Minimize(slices.Clone(document))
	if err != nil {
		return nil, fmt.Errorf("patcher: %w", err)
	}
	var m map[string]json.RawMessage
	if err := json.Unmarshal(standard, &m); err != nil {
		return nil, fmt.Errorf("patcher: a configuration is an object: %w", err)
	}
	return m, nil
}

// applyPatch returns the patched document and the paths that were touched.
func applyPatch(document, operations []byte) ([]byte, []string, error) {
	if len(document) == 0 {
		document = []byte("{}")
	}
	value, err := hujson.Parse(document)
	if err != nil {
		return nil, nil, fmt.Errorf("patcher: %w", err)
	}
	operations, err = hujson.Standardize(slices.Clone(operations))
	if err != nil {
		return nil, nil, fmt.Errorf("patcher: %w", err)
	}
	var listed []operation
	if err := json.Unmarshal(operations, &listed); err != nil {
		return nil, nil, fmt.Errorf("patcher: a patch is an array of operations: %w", err)
	}
	if err := value.Patch(operations); err != nil {
		return nil, nil, fmt.Errorf("patcher: %w", err)
	}
	var paths []string
	for _, o := range listed {
		paths = append(paths, o.Path)
		if o.From != "" {
			paths = append(paths, o.From)
		}
	}
	value.Standardize()
	return value.Pack(), paths, nil
}

func stale(head model.Head, base int64) error {
	var conflicts []model.Change
	for _, c := range head.History {
		if c.Version > base {
			conflicts = append(conflicts, c)
		}
	}
	return &model.StaleError{Current: head.Version, Conflicts: conflicts}
}

// find returns the head of an accepted change, without its document.
func find(head model.Head, changeID string) (model.Head, bool) {
	for _, c := range head.History {
		if c.ChangeID == changeID {
			return model.Head{Change: c}, true
		}
	}
	return model.Head{}, false
}
