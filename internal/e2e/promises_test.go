package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/model"
)

// TestRequestsAndOperatorCommands looks up instances, sends requests, reads the
// timeline and patches the configuration with yuccactl.
func TestRequestsAndOperatorCommands(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	assert.Assert(t, strings.Contains(f.runCtl("look-up", "-kind", "stock"), "home gent-a"))
	out := f.runCtl("send", "-kind", "stock", "-body", "hello", "-id", "first")
	assert.Assert(t, strings.Contains(out, "hello"), out)
	out = f.runCtl("send", "-kind", "order", "-body", "two cores")
	assert.Assert(t, strings.Contains(out, "two cores"), out)
	out = f.runCtl("timeline", "-request", "first")
	assert.Assert(t, strings.Contains(out, "dispatched") && strings.Contains(out, "answered"), out)
	f.eventually(startTimeout, "the timeline has every instance", func() bool {
		out, err := f.tryRunCtl("timeline", "-kind", "configuration_in_force")
		return err == nil && strings.Contains(out, "gent-a-1") && strings.Contains(out, "gent-a-2") && strings.Contains(out, "namur-a-1")
	})
	out = f.runCtl("patch", "-base", "1", "-patch", `[{"op":"replace","path":"/shift/cap","value":0.4}]`, "-wait", "10s")
	assert.Assert(t, strings.Contains(out, "version 2 is in force everywhere"), out)
	out, err := f.tryRunCtl("patch", "-base", "1", "-patch", `[{"op":"replace","path":"/shift/cap","value":0.3}]`)
	assert.Assert(t, err != nil && strings.Contains(out, "stale_version") && strings.Contains(out, "/shift/cap"), out)
	out, err = f.tryRunCtl("patch", "-base", "2", "-patch", `[{"op":"replace","path":"/shift/cap","value":7},{"op":"add","path":"/more","value":1}]`)
	assert.Assert(t, err != nil && strings.Contains(out, "/shift/cap") && strings.Contains(out, "/more"), out)
}

// TestKilledInstance kills an instance under load. The other instance of the
// domain must take over its servers without overloading them, and every answer
// must be complete.
func TestKilledInstance(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	stop := f.startLoad("gent-a-1", "stock", 150)
	stopOther := f.startLoad("gent-a-2", "stock", 150)
	time.Sleep(time.Second)
	f.signal("gent-a-2", syscall.SIGKILL)
	delete(f.addresses, "gent-a-2")
	took := f.waitOwned()
	t.Logf("all servers in use again after %s", took)
	stopOther()
	counts := f.checkAnswers(stop())
	t.Logf("callers of the remaining instance: %v", counts)
	assert.Equal(t, counts["failed"], 0)
	f.checkPeaks()
}

// TestPausedInstance suspends an instance for longer than its lease and resumes it
// under a load that fills all slots. It guards against the resumed instance using
// slots that now belong to the other instance.
func TestPausedInstance(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	stopFirst, stopSecond := f.startLoad("gent-a-1", "stock", 300), f.startLoad("gent-a-2", "stock", 300)
	time.Sleep(time.Second)
	f.signal("gent-a-2", syscall.SIGSTOP)
	time.Sleep(10 * time.Second)
	f.signal("gent-a-2", syscall.SIGCONT)
	time.Sleep(6 * time.Second)
	t.Logf("other instance %v, paused instance %v", f.checkAnswers(stopFirst()), f.checkAnswers(stopSecond()))
	f.checkPeaks()
}

// TestGracefulStop stops an instance under load. Callers with cached look-ups keep
// sending to it until their entries expire, and all of them must get an answer.
func TestGracefulStop(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	stop := f.startLoad("gent-a-2", "stock", 100)
	time.Sleep(time.Second)
	f.signal("gent-a-2", syscall.SIGTERM)
	time.Sleep(900 * time.Millisecond)
	counts := f.checkAnswers(stop())
	assert.Assert(t, len(counts) == 1 && counts["ok"] > 100, "%v", counts)
	lookUp := f.get("http://" + f.addresses["gent-a-1"] + "/v1/look-up?kind=stock")
	assert.Assert(t, !strings.Contains(string(lookUp), "gent-a-2"), "%s", lookUp)
	select {
	case err := <-f.processes["gent-a-2"].done:
		assert.NilError(t, err)
	case <-time.After(10 * time.Second):
		t.Fatal("the instance did not exit")
	}
	f.checkPeaks()
}

// TestOnceOnly sends each key to several instances, first at the same time and
// again later, while the store loses answers and an instance is killed. No key may
// run twice.
func TestOnceOnly(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	var tickets []string
	for range 40 {
		var ticket struct{ Ticket string }
		assert.NilError(t, json.Unmarshal(f.post("gent-a-2", "/v1/tickets"), &ticket))
		tickets = append(tickets, ticket.Ticket)
	}
	f.setPlatformFaults(model.PlatformFaults{LoseAnswers: 30})
	var mutex sync.Mutex
	resultsByKey := make(map[string][]callResult)
	var group sync.WaitGroup
	sendAll := func(names ...string) {
		for i := range 80 {
			key := fmt.Sprintf("own-%d", i)
			if i < len(tickets) {
				key = tickets[i]
			}
			for _, name := range names {
				group.Go(func() {
					result := f.sendWork(name, "order", key, key)
					mutex.Lock()
					resultsByKey[key] = append(resultsByKey[key], result)
					mutex.Unlock()
				})
			}
		}
	}
	sendAll("gent-a-1", "namur-a-1", "gent-a-2")
	time.Sleep(60 * time.Millisecond)
	f.signal("gent-a-2", syscall.SIGKILL)
	group.Wait()
	time.Sleep(time.Second)
	sendAll("namur-a-1", "gent-a-1")
	group.Wait()
	f.checkKeys(resultsByKey)
}

func (f *fleet) post(name, path string) []byte {
	response, err := client.Post("http://"+f.addresses[name]+path, "", nil)
	assert.NilError(f.t, err)
	defer response.Body.Close()
	assert.Equal(f.t, response.StatusCode, http.StatusOK)
	return []byte(readAll(f.t, response))
}

// checkKeys compares the results by key with the executions at the servers.
func (f *fleet) checkKeys(resultsByKey map[string][]callResult) {
	executions := make(map[string]int)
	for i := range f.servers {
		for key, n := range f.serverReport(i).ByKey {
			executions[key] += n
		}
	}
	counts := make(map[string]int)
	for key, results := range resultsByKey {
		assert.Check(f.t, executions[key] <= 1, "key %s was executed %d times", key, executions[key])
		for _, result := range results {
			counts[result.outcome+" "+result.code]++
			assert.Check(f.t, result.outcome != "ran" || executions[key] == 1, "key %s was reported as ran but was not executed", key)
			assert.Check(f.t, result.code != "ok" || strings.HasSuffix(result.body, result.sentBody), "answer to another request: %q", result.body)
		}
		last := results[len(results)-1]
		assert.Check(f.t, last.outcome != "not_run" || executions[key] == 0, "key %s was last reported as not_run but was executed", key)
	}
	f.t.Logf("%d keys were executed, results: %v", len(executions), counts)
}

// TestStoreOutage restarts an instance while the store is down. The instance must
// get the configuration from its peers before it is ready. Repeatable work and work
// with tickets must still run, and work with a caller's own key must end as unknown.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	f.runCtl("patch", "-base", "1", "-patch", `[{"op":"replace","path":"/shift/cap","value":0.4}]`, "-wait", "10s")
	f.setPlatformFaults(model.PlatformFaults{StoreDown: true})
	stop := f.startLoad("gent-a-1", "stock", 50)
	time.Sleep(6 * time.Second)
	f.signal("gent-a-2", syscall.SIGKILL)
	<-f.processes["gent-a-2"].done
	f.startProcess("gent-a-2", f.processes["gent-a-2"].arguments...)
	took := f.waitReady("gent-a-2")
	var head model.Head
	assert.NilError(t, json.Unmarshal(f.get("http://"+f.addresses["gent-a-2"]+"/v1/configuration"), &head))
	assert.Equal(t, head.Version, int64(2))
	t.Logf("ready after %s without the store", took)
	assert.Equal(t, f.sendWork("gent-a-2", "stock", "", "b").code, "ok")
	var ticket struct{ Ticket string }
	assert.NilError(t, json.Unmarshal(f.post("gent-a-1", "/v1/tickets"), &ticket))
	assert.Equal(t, f.sendWork("namur-a-1", "order", ticket.Ticket, "b").code, "ok")
	ownKey := f.sendWork("gent-a-1", "order", "own", "b")
	assert.Equal(t, ownKey.outcome+" "+ownKey.code, "unknown store_unavailable")
	out, err := f.tryRunCtl("patch", "-base", "2", "-patch", `[{"op":"replace","path":"/shift/cap","value":0.2}]`)
	assert.Assert(t, err != nil, out)
	f.setPlatformFaults(model.PlatformFaults{})
	f.waitOwned()
	counts := f.checkAnswers(stop())
	assert.Equal(t, counts["ok"]+counts["not_run shift_cap"], counts["ok"], "%v", counts)
	f.checkPeaks()
}

// TestBrokenAnswers has servers truncate answers, hang and fail. A caller must get
// either a complete answer or an error.
func TestBrokenAnswers(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	stop := f.startLoad("gent-a-1", "stock", 100)
	for i, mode := range []string{"truncate", "hang", "fail"} {
		f.setServerFaults(i, model.UpstreamFaults{Mode: mode, FalseLoad: true})
	}
	time.Sleep(4 * time.Second)
	for i := range 3 {
		f.setServerFaults(i, model.UpstreamFaults{})
	}
	time.Sleep(3 * time.Second)
	var checked []callResult
	for _, result := range stop() {
		if strings.TrimSpace(result.body) == "failed" {
			continue // The upstream's own answer with status 500.
		}
		checked = append(checked, result)
	}
	t.Logf("results: %v", f.checkAnswers(checked))
	f.checkPeaks()
}

// TestLeavingServer marks a server as draining under load. Three seconds later it
// must get no new work.
func TestLeavingServer(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	stop, stopOther := f.startLoad("gent-a-1", "stock", 100), f.startLoad("gent-a-2", "stock", 100)
	time.Sleep(time.Second)
	assert.Assert(t, f.serverReport(0).Executions > 0, "the server got no work before it was marked")
	f.setServerFaults(0, model.UpstreamFaults{Draining: true})
	marked := time.Now()
	time.Sleep(4 * time.Second)
	last := time.UnixMilli(f.serverReport(0).LastArrivalMS)
	t.Logf("last work arrived %s after the server was marked", last.Sub(marked))
	assert.Assert(t, last.Sub(marked) < 3*time.Second)
	counts := f.checkAnswers(append(stop(), stopOther()...))
	assert.Equal(t, len(counts), 1, "%v", counts)
}

// TestBadInput sends invalid requests and checks their error codes.
func TestBadInput(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	for name, request := range map[string]struct{ kind, key, body, code string }{
		"unknown kind": {"nothing", "", "", "unknown_kind"},
		"large body":   {"stock", "", strings.Repeat("x", 1_000_001), "body_too_large"},
		"no key":       {"order", "", "", "key_required"},
		"stale ticket": {"order", "ytk1.gent-a-9.xyz.mx8p29bh.1", "", "issuer_unreachable"},
	} {
		result := f.sendWork("gent-a-1", request.kind, request.key, request.body)
		assert.Equal(t, result.code, request.code, name)
	}
	assert.Equal(t, f.sendWork("gent-a-1", "order", "reused", "a").code, "ok")
	assert.Equal(t, f.sendWork("namur-a-1", "order", "reused", "b").code, "key_reused")
	tooLarge := f.sendWork("gent-a-1", "order", "reused", strings.Repeat("x", 1_000_001))
	assert.Equal(t, tooLarge.outcome+" "+tooLarge.code, "unknown body_too_large", "a request whose key was executed must not be reported as not_run")
	assert.Equal(t, f.sendWork("gent-a-1", "stock", "", "still fine").code, "ok")
}
