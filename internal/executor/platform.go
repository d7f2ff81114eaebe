package executor

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/yuccathread/yuccathread/internal/claimer"
	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
	"github.com/yuccathread/yuccathread/internal/patcher"
)

// maxLoadBytes bounds the size of a server's load report.
const maxLoadBytes = 4096

// headCache holds the newest revision of the configuration head read from the
// store.
type headCache struct {
	revision int64
}

// tableCache holds the newest table read from the store.
type tableCache struct {
	revision int64
	table    model.Table
}

func (x *Executor) reportStoreFailure(operation string, err error) {
	x.Logger.Debug("store call failed", "operation", operation, "error", err)
	x.engine.Handle(message.StoreFailed{Operation: operation})
}

func (x *Executor) readConfiguration() {
	value, err := x.Store.Get(x.ctx, model.KeyHead, x.head.revision)
	if err != nil {
		x.reportStoreFailure("read configuration", err)
		return
	}
	if len(value.Data) == 0 {
		return
	}
	var head model.Head
	if err := json.Unmarshal(value.Data, &head); err != nil {
		x.Logger.Error("malformed configuration in the store", "error", err)
		return
	}
	x.head.revision = value.Revision
	x.ApplyConfiguration(head, "store")
}

// ApplyConfiguration passes a configuration to the reducer if it is valid.
func (x *Executor) ApplyConfiguration(head model.Head, source string) {
	if findings := patcher.Check(head.Document); len(findings) > 0 {
		x.Logger.Error("invalid configuration", "source", source, "version", head.Version,
			"error", &model.FindingsError{Findings: findings})
		return
	}
	var configuration model.Configuration
	if err := json.Unmarshal(head.Document, &configuration); err != nil {
		x.Logger.Error("malformed configuration", "source", source, "error", err)
		return
	}
	x.engine.Handle(message.ConfigurationReceived{Head: head, Configuration: configuration, Source: source})
}

func (x *Executor) readTable() {
	started := x.Clock.Now()
	value, err := x.Store.Get(x.ctx, model.KeyTables+x.Domain, x.table.revision)
	if err != nil {
		x.reportStoreFailure("read table", err)
		return
	}
	if len(value.Data) > 0 {
		var table model.Table
		if err := json.Unmarshal(value.Data, &table); err != nil {
			x.Logger.Error("malformed table in the store", "error", err)
			x.engine.Handle(message.StoreFailed{Operation: "read table"})
			return
		}
		x.table = tableCache{revision: value.Revision, table: table}
	}
	x.engine.Handle(message.TableRead{
		Table:         x.table.table,
		StoreRevision: x.table.revision,
		StartedAt:     started,
	})
}

func (x *Executor) writeTable(e message.WriteTable) {
	started := x.Clock.Now()
	data, err := json.Marshal(e.Table)
	if err != nil {
		x.Logger.Error("table cannot be encoded", "error", err)
		return
	}
	value, err := x.Store.Put(x.ctx, model.KeyTables+x.Domain, data, e.StoreRevision, 0)
	if err != nil {
		x.reportStoreFailure("write table", err)
		return
	}
	x.engine.Handle(message.TableWritten{
		Table:         e.Table,
		StoreRevision: value.Revision,
		StartedAt:     started,
		Conflict:      value.Conflict,
	})
}

func (x *Executor) readListing(domain string) {
	listing, err := x.List.List(x.ctx, domain)
	if err != nil {
		x.engine.Handle(message.ListingFailed{Domain: domain})
		return
	}
	x.engine.Handle(message.ListingRead{Domain: domain, Listing: listing})
}

// loadReport is a server's report of its own load.
type loadReport struct {
	Slots    int  `json:"slots"`
	Busy     int  `json:"busy"`
	Draining bool `json:"draining"`
}

func (x *Executor) pollLoad(s model.Server) {
	report, err := x.getLoad(s)
	if err != nil {
		return
	}
	x.engine.Handle(message.LoadReported{
		Server:   s.Name,
		Slots:    report.Slots,
		Busy:     report.Busy,
		Draining: report.Draining,
	})
}

func (x *Executor) getLoad(s model.Server) (loadReport, error) {
	var report loadReport
	request, err := http.NewRequestWithContext(x.ctx, http.MethodGet, "http://"+s.Address+"/load", nil)
	if err != nil {
		return report, fmt.Errorf("executor: %w", err)
	}
	response, err := x.LoadClient.Do(request)
	if err != nil {
		return report, fmt.Errorf("executor: %w", err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(io.LimitReader(response.Body, maxLoadBytes)).Decode(&report); err != nil {
		return report, fmt.Errorf("executor: %w", err)
	}
	return report, nil
}

func (x *Executor) claim(e message.Claim) {
	ctx, cancel := context.WithDeadline(x.ctx, e.Deadline)
	defer cancel()
	c := claimer.Claimer{Store: x.Store}
	x.engine.Handle(c.Claim(ctx, e))
}

func (x *Executor) settle(e message.Settle) {
	c := claimer.Claimer{Store: x.Store}
	x.engine.Handle(c.Settle(x.ctx, e))
}
