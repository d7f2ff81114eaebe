package steerer

import (
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// attributes returns those of the line with a message, and fails on a name that
// stands twice.
func attributes(t *testing.T, effects []traffic.Effect, message string) map[string]slog.Value {
	t.Helper()
	for _, x := range effects {
		r, ok := x.(traffic.Record)
		if !ok || r.Message != message {
			continue
		}
		named := make(map[string]slog.Value)
		for _, a := range r.Attributes {
			_, twice := named[a.Key]
			assert.Assert(t, !twice, "%s stands twice", a.Key)
			named[a.Key] = a.Value
		}
		return named
	}
	t.Fatalf("no line %q in %v", message, effects)
	return nil
}

// A refusal names what decided it: the least loaded server's load, how old the
// report is, and what was expected.
func TestRefusalNamesItsInputs(t *testing.T) {
	b := informed(t, server("s1", "a1"))
	_, effects := b.ask("/look/1", "7")
	full := good()
	full.Reply.Load = traffic.Load{Known: true, Running: 5, Waiting: 20, Slots: 4}
	b.end(b.mustSend(effects), full)
	_, effects = b.after(100*time.Millisecond).ask("/look/1", "7")
	line := attributes(t, effects, "request refused")
	assert.Equal(t, line["reason"].String(), string(traffic.Overloaded))
	assert.Equal(t, line["eligible"].Int64(), int64(1))
	assert.Equal(t, line["load_age_ms"].Float64(), 100.0)
	assert.Assert(t, line["server_load"].Float64() > 8, "load %v", line["server_load"])
	assert.Assert(t, line["expected_ms"].Float64() > 0)
}

// An answer names the servers in the order in which they were tried.
func TestAnswerNamesServersInOrder(t *testing.T) {
	b := informed(t, server("s1", "a1"), server("s2", "a2"))
	_, effects := b.ask("/look/1", "7")
	first := b.mustSend(effects)
	second := b.mustSend(b.end(first, shed()))
	line := attributes(t, b.end(second, good()), "request answered")
	assert.Equal(t, line["tried"].String(), "["+first.Upstream.ID+" "+second.Upstream.ID+"]")
	assert.Equal(t, line["at_hand"].Bool(), false)
}

func TestSecondAttemptNamesItsInputs(t *testing.T) {
	b := informed(t, server("s1", "a1"), server("s2", "a2"))
	_, effects := b.ask("/look/1", "7")
	send := b.mustSend(effects)
	effects = b.after(1200 * time.Millisecond).do(traffic.Overdue{Call: send.Call, Attempt: send.Attempt})
	line := attributes(t, effects, "second attempt")
	assert.Equal(t, line["waited_ms"].Float64(), 1200.0)
	assert.Equal(t, line["overdue"].String(), send.Upstream.ID)
}

// The line about another instance does not hide which instance wrote it.
func TestInstanceLinesNameThePeer(t *testing.T) {
	b := informed(t, server("s1", "a1"))
	effects := b.do(traffic.InstanceSeen{Instance: traffic.Instance{Name: "front-2", Region: "a", Incarnation: "x"}})
	line := attributes(t, effects, "instance seen")
	assert.Equal(t, line["peer"].String(), "front-2")
	_, own := line["instance"]
	assert.Assert(t, !own)
}
