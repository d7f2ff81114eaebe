package publisher

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

type fakeStore struct {
	traffic.Store
	mutex   sync.Mutex
	written [][]traffic.ServerLimit
	size    int
	hang    bool
}

func (s *fakeStore) setHang(hang bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.hang = hang
}

func (s *fakeStore) hangs() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.hang
}

// lockedBuffer is a log that may be read while it is written.
type lockedBuffer struct {
	mutex sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.Buffer.Write(p)
}

func (b *lockedBuffer) count(text string) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return strings.Count(b.String(), text)
}

func (s *fakeStore) WriteFleetSize(_ context.Context, instances int) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.size = instances
	return nil
}

func (s *fakeStore) WriteLimits(ctx context.Context, limits []traffic.ServerLimit) error {
	if s.hangs() {
		<-ctx.Done()
		return errors.New("no response")
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.written = append(s.written, limits)
	return nil
}

// A store that hangs delays neither the caller nor later writes for long; what does not
// fit is dropped with a log line.
func TestHangingStoreBlocksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var log lockedBuffer
		store := &fakeStore{hang: true}
		p := &Publisher{Store: store, Logger: slog.New(slog.NewTextHandler(&log, nil)), Timeout: time.Second}
		go p.Run(ctx)
		limits := []traffic.ServerLimit{{Server: "s1", Limited: true, PerSecond: 2.5}}
		for range queueLength + 5 {
			p.Publish(traffic.PublishLimits{Limits: limits})
			synctest.Wait()
		}
		assert.Equal(t, log.count("too many"), 4)
		time.Sleep((queueLength + 2) * time.Second)
		store.setHang(false)
		p.Publish(traffic.PublishLimits{Limits: limits})
		p.Publish(traffic.PublishFleetSize{Instances: 7})
		synctest.Wait()
		store.mutex.Lock()
		assert.Equal(t, store.size, 7)
		assert.DeepEqual(t, store.written, [][]traffic.ServerLimit{limits})
		store.mutex.Unlock()
		cancel()
		synctest.Wait()
	})
}
