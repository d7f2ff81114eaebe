package reducer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
	"github.com/yuccathread/yuccathread/internal/reducer"
	"github.com/yuccathread/yuccathread/internal/ticketer"
)

// immediateResult sends a request and returns the result of an immediate reply.
func immediateResult(r *reducer.Reducer, now time.Time, request model.Request) model.Result {
	for _, e := range r.Reduce(now, message.Arrived{Request: request}) {
		if reply, ok := e.(message.Reply); ok {
			return reply.Result
		}
	}
	return model.Result{}
}

// TestNotRunIsReportedOnlyByTheKeyHolder sends requests that are refused here,
// although earlier requests with the same keys may have run. Reporting them as
// not run could make a caller run the work twice.
func TestNotRunIsReportedOnlyByTheKeyHolder(t *testing.T) {
	size := fleetSize{domains: 2, siblings: 2, servers: 1, kinds: 1}
	r, now := newReducer(size)
	c := configuration(size)
	c.Kinds[0].OnceOnly = true
	c.OnceOnly.ClaimsPerSecond = 0
	r.Reduce(now, message.ConfigurationReceived{Head: model.Head{Change: model.Change{Version: 2}}, Configuration: c})
	previousTickets := ticketer.Ticketer{Instance: "d0-1", Incarnation: "before"}
	ownTickets := ticketer.Ticketer{Instance: "d0-0", Incarnation: "i"}
	for name, test := range map[string]struct {
		key  string
		code model.Code
	}{
		"issuer gone":    {previousTickets.Issue(now, 1), model.CodeIssuerUnreachable},
		"ticket expired": {ownTickets.Issue(now.Add(-time.Hour), 2), model.CodeTicketExpired},
		"no claim left":  {"own", model.CodeClaimLimit},
	} {
		result := immediateResult(r, now, model.Request{ID: name, Kind: "k0", Key: test.key})
		assert.Equal(t, result.Outcome, model.Unknown, name)
		assert.Equal(t, result.Code, test.code, name)
	}
	starting := &reducer.Reducer{Self: instance(0, 0)}
	result := immediateResult(starting, now, model.Request{ID: "r", Kind: "k0", Key: "own"})
	assert.Equal(t, result.Outcome, model.Unknown, "an instance that is starting")
	assert.Equal(t, immediateResult(starting, now, model.Request{ID: "s", Kind: "k0"}).Outcome, model.NotRun)
}

func TestConfigurationNeverReverts(t *testing.T) {
	r, now := newReducer(currentFleet)
	for _, version := range []int64{5, 4, 5, 1} {
		head := model.Head{Change: model.Change{Version: version}}
		r.Reduce(now, message.ConfigurationReceived{Head: head, Configuration: configuration(currentFleet)})
		assert.Equal(t, r.ConfigurationHead().Version, int64(5))
	}
}
