package carrier

import (
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/clock"
	"github.com/yuccathread/yuccathread/internal/steerer"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

// Guards against fleets that end again and again: a record that no check has foreseen makes
// the decision about a request panic. Only that request fails, with a line that tells why,
// and it may have run.
func TestPanicInADecision(t *testing.T) {
	var lines []traffic.Record
	c := &Carrier{
		Steerer: &steerer.Steerer{}, Clock: clock.System(), Record: func(r traffic.Record) { lines = append(lines, r) },
		Reannounce: func(int64) {}, Publish: func(traffic.Effect) {},
	}
	// A route without any service can't come from the store; it stands for what can.
	c.Handle(traffic.PolicySeen{Policy: traffic.Policy{Version: 1, Routes: []traffic.Route{
		{Name: "odd", Host: "shop.example", Prefix: "/odd/", Timeout: time.Second},
		{Name: "sound", Host: "shop.example", Prefix: "/sound/", Timeout: time.Second, Shares: []traffic.Share{{Service: "stock", Weight: 1}}},
	}}})
	c.Handle(traffic.UpstreamsListed{})
	c.Handle(traffic.InstancesListed{})
	serve := func(path string) traffic.Refuse {
		ended := false
		effect := c.Serve(t.Context(), traffic.Request{ID: path, HostName: "shop.example", Path: path}, c.Clock.Now(), func() { ended = true })
		refusal, ok := effect.(traffic.Refuse)
		assert.Assert(t, ok, "%T", effect)
		assert.Assert(t, ended)
		return refusal
	}
	lines = nil
	assert.Equal(t, serve("/odd/1").Fate, traffic.Unknown)
	assert.Equal(t, len(lines), 1)
	assert.Equal(t, lines[0].Level, slog.LevelError)
	assert.Equal(t, serve("/sound/1").Reason, traffic.NoServer)
	assert.Equal(t, c.Steerer.InFlight(), 0)
}
