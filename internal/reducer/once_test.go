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

// told returns what a request was answered at once.
func told(r *reducer.Reducer, now time.Time, request model.Request) model.Result {
	for _, e := range r.Reduce(now, message.Arrived{Request: request}) {
		if reply, ok := e.(message.Reply); ok {
			return reply.Result
		}
	}
	return model.Result{}
}

// TestOnlyTheDeciderSaysNotRun sends keys that may have run elsewhere before.
func TestOnlyTheDeciderSaysNotRun(t *testing.T) {
	size := fleetSize{domains: 2, siblings: 2, servers: 1, kinds: 1}
	r, now := newReducer(size)
	c := configuration(size)
	c.Kinds[0].OnceOnly = true
	c.OnceOnly.ClaimsPerSecond = 0
	r.Reduce(now, message.ConfigurationSeen{Head: model.Head{Change: model.Change{Version: 2}}, Configuration: c})
	gone := ticketer.Ticketer{Instance: "d0-1", Incarnation: "before"}
	mine := ticketer.Ticketer{Instance: "d0-0", Incarnation: "i"}
	for name, x := range map[string]struct {
		key  string
		code model.Code
	}{
		"issuer gone":    {gone.Issue(now, 1), model.CodeIssuerAway},
		"ticket expired": {mine.Issue(now.Add(-time.Hour), 2), model.CodeTicketExpired},
		"no claim left":  {"own", model.CodeClaimLimit},
	} {
		result := told(r, now, model.Request{ID: name, Kind: "k0", Key: x.key})
		assert.Equal(t, result.Outcome, model.Unknown, name)
		assert.Equal(t, result.Code, x.code, name)
	}
	starting := &reducer.Reducer{Self: instance(0, 0)}
	result := told(starting, now, model.Request{ID: "r", Kind: "k0", Key: "own"})
	assert.Equal(t, result.Outcome, model.Unknown, "an instance that starts")
	assert.Equal(t, told(starting, now, model.Request{ID: "s", Kind: "k0"}).Outcome, model.NotRun)
}

func TestConfigurationNeverReverts(t *testing.T) {
	r, now := newReducer(today)
	for _, version := range []int64{5, 4, 5, 1} {
		head := model.Head{Change: model.Change{Version: version}}
		r.Reduce(now, message.ConfigurationSeen{Head: head, Configuration: configuration(today)})
		assert.Equal(t, r.Head().Version, int64(5))
	}
}
