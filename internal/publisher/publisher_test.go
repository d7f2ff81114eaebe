package publisher

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

type fakeStore struct {
	traffic.Store
	written [][]traffic.ServerLimit
	size    int
	hang    bool
}

func (s *fakeStore) WriteFleetSize(_ context.Context, instances int) error {
	s.size = instances
	return nil
}

func (s *fakeStore) WriteLimits(ctx context.Context, limits []traffic.ServerLimit) error {
	if s.hang {
		<-ctx.Done()
		return errors.New("no response")
	}
	s.written = append(s.written, limits)
	return nil
}

// A store that hangs delays neither the caller nor later writes for long; what does not
// fit is dropped with a log line.
func TestHangingStoreBlocksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var log bytes.Buffer
		store := &fakeStore{hang: true}
		p := &Publisher{Store: store, Logger: slog.New(slog.NewTextHandler(&log, nil)), Timeout: time.Second}
		go p.Run(ctx)
		limits := []traffic.ServerLimit{{Server: "s1", Limited: true, PerSecond: 2.5}}
		for range queueLength + 5 {
			p.Publish(traffic.PublishLimits{Limits: limits})
			synctest.Wait()
		}
		assert.Equal(t, strings.Count(log.String(), "too many"), 4)
		time.Sleep((queueLength + 2) * time.Second)
		store.hang = false
		p.Publish(traffic.PublishLimits{Limits: limits})
		p.Publish(traffic.PublishFleetSize{Instances: 7})
		synctest.Wait()
		assert.Equal(t, store.size, 7)
		assert.DeepEqual(t, store.written, [][]traffic.ServerLimit{limits})
		cancel()
		synctest.Wait()
	})
}
