package steerer

import (
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// attributes returns the attributes of the log line with the given message. The
// test fails if a key occurs twice.
func attributes(t *testing.T, effects []traffic.Effect, message string) map[string]slog.Value {
	t.Helper()
	for _, x := range effects {
		r, ok := x.(traffic.Record)
		if !ok || r.Message != message {
			continue
		}
		values := make(map[string]slog.Value)
		for _, a := range r.Attributes {
			_, duplicate := values[a.Key]
			assert.Assert(t, !duplicate, "attribute %s occurs twice", a.Key)
			values[a.Key] = a.Value
		}
		return values
	}
	t.Fatalf("no log line %q in %v", message, effects)
	return nil
}

// The log line of a refusal contains what it was based on: the number of eligible
// servers, the fastest server's load, the age of its report, and the expected time.
func TestRefusalLogsItsInputs(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"))
	_, effects := b.request("/look/1", "7")
	full := successOutcome()
	full.Reply.Load = traffic.Load{Known: true, Running: 5, Waiting: 20, Slots: 4}
	b.endAttempt(b.mustSend(effects), full)
	_, effects = b.advance(100*time.Millisecond).request("/look/1", "7")
	line := attributes(t, effects, "request refused")
	assert.Equal(t, line["reason"].String(), string(traffic.Overloaded))
	assert.Equal(t, line["eligible"].Int64(), int64(1))
	assert.Equal(t, line["load_age_ms"].Float64(), 100.0)
	assert.Assert(t, line["server_load"].Float64() > 8, "load %v", line["server_load"])
	assert.Assert(t, line["expected_ms"].Float64() > 0)
}

// The log line of a response lists the servers in the order in which they were
// tried.
func TestAnswerLogsServersInOrder(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"), server("s2", "a2"))
	_, effects := b.request("/look/1", "7")
	first := b.mustSend(effects)
	second := b.mustSend(b.endAttempt(first, rejectedOutcome()))
	line := attributes(t, b.endAttempt(second, successOutcome()), "request answered")
	assert.Equal(t, line["tried"].String(), "["+first.Upstream.ID+" "+second.Upstream.ID+"]")
	assert.Equal(t, line["at_hand"].Bool(), false)
}

func TestSecondAttemptLogsItsInputs(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"), server("s2", "a2"))
	_, effects := b.request("/look/1", "7")
	send := b.mustSend(effects)
	effects = b.advance(1200 * time.Millisecond).handle(traffic.Overdue{Call: send.Call, Attempt: send.Attempt})
	line := attributes(t, effects, "second attempt")
	assert.Equal(t, line["waited_ms"].Float64(), 1200.0)
	assert.Equal(t, line["overdue"].String(), send.Upstream.ID)
}

// A log line about another instance gives its name under the key peer, since the
// key instance holds the name of the instance that writes the line.
func TestInstanceLinesNameThePeer(t *testing.T) {
	b := newReadyBench(t, server("s1", "a1"))
	effects := b.handle(traffic.InstanceSeen{Instance: traffic.Instance{Name: "front-2", Region: "a", Incarnation: "x"}})
	line := attributes(t, effects, "instance seen")
	assert.Equal(t, line["peer"].String(), "front-2")
	_, own := line["instance"]
	assert.Assert(t, !own)
}

// A refusal tells why each server of the service gets nothing, so that an operator need not
// look for it in other lines.
func TestRefusalCountsObstacles(t *testing.T) {
	draining := server("draining", "a1")
	draining.Draining = true
	cold := server("cold", "a1")
	cold.Cold = time.Minute
	b := newReadyBench(t, draining, cold, server("evacuated", "b1"), server("leaving", "a2"), server("paused", "a2"))
	b.handle(traffic.EvacuationSeen{Domain: "b1"})
	leaving := successOutcome()
	leaving.Reply.Leaving = true
	b.endAttempt(b.sendTo("leaving"), leaving)
	paused := rejectedOutcome()
	paused.Reply.Pause = 20 * time.Second
	b.endAttempt(b.sendTo("paused"), paused)
	for range 50 {
		_, effects := b.request("/order/1", "7")
		send, ok := findEffect[traffic.Send](effects)
		if ok {
			assert.Equal(t, send.Upstream.ID, "cold")
			b.endAttempt(send, successOutcome())
			continue
		}
		counts, ok := attributes(t, effects, "request refused")["obstacles"].Any().(map[string]int)
		assert.Assert(t, ok)
		assert.DeepEqual(t, counts, map[string]int{"draining": 1, "cold": 1, "evacuated": 1, "leaving": 1, "pause": 1})
		return
	}
	t.Fatal("no request was refused")
}
