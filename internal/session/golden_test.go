package session

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
)

// small is a fleet that a person can follow: two instances in gent-a, one in
// namur-a, two stock servers and one ordering server in each.
func small(t *testing.T) *world {
	w := newWorld(t, 1)
	w.recording = true
	var c model.Configuration
	readJSON(t, "../../examples/verhaegen/configuration.jsonc", &c)
	c.Regions = []model.Region{{Name: "flanders", Domains: []string{"gent-a"}}, {Name: "wallonia", Domains: []string{"namur-a"}}}
	c.Links = []model.Link{}
	c.Blocks = []model.Block{}
	for i := range c.Kinds {
		c.Kinds[i].Regions = []string{model.Home, "flanders", "wallonia"}
	}
	w.regions = map[string]string{"gent-a": "flanders", "namur-a": "wallonia"}
	assert.NilError(t, w.patch(0, "first", document(t, c)))
	for _, domain := range []string{"gent-a", "namur-a"} {
		l := model.Listing{}
		for _, name := range []string{"stock-1", "stock-2", "ordering-1"} {
			service, _, _ := strings.Cut(name, "-")
			s := model.Server{Name: name + "-" + domain, Service: service, Domain: domain}
			l.Servers = append(l.Servers, s)
			w.addServer(s, map[string]int{"stock": 9, "ordering": 4}[service], func() time.Duration { return 20 * time.Millisecond })
		}
		w.listing[domain] = l
	}
	for _, name := range []string{"gent-a-1", "gent-a-2", "namur-a-1"} {
		domain := name[:len(name)-2]
		i := model.Instance{Name: name, Domain: domain, Region: w.regions[domain], PeerAddress: name}
		l := w.listing[domain]
		l.Instances = append(l.Instances, model.Listed{Instance: i})
		w.listing[domain] = l
		w.addNode(i)
	}
	w.say("three instances start")
	w.run(15 * time.Second)
	return w
}

// say puts a line of the script into the session.
func (w *world) say(text string) {
	w.records = append(w.records, model.Record{Stamp: model.Stamp{WallMS: w.now.UnixMilli()}, Kind: "# " + text})
}

// counts says what became of the requests that were due in a time.
func (w *world) counts(title string, from time.Duration) {
	sums := make(map[string]int)
	for _, r := range w.results {
		if r.due.Sub(w.begin) >= from {
			where := w.places[r.id]
			sums[strings.TrimSpace(fmt.Sprintf("%s: %s %s %s", r.kind, r.result.Outcome, r.result.Code, where))]++
		}
	}
	w.say(title)
	for _, k := range sortedKeys(sums) {
		w.say(fmt.Sprintf("  %5d %s", sums[k], k))
	}
}

// text is the session as its readers see it.
func (w *world) text() string {
	var b strings.Builder
	for _, r := range w.records {
		at := time.Duration(r.WallMS-w.begin.UnixMilli()) * time.Millisecond
		fields := []string{fmt.Sprintf("%8.3f", at.Seconds())}
		for _, x := range []string{r.Instance, r.Kind, r.Request, r.Subject, r.Reason, r.Inputs} {
			if x != "" {
				fields = append(fields, x)
			}
		}
		fmt.Fprintln(&b, strings.Join(fields, "  "))
	}
	return b.String()
}

func (w *world) ticket(name string, number int) string {
	n := w.nodes[name]
	return fmt.Sprintf("ytk1.%s.%s.%s.%d", n.Name, n.Incarnation, base36(w.now), number)
}

func TestGoldenNormalDay(t *testing.T) {
	w := small(t)
	w.say("a stock query, an order with a ticket, the same order again elsewhere")
	w.send("gent-a-1", "stock", "")
	w.run(time.Second)
	key := w.ticket("gent-a-1", 1)
	w.send("gent-a-1", "order", key)
	w.send("namur-a-1", "order", key)
	w.run(time.Second)
	w.send("gent-a-2", "order", key)
	w.run(time.Second)
	w.say("an order under the caller's own key, its claim's answer lost")
	w.store.lose = 1
	w.send("namur-a-1", "order", "own-key")
	w.run(time.Second)
	w.send("gent-a-2", "order", "own-key")
	w.run(time.Second)
	w.say("what cannot run")
	w.send("gent-a-1", "nothing", "")
	w.send("gent-a-1", "order", "")
	w.run(time.Second)
	w.checkTruth()
	golden.Assert(t, w.text(), "normal-day.txt")
}

func TestGoldenFlood(t *testing.T) {
	w := small(t)
	w.recording = false
	w.say("orders arrive while catalogue queries flood in at six times the capacity")
	from := w.elapsed()
	w.stream("catalogue", 5400, 2*time.Second, "gent-a-1")
	w.stream("stock", 200, 2*time.Second, "gent-a-1")
	w.stream("compatibility", 50, 2*time.Second, "gent-a-1")
	w.run(4 * time.Second)
	w.counts("gent-a-1's callers", from)
	w.checkTruth()
	golden.Assert(t, w.text(), "flood.txt")
}

func TestGoldenRegionFailure(t *testing.T) {
	w := small(t)
	w.recording = false
	w.say("flanders fails with the store in it; its callers go to wallonia")
	w.killDomains("gent-a")
	w.store.down = true
	for range 6 {
		from := w.elapsed()
		w.streamFrom("gent-a", "stock", 100, 10*time.Second, "namur-a-1")
		w.run(10 * time.Second)
		w.counts("the last 10 s", from)
	}
	w.say("flanders comes back; callers go back to it")
	w.store.down = false
	w.reviveDomains("gent-a")
	for range 7 {
		from := w.elapsed()
		w.streamFrom("gent-a", "stock", 100, 10*time.Second, "gent-a-1", "gent-a-2")
		w.run(10 * time.Second)
		w.counts("the last 10 s", from)
	}
	w.checkTruth()
	golden.Assert(t, w.text(), "region-failure.txt")
}

func TestGoldenStalePatch(t *testing.T) {
	w := small(t)
	w.say("two operators patch version 1")
	err := w.patch(1, "first-operator", []byte(`[{"op":"replace","path":"/shift/cap","value":0.1}]`))
	w.say(fmt.Sprintf("first: %v", err))
	err = w.patch(1, "second-operator", []byte(`[{"op":"replace","path":"/shift/cap","value":0.9}]`))
	w.say(fmt.Sprintf("second: %v", err))
	w.run(3 * time.Second)
	w.say("an invalid patch")
	err = w.patch(2, "third", []byte(`[{"op":"replace","path":"/shift/cap","value":9},{"op":"add","path":"/nonsense","value":1}]`))
	w.say(fmt.Sprintf("third: %v", err))
	w.say("a patch whose answer is lost")
	w.store.lose = 1
	err = w.patch(2, "fourth", []byte(`[{"op":"replace","path":"/shift/cap","value":0.3}]`))
	w.say(fmt.Sprintf("fourth: %v", err))
	w.run(3 * time.Second)
	golden.Assert(t, w.text(), "stale-patch.txt")
}

func TestGoldenPlannedStop(t *testing.T) {
	w := small(t)
	w.recording = false
	w.say("gent-a-2 is told to stop; its callers' look-ups are cached for 5 s")
	from := w.elapsed()
	w.stream("stock", 100, 4900*time.Millisecond, "gent-a-2")
	w.run(100 * time.Millisecond)
	w.deliver(w.nodes["gent-a-2"], message.StopRequested{})
	w.run(15 * time.Second)
	w.counts("gent-a-2's callers", from)
	w.checkTruth()
	golden.Assert(t, w.text(), "planned-stop.txt")
}
