package patcher_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/claimer"
	"github.com/yuccathread/yuccathread/internal/clock"
	"github.com/yuccathread/yuccathread/internal/fakeplatform"
	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
	"github.com/yuccathread/yuccathread/internal/patcher"
	"github.com/yuccathread/yuccathread/internal/storer"
)

// startPlatform starts a fake platform and returns it with a client of its store.
func startPlatform(t *testing.T) (*fakeplatform.Platform, *storer.Storer) {
	p := &fakeplatform.Platform{Clock: clock.System()}
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	return p, &storer.Storer{URL: server.URL, Timeout: 300 * time.Millisecond}
}

func exampleConfiguration(t testing.TB, name string) []byte {
	data, err := os.ReadFile(filepath.Join("..", "..", "examples", name, "configuration.jsonc"))
	assert.NilError(t, err)
	return data
}

func applyInitialPatch(t *testing.T, p *patcher.Patcher) {
	operations, err := patcher.Diff([]byte("{}"), exampleConfiguration(t, "verhaegen"))
	assert.NilError(t, err)
	_, err = p.Apply(t.Context(), model.Patch{ChangeID: "first", Author: "a", Operations: operations})
	assert.NilError(t, err)
}

func capPatch(base int64, id string, shiftCap float64) model.Patch {
	return model.Patch{
		BaseVersion: base, ChangeID: id, Author: "a",
		Operations: fmt.Appendf(nil, `[{"op":"replace","path":"/shift/cap","value":%g}]`, shiftCap),
	}
}

func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"verhaegen", "sidi-rail"} {
		assert.Equal(t, len(patcher.Check(exampleConfiguration(t, name))), 0, name)
	}
}

func TestConcurrentPatchesAcceptOne(t *testing.T) {
	fake, store := startPlatform(t)
	p := &patcher.Patcher{Store: store, Clock: clock.System(), RetryDelay: time.Millisecond}
	applyInitialPatch(t, p)
	fake.SetFaults(model.PlatformFaults{LoseAnswers: 3, Delay: model.Duration{Duration: time.Millisecond}})
	var mutex sync.Mutex
	var group sync.WaitGroup
	accepted := 0
	for i := range 20 {
		group.Go(func() {
			_, err := p.Apply(t.Context(), capPatch(1, fmt.Sprint("c", i), 0.3))
			mutex.Lock()
			defer mutex.Unlock()
			if err == nil {
				accepted++
				return
			}
			stale, ok := errors.AsType[*model.StaleError](err)
			assert.Check(t, ok && stale.Current == 2 && len(stale.Conflicts) == 1, "%v", err)
		})
	}
	group.Wait()
	assert.Equal(t, accepted, 1)
}

func TestChangeIsFoundAfterLostResponse(t *testing.T) {
	fake, store := startPlatform(t)
	p := &patcher.Patcher{Store: store, Clock: clock.System(), RetryDelay: time.Millisecond}
	applyInitialPatch(t, p)
	fake.SetFaults(model.PlatformFaults{LoseAnswers: 1})
	head, err := p.Apply(t.Context(), capPatch(1, "lost", 0.3))
	assert.NilError(t, err)
	assert.Equal(t, head.Version, int64(2))
	head, err = p.Apply(t.Context(), capPatch(1, "lost", 0.3))
	assert.NilError(t, err, "the same change applied again")
	assert.Equal(t, head.Version, int64(2))
}

func TestStoreUnavailable(t *testing.T) {
	fake, store := startPlatform(t)
	p := &patcher.Patcher{Store: store, Clock: clock.System(), RetryDelay: time.Millisecond}
	applyInitialPatch(t, p)
	fake.SetFaults(model.PlatformFaults{StoreDown: true})
	_, err := p.Apply(t.Context(), capPatch(1, "away", 0.3))
	assert.ErrorContains(t, err, "503")
}

func TestInvalidPatchReportsAllFindings(t *testing.T) {
	_, store := startPlatform(t)
	p := &patcher.Patcher{Store: store, Clock: clock.System()}
	applyInitialPatch(t, p)
	patch := model.Patch{BaseVersion: 1, ChangeID: "bad", Author: "a", Operations: []byte(`[
		{"op":"replace","path":"/shift/cap","value":2}, {"op":"replace","path":"/retry/attempts","value":0},
		{"op":"add","path":"/kinds/0/colour","value":"red"}, {"op":"replace","path":"/kinds/1/service","value":"none"}]`)}
	_, err := p.Apply(t.Context(), patch)
	invalid, ok := errors.AsType[*model.FindingsError](err)
	assert.Assert(t, ok, "%v", err)
	var findingFields []string
	for _, f := range invalid.Findings {
		findingFields = append(findingFields, f.Field)
		assert.Assert(t, f.Column > 1)
	}
	assert.DeepEqual(t, findingFields, []string{"/kinds/0/colour", "/kinds/1/service", "/shift/cap", "/retry/attempts"})
}

func TestOneClaimGrantedDespiteLostResponses(t *testing.T) {
	fake, store := startPlatform(t)
	c := claimer.Claimer{Store: store}
	for i := range 20 {
		fake.SetFaults(model.PlatformFaults{LoseAnswers: i % 3})
		key := fmt.Sprint("key ", i)
		var mutex sync.Mutex
		var group sync.WaitGroup
		granted := 0
		for holder := range 4 {
			group.Go(func() {
				claimed := c.Claim(context.Background(), message.Claim{
					ID: "r", Lifetime: time.Minute,
					Claim: model.Claim{Key: key, Nonce: fmt.Sprint(holder), Incarnation: fmt.Sprint(holder)},
				})
				mutex.Lock()
				defer mutex.Unlock()
				if claimed.Status == message.ClaimGranted {
					granted++
				}
				assert.Check(t, claimed.Status != message.ClaimStoreUnavailable)
			})
		}
		group.Wait()
		assert.Equal(t, granted, 1, key)
	}
}

func TestClaimWithStoreUnavailable(t *testing.T) {
	fake, store := startPlatform(t)
	fake.SetFaults(model.PlatformFaults{StoreDown: true})
	c := claimer.Claimer{Store: store}
	claimed := c.Claim(t.Context(), message.Claim{Claim: model.Claim{Key: "k", Nonce: "n"}})
	assert.Equal(t, claimed.Status, message.ClaimStoreUnavailable)
}

// FuzzCheck checks arbitrary documents and expects a message in every finding.
func FuzzCheck(f *testing.F) {
	f.Add(exampleConfiguration(f, "verhaegen"))
	f.Add([]byte(`{"kinds":[{"deadline":"x"}],"blocks":[{"prefix":"::/0"}]}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		for _, x := range patcher.Check(data) {
			if x.Message == "" {
				panic("a finding without a message")
			}
		}
	})
}

// FuzzDiff expects that Diff returns an array of operations or an error.
func FuzzDiff(f *testing.F) {
	f.Add([]byte(`{"a":1}`), []byte(`{"b":[2]}`))
	f.Fuzz(func(_ *testing.T, from, to []byte) {
		operations, err := patcher.Diff(from, to)
		if err == nil && !strings.HasPrefix(string(operations), "[") {
			panic(string(operations))
		}
	})
}
