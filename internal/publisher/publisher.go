// Package publisher writes what an instance has learnt to the store in the background,
// for the other instances and for those that start later: the limits of servers and the
// number of instances.
//
// A write that fails is dropped: the reducer asks for it again as long as the store does
// not hold what it should.
//
// Usage:
//
//	p := &publisher.Publisher{Store: store, Logger: logger, Timeout: timeout}
//	go p.Run(ctx)
//	p.Publish(traffic.PublishLimits{Limits: limits})
package publisher

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// queueLength is the number of writes that may wait while the store is slow.
const queueLength = 16

// Publisher writes to the store. Set the exported fields before Run.
type Publisher struct {
	Store  traffic.Store
	Logger *slog.Logger
	// Timeout bounds one write.
	Timeout time.Duration

	once  sync.Once
	queue chan traffic.Effect
}

func (p *Publisher) initQueue() {
	p.once.Do(func() { p.queue = make(chan traffic.Effect, queueLength) })
}

// Publish carries out a traffic.PublishLimits or a traffic.PublishFleetSize soon. It does
// not block.
func (p *Publisher) Publish(effect traffic.Effect) {
	p.initQueue()
	select {
	case p.queue <- effect:
	default:
		p.Logger.Warn("not published", "error", "too many writes are waiting")
	}
}

// Run writes until ctx ends.
func (p *Publisher) Run(ctx context.Context) {
	p.initQueue()
	for {
		select {
		case effect := <-p.queue:
			if err := p.write(ctx, effect); err != nil {
				p.Logger.Warn("not published", "error", err.Error())
			}
		case <-ctx.Done():
			return
		}
	}
}

func (p *Publisher) write(ctx context.Context, effect traffic.Effect) error {
	ctx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	switch e := effect.(type) {
	case traffic.PublishLimits:
		return p.Store.WriteLimits(ctx, e.Limits)
	case traffic.PublishFleetSize:
		return p.Store.WriteFleetSize(ctx, e.Instances)
	}
	return fmt.Errorf("publisher: %T is not an effect on the store", effect)
}
