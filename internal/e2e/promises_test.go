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

// TestWholePath goes from a look-up to an answer and through the operators'
// commands.
func TestWholePath(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	assert.Assert(t, strings.Contains(f.ctl("look-up", "-kind", "stock"), "home gent-a"))
	out := f.ctl("send", "-kind", "stock", "-body", "hello", "-id", "first")
	assert.Assert(t, strings.Contains(out, "hello"), out)
	out = f.ctl("send", "-kind", "order", "-body", "two cores")
	assert.Assert(t, strings.Contains(out, "two cores"), out)
	out = f.ctl("timeline", "-request", "first")
	assert.Assert(t, strings.Contains(out, "dispatched") && strings.Contains(out, "answered"), out)
	f.eventually(startLimit, "the time line has every instance", func() bool {
		out, err := f.tryCtl("timeline", "-kind", "configuration_in_force")
		return err == nil && strings.Contains(out, "gent-a-1") && strings.Contains(out, "gent-a-2") && strings.Contains(out, "namur-a-1")
	})
	out = f.ctl("patch", "-base", "1", "-patch", `[{"op":"replace","path":"/shift/cap","value":0.4}]`, "-wait", "10s")
	assert.Assert(t, strings.Contains(out, "version 2 is in force everywhere"), out)
	out, err := f.tryCtl("patch", "-base", "1", "-patch", `[{"op":"replace","path":"/shift/cap","value":0.3}]`)
	assert.Assert(t, err != nil && strings.Contains(out, "stale_version") && strings.Contains(out, "/shift/cap"), out)
	out, err = f.tryCtl("patch", "-base", "2", "-patch", `[{"op":"replace","path":"/shift/cap","value":7},{"op":"add","path":"/more","value":1}]`)
	assert.Assert(t, err != nil && strings.Contains(out, "/shift/cap") && strings.Contains(out, "/more"), out)
}

// TestKilledInstance kills an instance under load: its servers pass to the
// sibling, nothing is overloaded, and every answer is whole.
func TestKilledInstance(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	stop := f.load("gent-a-1", "stock", 150)
	other := f.load("gent-a-2", "stock", 150)
	time.Sleep(time.Second)
	f.signal("gent-a-2", syscall.SIGKILL)
	delete(f.address, "gent-a-2")
	took := f.waitOwned()
	t.Logf("all servers in use again after %s", took)
	other()
	sums := f.checkAnswers(stop())
	t.Logf("the sibling's callers: %v", sums)
	assert.Equal(t, sums["failed"], 0)
	f.checkPeaks()
}

// TestPausedInstance stops an instance for longer than its lease and wakes it
// up under a load that fills all slots.
func TestPausedInstance(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	one, two := f.load("gent-a-1", "stock", 300), f.load("gent-a-2", "stock", 300)
	time.Sleep(time.Second)
	f.signal("gent-a-2", syscall.SIGSTOP)
	time.Sleep(10 * time.Second)
	f.signal("gent-a-2", syscall.SIGCONT)
	time.Sleep(6 * time.Second)
	t.Logf("sibling %v, paused %v", f.checkAnswers(one()), f.checkAnswers(two()))
	f.checkPeaks()
}

// TestGracefulStop stops an instance under load. Its callers have cached
// look-ups and go on for their time; nobody is cut off.
func TestGracefulStop(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	stop := f.load("gent-a-2", "stock", 100)
	time.Sleep(time.Second)
	f.signal("gent-a-2", syscall.SIGTERM)
	time.Sleep(900 * time.Millisecond)
	sums := f.checkAnswers(stop())
	assert.Assert(t, len(sums) == 1 && sums["ok"] > 100, "%v", sums)
	named := f.get("http://" + f.address["gent-a-1"] + "/v1/look-up?kind=stock")
	assert.Assert(t, !strings.Contains(string(named), "gent-a-2"), "%s", named)
	select {
	case err := <-f.processes["gent-a-2"].done:
		assert.NilError(t, err)
	case <-time.After(10 * time.Second):
		t.Fatal("the instance did not exit")
	}
	f.checkPeaks()
}

// TestOnceOnly sends each key to several instances at the same moment and
// later, while the store loses answers and an instance is killed.
func TestOnceOnly(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	var tickets []string
	for range 40 {
		var ticket struct{ Ticket string }
		assert.NilError(t, json.Unmarshal(f.post("gent-a-2", "/v1/tickets"), &ticket))
		tickets = append(tickets, ticket.Ticket)
	}
	f.breakStore(model.PlatformFaults{LoseAnswers: 30})
	var mutex sync.Mutex
	told := make(map[string][]ended)
	var group sync.WaitGroup
	sendAll := func(names ...string) {
		for i := range 80 {
			key := fmt.Sprintf("own-%d", i)
			if i < len(tickets) {
				key = tickets[i]
			}
			for _, name := range names {
				group.Go(func() {
					e := f.work(name, "order", key, key)
					mutex.Lock()
					told[key] = append(told[key], e)
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
	f.checkKeys(told)
}

func (f *fleet) post(name, path string) []byte {
	response, err := client.Post("http://"+f.address[name]+path, "", nil)
	assert.NilError(f.t, err)
	defer response.Body.Close()
	assert.Equal(f.t, response.StatusCode, http.StatusOK)
	return []byte(readAll(f.t, response))
}

// checkKeys holds executions by key at the servers against what was told.
func (f *fleet) checkKeys(told map[string][]ended) {
	ran := make(map[string]int)
	for i := range f.servers {
		for key, n := range f.report(i).ByKey {
			ran[key] += n
		}
	}
	sums := make(map[string]int)
	for key, all := range told {
		assert.Check(f.t, ran[key] <= 1, "key %s ran %d times", key, ran[key])
		for _, e := range all {
			sums[e.outcome+" "+e.code]++
			assert.Check(f.t, e.outcome != "ran" || ran[key] == 1, "key %s: told ran, did not", key)
			assert.Check(f.t, e.code != "ok" || strings.HasSuffix(e.body, e.sent), "another's answer: %q", e.body)
		}
		last := all[len(all)-1]
		assert.Check(f.t, last.outcome != "not_run" || ran[key] == 0, "key %s: told not_run at last, ran", key)
	}
	f.t.Logf("%d keys ran, callers were told %v", len(ran), sums)
}

// TestStoreOutage takes the store away and restarts an instance meanwhile: it
// has the configuration from its peers before it is ready.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	f.ctl("patch", "-base", "1", "-patch", `[{"op":"replace","path":"/shift/cap","value":0.4}]`, "-wait", "10s")
	f.breakStore(model.PlatformFaults{StoreDown: true})
	stop := f.load("gent-a-1", "stock", 50)
	time.Sleep(6 * time.Second)
	f.signal("gent-a-2", syscall.SIGKILL)
	<-f.processes["gent-a-2"].done
	f.start("gent-a-2", f.processes["gent-a-2"].arguments...)
	took := f.waitReady("gent-a-2")
	var head model.Head
	assert.NilError(t, json.Unmarshal(f.get("http://"+f.address["gent-a-2"]+"/v1/configuration"), &head))
	assert.Equal(t, head.Version, int64(2))
	t.Logf("ready after %s without the store", took)
	assert.Equal(t, f.work("gent-a-2", "stock", "", "b").code, "ok")
	var ticket struct{ Ticket string }
	assert.NilError(t, json.Unmarshal(f.post("gent-a-1", "/v1/tickets"), &ticket))
	assert.Equal(t, f.work("namur-a-1", "order", ticket.Ticket, "b").code, "ok")
	own := f.work("gent-a-1", "order", "own", "b")
	assert.Equal(t, own.outcome+" "+own.code, "unknown store_unavailable")
	out, err := f.tryCtl("patch", "-base", "2", "-patch", `[{"op":"replace","path":"/shift/cap","value":0.2}]`)
	assert.Assert(t, err != nil, out)
	f.breakStore(model.PlatformFaults{})
	f.waitOwned()
	sums := f.checkAnswers(stop())
	assert.Equal(t, sums["ok"]+sums["not_run shift_cap"], sums["ok"], "%v", sums)
	f.checkPeaks()
}

// TestBrokenAnswers lets servers cut answers short, hang and fail: what a
// caller gets is whole or a problem.
func TestBrokenAnswers(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	stop := f.load("gent-a-1", "stock", 100)
	for i, mode := range []string{"truncate", "hang", "fail"} {
		f.breakServer(i, model.UpstreamFaults{Mode: mode, Lie: true})
	}
	time.Sleep(4 * time.Second)
	for i := range 3 {
		f.breakServer(i, model.UpstreamFaults{})
	}
	time.Sleep(3 * time.Second)
	var clean []ended
	for _, e := range stop() {
		if strings.TrimSpace(e.body) == "failed" {
			continue // The upstream's own answer with status 500.
		}
		clean = append(clean, e)
	}
	t.Logf("callers were told %v", f.checkAnswers(clean))
	f.checkPeaks()
}

// TestLeavingServer marks a server as draining under load.
func TestLeavingServer(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	stop, other := f.load("gent-a-1", "stock", 100), f.load("gent-a-2", "stock", 100)
	time.Sleep(time.Second)
	assert.Assert(t, f.report(0).Executions > 0, "the server is in use")
	f.breakServer(0, model.UpstreamFaults{Draining: true})
	marked := time.Now()
	time.Sleep(4 * time.Second)
	last := time.UnixMilli(f.report(0).LastArrivalMS)
	t.Logf("last work %s after the mark", last.Sub(marked))
	assert.Assert(t, last.Sub(marked) < 3*time.Second)
	sums := f.checkAnswers(append(stop(), other()...))
	assert.Equal(t, len(sums), 1, "%v", sums)
}

// TestBadInput sends what no caller should.
func TestBadInput(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	for name, x := range map[string]struct{ kind, key, body, code string }{
		"unknown kind": {"nothing", "", "", "unknown_kind"},
		"large body":   {"stock", "", strings.Repeat("x", 1_000_001), "body_too_large"},
		"no key":       {"order", "", "", "key_required"},
		"stale ticket": {"order", "ytk1.gent-a-9.xyz.mx8p29bh.1", "", "issuer_unreachable"},
	} {
		e := f.work("gent-a-1", x.kind, x.key, x.body)
		assert.Equal(t, e.code, x.code, name)
	}
	assert.Equal(t, f.work("gent-a-1", "order", "reused", "a").code, "ok")
	assert.Equal(t, f.work("namur-a-1", "order", "reused", "b").code, "key_reused")
	late := f.work("gent-a-1", "order", "reused", strings.Repeat("x", 1_000_001))
	assert.Equal(t, late.outcome+" "+late.code, "unknown body_too_large", "its key has run")
	assert.Equal(t, f.work("gent-a-1", "stock", "", "still fine").code, "ok")
}
