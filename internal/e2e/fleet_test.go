package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	// The programs' packages, so that the test cache knows what is tested.
	_ "github.com/yuccathread/yuccathread/internal/cli"
	_ "github.com/yuccathread/yuccathread/internal/ctl"
	"github.com/yuccathread/yuccathread/internal/model"
)

const (
	startLimit = 20 * time.Second
	slots      = 4
	work       = 30 * time.Millisecond
)

// programs is where TestMain builds the programs.
var programs string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "yuccathread")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	programs = dir
	build := exec.Command("go", "build", "-o", dir+"/", "../../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s\n", out)
		return 1
	}
	return m.Run()
}

// fleet is two failure domains: gent-a with two instances, namur-a with one.
type fleet struct {
	t         testing.TB
	dir       string
	platform  string
	processes map[string]*process
	address   map[string]string
	servers   []model.UpstreamStandIn
	listings  map[string]model.Listing
}

type process struct {
	*exec.Cmd

	arguments []string
	log       string
	done      chan error
}

// firstPort is below the ports that the system gives to connections.
const firstPort = 20_000

var lastPort atomic.Int32

// freeAddress returns an address that no one else uses: the loopback host is
// this test process's own, and each port is given once.
func freeAddress(t testing.TB) string {
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.1", 1+pid/256%250, pid%256)
	address := fmt.Sprintf("%s:%d", host, firstPort+lastPort.Add(1))
	l, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	return address
}

const configuration = `{
  "regions": [{"name": "flanders", "domains": ["gent-a"]}, {"name": "wallonia", "domains": ["namur-a"]}],
  "links": [
    {"from": "flanders", "to": "wallonia", "bytes_per_second": 500000000},
    {"from": "wallonia", "to": "flanders", "bytes_per_second": 500000000}
  ],
  "ranks": [{"name": "urgent", "floor": 0}, {"name": "normal", "floor": 0.3}],
  "services": [{"name": "stock", "slots_per_server": 4, "connections_per_server": 330}],
  "kinds": [
    {"name": "order", "service": "stock", "rank": "urgent", "once_only": true, "deadline": "3s",
     "regions": ["home", "flanders", "wallonia"], "queue_limit": 400, "max_body_bytes": 1000000, "answer_bytes": 2000},
    {"name": "stock", "service": "stock", "rank": "normal", "deadline": "2s",
     "regions": ["home", "flanders", "wallonia"], "queue_limit": 400, "max_body_bytes": 1000000, "answer_bytes": 8000}
  ],
  "look_up": {"ttl": "1s", "entries": 3},
  "shift": {"cap": 0.5, "period": "2s", "minimum_requests": 1},
  "retry": {"fraction": 0.1, "burst": 10, "attempts": 3},
  "recovery": {"slow_start": "1s", "failures": 5, "ejection": "2s", "max_ejected": 0.5},
  "once_only": {"ticket_lifetime": "10m", "key_lifetime": "24h", "claims_per_second": 1000}
}`

func startFleet(t testing.TB) *fleet {
	t.Helper()
	f := &fleet{
		t: t, dir: t.TempDir(), platform: freeAddress(t), processes: make(map[string]*process),
		address: make(map[string]string), listings: make(map[string]model.Listing),
	}
	t.Cleanup(f.end)
	f.startStandIns()
	f.startInstance("gent-a-1", "gent-a", "flanders")
	f.startInstance("gent-a-2", "gent-a", "flanders")
	f.startInstance("namur-a-1", "namur-a", "wallonia")
	f.publish()
	file := filepath.Join(f.dir, "configuration.jsonc")
	assert.NilError(t, os.WriteFile(file, []byte(configuration), 0o600))
	f.waitHealthy("gent-a-1")
	f.ctl("patch", "-base", "0", "-file", file)
	for name := range f.address {
		f.waitReady(name)
	}
	f.waitOwned()
	return f
}

func (f *fleet) startStandIns() {
	for _, domain := range []string{"gent-a", "namur-a"} {
		listing := model.Listing{}
		for i := range 3 {
			s := model.Server{
				Name: fmt.Sprintf("stock-%s-%d", domain, i+1), Service: "stock", Domain: domain, Address: freeAddress(f.t),
			}
			listing.Servers = append(listing.Servers, s)
			f.servers = append(f.servers, model.UpstreamStandIn{Server: s, Slots: slots, Work: model.Duration{Duration: work}})
		}
		f.listings[domain] = listing
	}
	f.writeJSON("stand-ins.jsonc", model.StandIns{Platform: &model.PlatformStandIn{Address: f.platform}, Servers: f.servers})
	f.start("stand-ins", "-stand-in", filepath.Join(f.dir, "stand-ins.jsonc"))
	f.eventually(startLimit, "the platform answers", func() bool { return f.get("http://"+f.platform+"/admin/calls") != nil })
}

func (f *fleet) startInstance(name, domain, region string) {
	s := map[string]any{
		"instance": name, "failure_domain": domain, "region": region, "address": freeAddress(f.t),
		"peer_address": freeAddress(f.t), "store_url": "http://" + f.platform, "list_url": "http://" + f.platform,
		"platform_timeout": "500ms", "stop_limit": "15s",
	}
	f.address[name] = s["address"].(string)
	f.writeJSON(name+".jsonc", s)
	l := f.listings[domain]
	l.Instances = append(l.Instances, model.Listed{Instance: model.Instance{
		Name: name, Domain: domain, Region: region, Address: f.address[name], PeerAddress: s["peer_address"].(string),
	}})
	f.listings[domain] = l
	f.start(name, "-settings", filepath.Join(f.dir, name+".jsonc"))
}

// publish puts the listings into the platform.
func (f *fleet) publish() {
	for domain, l := range f.listings {
		f.send(http.MethodPut, "http://"+f.platform+"/admin/listing?domain="+domain, l)
	}
}

func (f *fleet) writeJSON(name string, value any) {
	data, err := json.Marshal(value)
	assert.NilError(f.t, err)
	assert.NilError(f.t, os.WriteFile(filepath.Join(f.dir, name), data, 0o600))
}

func (f *fleet) start(name string, arguments ...string) {
	log := filepath.Join(f.dir, name+".log")
	file, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(f.t, err)
	p := &process{Cmd: exec.Command(filepath.Join(programs, "yuccathread"), arguments...), arguments: arguments, log: log, done: make(chan error, 1)}
	p.Stderr = file
	assert.NilError(f.t, p.Start())
	f.processes[name] = p
	go func() {
		p.done <- p.Wait()
		file.Close()
	}()
}

func (f *fleet) end() {
	for name, p := range f.processes {
		_ = p.Process.Signal(syscall.SIGCONT)
		_ = p.Process.Kill()
		if f.t.Failed() {
			data, _ := os.ReadFile(p.log)
			f.t.Logf("log of %s:\n%s", name, data[max(0, len(data)-3000):])
		}
	}
}

func (f *fleet) signal(name string, s syscall.Signal) {
	assert.NilError(f.t, f.processes[name].Process.Signal(s))
}

func (f *fleet) eventually(limit time.Duration, what string, ok func() bool) time.Duration {
	f.t.Helper()
	start := time.Now()
	for !ok() {
		assert.Assert(f.t, time.Since(start) < limit, "%s within %s", what, limit)
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}

func (f *fleet) get(url string) []byte {
	client := http.Client{Timeout: 2 * time.Second}
	response, err := client.Get(url)
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return nil
	}
	return body
}

func (f *fleet) send(method, url string, value any) {
	f.t.Helper()
	data, err := json.Marshal(value)
	assert.NilError(f.t, err)
	request, err := http.NewRequest(method, url, bytes.NewReader(data))
	assert.NilError(f.t, err)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(f.t, err)
	defer response.Body.Close()
	assert.Equal(f.t, response.StatusCode, http.StatusOK)
}

func (f *fleet) breakStore(faults model.PlatformFaults) {
	f.send(http.MethodPost, "http://"+f.platform+"/admin/faults", faults)
}

func (f *fleet) breakServer(i int, faults model.UpstreamFaults) {
	f.send(http.MethodPost, "http://"+f.servers[i].Address+"/admin/faults", faults)
}

func (f *fleet) report(i int) model.UpstreamReport {
	var r model.UpstreamReport
	assert.NilError(f.t, json.Unmarshal(f.get("http://"+f.servers[i].Address+"/admin/report"), &r))
	return r
}

func (f *fleet) waitHealthy(name string) {
	f.eventually(startLimit, name+" is up", func() bool { return f.get("http://"+f.address[name]+"/healthz") != nil })
}

func (f *fleet) waitReady(name string) time.Duration {
	return f.eventually(startLimit, name+" is ready", func() bool { return f.get("http://"+f.address[name]+"/readyz") != nil })
}

// waitOwned waits until every server has an owner that may use all its slots.
func (f *fleet) waitOwned() time.Duration {
	return f.eventually(startLimit, "every server is in use", func() bool {
		allowed := 0
		for _, address := range f.address {
			var s model.Status
			if json.Unmarshal(f.get("http://"+address+"/v1/status"), &s) != nil {
				continue
			}
			for _, x := range s.Servers {
				allowed += x.Allowed
			}
		}
		return allowed == slots*len(f.servers)
	})
}

// ctl runs yuccactl and returns what it printed.
func (f *fleet) ctl(arguments ...string) string {
	f.t.Helper()
	out, err := f.tryCtl(arguments...)
	assert.NilError(f.t, err, "%s", out)
	return out
}

func (f *fleet) tryCtl(arguments ...string) (string, error) {
	command := exec.Command(filepath.Join(programs, "yuccactl"), arguments...)
	command.Env = append(os.Environ(), "YUCCATHREAD_ENTRY="+f.address["gent-a-1"])
	out, err := command.CombinedOutput()
	return string(out), err
}

// ended is what a caller was told.
type ended struct {
	failed  error
	outcome string
	code    string
	body    string
	id      string
	sent    string
	at      time.Time
}

var client = &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 500}}

func (f *fleet) work(name, kind, key, body string) ended {
	request, err := http.NewRequest(http.MethodPost, "http://"+f.address[name]+"/v1/work/"+kind, io.NopCloser(strings.NewReader(body)))
	assert.NilError(f.t, err)
	request.ContentLength = int64(len(body))
	if key != "" {
		request.Header.Set(model.HeaderKey, key)
	}
	e := ended{sent: body, at: time.Now()}
	response, err := client.Do(request)
	if err != nil {
		e.failed = err
		return e
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	e.failed = err
	e.body = string(answer)
	e.outcome = response.Header.Get(model.HeaderOutcome)
	e.code = response.Header.Get(model.HeaderCode)
	e.id = response.Header.Get(model.HeaderRequestID)
	return e
}

// load sends one kind to an instance at a rate until stopped, and returns the ends.
func (f *fleet) load(name, kind string, rate float64) (stop func() []ended) {
	var mutex sync.Mutex
	var all []ended
	var group sync.WaitGroup
	done := make(chan struct{})
	group.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			group.Go(func() {
				e := f.work(name, kind, "", fmt.Sprintf("%s %d %s", name, i, strings.Repeat("x", 17*(i%300))))
				mutex.Lock()
				all = append(all, e)
				mutex.Unlock()
			})
		}
	})
	return func() []ended {
		close(done)
		group.Wait()
		return all
	}
}

// checkPeaks expects that no server ever had more work than slots.
func (f *fleet) checkPeaks() {
	f.t.Helper()
	for i, s := range f.servers {
		r := f.report(i)
		assert.Check(f.t, r.Peak <= slots, "%s had %d requests at once in %d slots, %d refused", s.Name, r.Peak, slots, r.Refused)
	}
}

// checkAnswers expects that each answer is whole and its request's own.
func (f *fleet) checkAnswers(all []ended) map[string]int {
	f.t.Helper()
	sums := make(map[string]int)
	for _, e := range all {
		switch {
		case e.failed != nil:
			sums["failed"]++
		case e.code == "ok":
			_, echoed, _ := strings.Cut(e.body, "\n")
			assert.Check(f.t, echoed == e.sent && strings.Contains(e.body, strings.Split(e.id, "/")[0]), "%q for %q", e.body, e.sent)
			sums["ok"]++
		default:
			sums[e.outcome+" "+e.code]++
		}
	}
	return sums
}

func readAll(t testing.TB, response *http.Response) string {
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return string(body)
}
