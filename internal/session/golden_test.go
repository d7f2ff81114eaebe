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

// newSmallFleet builds a fleet whose timeline is easy to read: two instances in
// gent-a and one in namur-a, with two stock servers and one ordering server in
// each domain.
func newSmallFleet(t *testing.T) *simulation {
	sim := newSimulation(t, 1)
	sim.recordRequests = true
	var c model.Configuration
	readJSON(t, "../../examples/verhaegen/configuration.jsonc", &c)
	c.Regions = []model.Region{{Name: "flanders", Domains: []string{"gent-a"}}, {Name: "wallonia", Domains: []string{"namur-a"}}}
	c.Links = []model.Link{}
	c.Blocks = []model.Block{}
	for i := range c.Kinds {
		c.Kinds[i].Regions = []string{model.HomeRegion, "flanders", "wallonia"}
	}
	sim.regionOf = map[string]string{"gent-a": "flanders", "namur-a": "wallonia"}
	assert.NilError(t, sim.patch(0, "first", replacementPatch(t, c)))
	for _, domain := range []string{"gent-a", "namur-a"} {
		listing := model.Listing{}
		for _, name := range []string{"stock-1", "stock-2", "ordering-1"} {
			service, _, _ := strings.Cut(name, "-")
			server := model.Server{Name: name + "-" + domain, Service: service, Domain: domain}
			listing.Servers = append(listing.Servers, server)
			sim.addServer(server, map[string]int{"stock": 9, "ordering": 4}[service], func() time.Duration { return 20 * time.Millisecond })
		}
		sim.listings[domain] = listing
	}
	for _, name := range []string{"gent-a-1", "gent-a-2", "namur-a-1"} {
		domain := name[:len(name)-2]
		identity := model.Instance{Name: name, Domain: domain, Region: sim.regionOf[domain], PeerAddress: name}
		listing := sim.listings[domain]
		listing.Instances = append(listing.Instances, model.Listed{Instance: identity})
		sim.listings[domain] = listing
		sim.addInstance(identity)
	}
	sim.annotate("three instances start")
	sim.advance(15 * time.Second)
	return sim
}

// annotate adds a comment line to the timeline.
func (sim *simulation) annotate(text string) {
	sim.records = append(sim.records, model.Record{Stamp: model.Stamp{WallMS: sim.now.UnixMilli()}, Kind: "# " + text})
}

// annotateOutcomes adds the results of the requests sent since from, counted by
// kind, outcome, code and failure domain, to the timeline.
func (sim *simulation) annotateOutcomes(title string, from time.Duration) {
	counts := make(map[string]int)
	for _, r := range sim.requests {
		if r.sentAt.Sub(sim.start) >= from {
			domain := sim.executedIn[r.id]
			counts[strings.TrimSpace(fmt.Sprintf("%s: %s %s %s", r.kind, r.result.Outcome, r.result.Code, domain))]++
		}
	}
	sim.annotate(title)
	for _, k := range sortedKeys(counts) {
		sim.annotate(fmt.Sprintf("  %5d %s", counts[k], k))
	}
}

// formatRecords returns the timeline as text, in the format of the golden files.
func (sim *simulation) formatRecords() string {
	var b strings.Builder
	for _, r := range sim.records {
		elapsed := time.Duration(r.WallMS-sim.start.UnixMilli()) * time.Millisecond
		fields := []string{fmt.Sprintf("%8.3f", elapsed.Seconds())}
		for _, x := range []string{r.Instance, r.Kind, r.Request, r.Subject, r.Reason, r.Inputs} {
			if x != "" {
				fields = append(fields, x)
			}
		}
		fmt.Fprintln(&b, strings.Join(fields, "  "))
	}
	return b.String()
}

func (sim *simulation) ticket(name string, number int) string {
	inst := sim.instances[name]
	return fmt.Sprintf("ytk1.%s.%s.%s.%d", inst.Name, inst.Incarnation, base36Millis(sim.now), number)
}

func TestGoldenNormalDay(t *testing.T) {
	sim := newSmallFleet(t)
	sim.annotate("a stock query, an order with a ticket, the same order again elsewhere")
	sim.send("gent-a-1", "stock", "")
	sim.advance(time.Second)
	key := sim.ticket("gent-a-1", 1)
	sim.send("gent-a-1", "order", key)
	sim.send("namur-a-1", "order", key)
	sim.advance(time.Second)
	sim.send("gent-a-2", "order", key)
	sim.advance(time.Second)
	sim.annotate("an order under the caller's own key, its claim's answer lost")
	sim.store.loseAnswers = 1
	sim.send("namur-a-1", "order", "own-key")
	sim.advance(time.Second)
	sim.send("gent-a-2", "order", "own-key")
	sim.advance(time.Second)
	sim.annotate("what cannot run")
	sim.send("gent-a-1", "nothing", "")
	sim.send("gent-a-1", "order", "")
	sim.advance(time.Second)
	sim.checkOutcomes()
	golden.Assert(t, sim.formatRecords(), "normal-day.txt")
}

func TestGoldenFlood(t *testing.T) {
	sim := newSmallFleet(t)
	sim.recordRequests = false
	sim.annotate("orders arrive while catalogue queries flood in at six times the capacity")
	from := sim.elapsed()
	sim.sendStream("catalogue", 5400, 2*time.Second, "gent-a-1")
	sim.sendStream("stock", 200, 2*time.Second, "gent-a-1")
	sim.sendStream("compatibility", 50, 2*time.Second, "gent-a-1")
	sim.advance(4 * time.Second)
	sim.annotateOutcomes("gent-a-1's callers", from)
	sim.checkOutcomes()
	golden.Assert(t, sim.formatRecords(), "flood.txt")
}

func TestGoldenRegionFailure(t *testing.T) {
	sim := newSmallFleet(t)
	sim.recordRequests = false
	sim.annotate("flanders fails with the store in it; its callers go to wallonia")
	sim.stopDomains("gent-a")
	sim.store.down = true
	for range 6 {
		from := sim.elapsed()
		sim.sendStreamFrom("gent-a", "stock", 100, 10*time.Second, "namur-a-1")
		sim.advance(10 * time.Second)
		sim.annotateOutcomes("the last 10 s", from)
	}
	sim.annotate("flanders comes back; callers go back to it")
	sim.store.down = false
	sim.restartDomains("gent-a")
	for range 7 {
		from := sim.elapsed()
		sim.sendStreamFrom("gent-a", "stock", 100, 10*time.Second, "gent-a-1", "gent-a-2")
		sim.advance(10 * time.Second)
		sim.annotateOutcomes("the last 10 s", from)
	}
	sim.checkOutcomes()
	golden.Assert(t, sim.formatRecords(), "region-failure.txt")
}

func TestGoldenStalePatch(t *testing.T) {
	sim := newSmallFleet(t)
	sim.annotate("two operators patch version 1")
	err := sim.patch(1, "first-operator", []byte(`[{"op":"replace","path":"/shift/cap","value":0.1}]`))
	sim.annotate(fmt.Sprintf("first: %v", err))
	err = sim.patch(1, "second-operator", []byte(`[{"op":"replace","path":"/shift/cap","value":0.9}]`))
	sim.annotate(fmt.Sprintf("second: %v", err))
	sim.advance(3 * time.Second)
	sim.annotate("an invalid patch")
	err = sim.patch(2, "third", []byte(`[{"op":"replace","path":"/shift/cap","value":9},{"op":"add","path":"/nonsense","value":1}]`))
	sim.annotate(fmt.Sprintf("third: %v", err))
	sim.annotate("a patch whose answer is lost")
	sim.store.loseAnswers = 1
	err = sim.patch(2, "fourth", []byte(`[{"op":"replace","path":"/shift/cap","value":0.3}]`))
	sim.annotate(fmt.Sprintf("fourth: %v", err))
	sim.advance(3 * time.Second)
	golden.Assert(t, sim.formatRecords(), "stale-patch.txt")
}

func TestGoldenPlannedStop(t *testing.T) {
	sim := newSmallFleet(t)
	sim.recordRequests = false
	sim.annotate("gent-a-2 is told to stop; its callers' look-ups are cached for 5 s")
	from := sim.elapsed()
	sim.sendStream("stock", 100, 4900*time.Millisecond, "gent-a-2")
	sim.advance(100 * time.Millisecond)
	sim.deliver(sim.instances["gent-a-2"], message.StopRequested{})
	sim.advance(15 * time.Second)
	sim.annotateOutcomes("gent-a-2's callers", from)
	sim.checkOutcomes()
	golden.Assert(t, sim.formatRecords(), "planned-stop.txt")
}
