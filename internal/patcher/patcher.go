// Package patcher changes the configuration in the store. It applies a JSON Patch
// to a numbered version and writes the result with a compare-and-swap.
//
// A patch to a version that is not in force is refused with the changes made since
// that version. If the patched configuration is invalid, the patch is refused with
// all findings and nothing is written. Each change has an ID, by which it is found
// in the store if the response to the write was lost. A change is reported as
// accepted only if the store confirmed the write or contains the change, and as
// stale only if the store contains another version and not the change.
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
	// maxAttempts limits the attempts to find out whether the store accepted a write.
	maxAttempts = 5
	// maxDocumentBytes leaves space for the history within the store's size limit.
	maxDocumentBytes = 900_000
)

// Patcher applies patches. Set the fields before the first call.
type Patcher struct {
	Store model.Store
	Clock clock.Clock
	// RetryDelay is the time between two attempts.
	RetryDelay time.Duration
}

// Apply applies a patch and returns the new head, or for a dry run the head that
// would result. It returns a *model.StaleError if the base version is not in force,
// a *model.FindingsError if the result is invalid, a *model.UncertainError if it is
// unknown whether the change was written, and another error if the store cannot be
// read.
func (p *Patcher) Apply(ctx context.Context, patch model.Patch) (model.Head, error) {
	var lastErr error
	for attempt := range maxAttempts {
		if attempt > 0 {
			wait(ctx, p.RetryDelay)
		}
		head, err := p.attempt(ctx, patch)
		if err == nil || isFinal(err) {
			return head, err
		}
		lastErr = err
		if attempt == 0 && !errors.As(err, new(*model.UncertainError)) {
			return head, err
		}
	}
	return model.Head{}, &model.UncertainError{ChangeID: patch.ChangeID, Cause: lastErr}
}

// isFinal reports whether the error is a refusal, which further attempts would
// not change.
func isFinal(err error) bool {
	return errors.As(err, new(*model.StaleError)) || errors.As(err, new(*model.FindingsError))
}

func wait(ctx context.Context, delay time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
}

// attempt reads the head and writes its successor. Repeating it after a lost
// response is safe: a change that was written is found by its ID, and a write based
// on an outdated revision fails.
func (p *Patcher) attempt(ctx context.Context, patch model.Patch) (model.Head, error) {
	head, revision, err := p.read(ctx)
	if err != nil {
		return head, err
	}
	if accepted, ok := findChange(head, patch.ChangeID); ok {
		accepted.Document = head.Document
		return accepted, nil
	}
	if head.Version != patch.BaseVersion {
		return head, newStaleError(head, patch.BaseVersion)
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
		return head, 0, fmt.Errorf("patcher: malformed configuration head in the store: %w", err)
	}
	return head, value.Revision, nil
}

// write returns an UncertainError if the store may have accepted the write or
// reports a conflict. The next attempt reads the head to find out which change was
// written.
func (p *Patcher) write(ctx context.Context, next model.Head, revision int64) (model.Head, error) {
	data, err := json.Marshal(next)
	if err != nil {
		return next, fmt.Errorf("patcher: %w", err)
	}
	result, err := p.Store.Put(ctx, model.KeyHead, data, revision, 0)
	if err != nil || result.Conflict {
		return next, &model.UncertainError{ChangeID: next.ChangeID, Cause: err}
	}
	return next, nil
}

// next returns the successor of a head, or the findings if it is invalid.
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

// Check returns all findings about a configuration document.
func Check(document []byte) []model.Finding {
	if len(document) > maxDocumentBytes {
		return []model.Finding{{Message: fmt.Sprintf("document is larger than %d bytes", maxDocumentBytes)}}
	}
	var configuration model.Configuration
	var d decoder.Decoder
	findings := d.Decode(document, &configuration)
	if !d.Decoded() {
		return findings
	}
	var c checker.Checker
	return append(findings, d.Locate(c.Check(configuration))...)
}

// Diff returns a JSON Patch that changes one configuration document into
// another by removing and adding whole top-level fields.
func Diff(from, to []byte) ([]byte, error) {
	before, err := topLevelFields(from)
	if err != nil {
		return nil, err
	}
	after, err := topLevelFields(to)
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

func topLevelFields(document []byte) (map[string]json.RawMessage, error) {
	standardJSON, err := hujson.Minimize(slices.Clone(document))
	if err != nil {
		return nil, fmt.Errorf("patcher: %w", err)
	}
	var members map[string]json.RawMessage
	if err := json.Unmarshal(standardJSON, &members); err != nil {
		return nil, fmt.Errorf("patcher: configuration is not an object: %w", err)
	}
	return members, nil
}

// applyPatch returns the patched document and the paths that the operations name.
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
	var parsed []operation
	if err := json.Unmarshal(operations, &parsed); err != nil {
		return nil, nil, fmt.Errorf("patcher: patch is not an array of operations: %w", err)
	}
	if err := value.Patch(operations); err != nil {
		return nil, nil, fmt.Errorf("patcher: %w", err)
	}
	var paths []string
	for _, op := range parsed {
		paths = append(paths, op.Path)
		if op.From != "" {
			paths = append(paths, op.From)
		}
	}
	value.Standardize()
	return value.Pack(), paths, nil
}

// newStaleError returns the error for a patch to an outdated version, with the
// changes made since.
func newStaleError(head model.Head, base int64) error {
	var conflicts []model.Change
	for _, change := range head.History {
		if change.Version > base {
			conflicts = append(conflicts, change)
		}
	}
	return &model.StaleError{Current: head.Version, Conflicts: conflicts}
}

// findChange returns the head of an accepted change, without its document.
func findChange(head model.Head, changeID string) (model.Head, bool) {
	for _, change := range head.History {
		if change.ChangeID == changeID {
			return model.Head{Change: change}, true
		}
	}
	return model.Head{}, false
}
