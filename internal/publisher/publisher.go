// Package publisher writes what an instance has learnt about servers to the store in the
// background, for the other instances and for those that start later.
//
// A write that fails is dropped: the reducer asks for it again as long as the store does
// not hold the limit.
//
// Usage:
//
//	p := &publisher.Publisher{Store: store, Logger: logger, Timeout: timeout}
//	go p.Run(ctx)
//	p.Publish(limits)
package publisher

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// queueLength is the number of writes that may wait while the store is slow.
const queueLength = 16

// Publisher writes limits of servers to the store. Set the exported fields before Run.
type Publisher struct {
	Store  traffic.Store
	Logger *slog.Logger
	// Timeout bounds one write.
	Timeout time.Duration

	once  sync.Once
	queue chan []traffic.ServerLimit
}

func (p *Publisher) initQueue() {
	p.once.Do(func() { p.queue = make(chan []traffic.ServerLimit, queueLength) })
}

// Publish writes limits soon. It does not block.
func (p *Publisher) Publish(limits []traffic.ServerLimit) {
	p.initQueue()
	select {
	case p.queue <- limits:
	default:
		p.Logger.Warn("limits not published", "servers", len(limits), "error", "too many writes are waiting")
	}
}

// Run writes limits until ctx ends.
func (p *Publisher) Run(ctx context.Context) {
	p.initQueue()
	for {
		select {
		case limits := <-p.queue:
			p.write(ctx, limits)
		case <-ctx.Done():
			return
		}
	}
}

func (p *Publisher) write(ctx context.Context, limits []traffic.ServerLimit) {
	ctx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	if err := p.Store.WriteLimits(ctx, limits); err != nil {
		p.Logger.Warn("limits not published", "servers", len(limits), "error", err.Error())
	}
}
