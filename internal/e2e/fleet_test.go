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
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	// Imported so that a change of the programs invalidates cached test results.
	_ "github.com/yuccathread/yuccathread/internal/cli"
	_ "github.com/yuccathread/yuccathread/internal/ctl"
	"github.com/yuccathread/yuccathread/internal/model"
)

const (
	startTimeout   = 20 * time.Second
	slotsPerServer = 4
	workTime       = 30 * time.Millisecond
)

// binaryDir is the directory into which TestMain builds the programs.
var binaryDir string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "yuccathread")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	binaryDir = dir
	build := exec.Command("go", "build", "-o", dir+"/", "../../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s\n", out)
		return 1
	}
	return m.Run()
}

// fleet is a running deployment with two failure domains: gent-a has two
// instances, namur-a has one, and each has three servers.
type fleet struct {
	t         testing.TB
	dir       string
	platform  string
	processes map[string]*process
	addresses map[string]string
	servers   []model.UpstreamStandIn
	listings  map[string]model.Listing
}

type process struct {
	*exec.Cmd

	arguments []string
	logFile   string
	done      chan error
}

// firstPort is below the system's range of ephemeral ports.
const firstPort = 20_000

var lastPort atomic.Int32

// freeAddress returns an unused address: the loopback host depends on the process
// ID of this test, and each port is returned only once.
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
		addresses: make(map[string]string), listings: make(map[string]model.Listing),
	}
	t.Cleanup(f.stopAll)
	f.startStandIns()
	f.startInstance("gent-a-1", "gent-a", "flanders")
	f.startInstance("gent-a-2", "gent-a", "flanders")
	f.startInstance("namur-a-1", "namur-a", "wallonia")
	f.publishListings()
	file := filepath.Join(f.dir, "configuration.jsonc")
	assert.NilError(t, os.WriteFile(file, []byte(configuration), 0o600))
	f.waitHealthy("gent-a-1")
	f.runCtl("patch", "-base", "0", "-file", file)
	for name := range f.addresses {
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
			f.servers = append(f.servers, model.UpstreamStandIn{Server: s, Slots: slotsPerServer, ServiceTime: model.Duration{Duration: workTime}})
		}
		f.listings[domain] = listing
	}
	f.writeJSON("stand-ins.jsonc", model.StandIns{Platform: &model.PlatformStandIn{Address: f.platform}, Servers: f.servers})
	f.startProcess("stand-ins", "-stand-in", filepath.Join(f.dir, "stand-ins.jsonc"))
	f.eventually(startTimeout, "the platform responds", func() bool { return f.get("http://"+f.platform+"/admin/calls") != nil })
}

func (f *fleet) startInstance(name, domain, region string) {
	settings := map[string]any{
		"instance": name, "failure_domain": domain, "region": region, "address": freeAddress(f.t),
		"peer_address": freeAddress(f.t), "store_url": "http://" + f.platform, "list_url": "http://" + f.platform,
		"platform_timeout": "500ms", "stop_limit": "15s",
	}
	f.addresses[name] = settings["address"].(string)
	f.writeJSON(name+".jsonc", settings)
	listing := f.listings[domain]
	listing.Instances = append(listing.Instances, model.Listed{Instance: model.Instance{
		Name: name, Domain: domain, Region: region, Address: f.addresses[name], PeerAddress: settings["peer_address"].(string),
	}})
	f.listings[domain] = listing
	f.startProcess(name, "-settings", filepath.Join(f.dir, name+".jsonc"))
}

// publishListings writes the listings to the platform stand-in.
func (f *fleet) publishListings() {
	for domain, l := range f.listings {
		f.sendJSON(http.MethodPut, "http://"+f.platform+"/admin/listing?domain="+domain, l)
	}
}

func (f *fleet) writeJSON(name string, value any) {
	data, err := json.Marshal(value)
	assert.NilError(f.t, err)
	assert.NilError(f.t, os.WriteFile(filepath.Join(f.dir, name), data, 0o600))
}

func (f *fleet) startProcess(name string, arguments ...string) {
	logFile := filepath.Join(f.dir, name+".log")
	output, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(f.t, err)
	p := &process{Cmd: exec.Command(filepath.Join(binaryDir, "yuccathread"), arguments...), arguments: arguments, logFile: logFile, done: make(chan error, 1)}
	p.Stderr = output
	assert.NilError(f.t, p.Start())
	f.processes[name] = p
	go func() {
		p.done <- p.Wait()
		output.Close()
	}()
}

func (f *fleet) stopAll() {
	for name, p := range f.processes {
		_ = p.Process.Signal(syscall.SIGCONT)
		_ = p.Process.Kill()
		if f.t.Failed() {
			data, _ := os.ReadFile(p.logFile)
			f.t.Logf("log of %s:\n%s", name, data[max(0, len(data)-3000):])
		}
	}
}

func (f *fleet) signal(name string, s syscall.Signal) {
	assert.NilError(f.t, f.processes[name].Process.Signal(s))
}

func (f *fleet) eventually(timeout time.Duration, description string, condition func() bool) time.Duration {
	f.t.Helper()
	start := time.Now()
	for !condition() {
		assert.Assert(f.t, time.Since(start) < timeout, "%s within %s", description, timeout)
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

func (f *fleet) sendJSON(method, url string, value any) {
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

func (f *fleet) setPlatformFaults(faults model.PlatformFaults) {
	f.sendJSON(http.MethodPost, "http://"+f.platform+"/admin/faults", faults)
}

func (f *fleet) setServerFaults(i int, faults model.UpstreamFaults) {
	f.sendJSON(http.MethodPost, "http://"+f.servers[i].Address+"/admin/faults", faults)
}

func (f *fleet) serverReport(i int) model.UpstreamReport {
	var r model.UpstreamReport
	assert.NilError(f.t, json.Unmarshal(f.get("http://"+f.servers[i].Address+"/admin/report"), &r))
	return r
}

func (f *fleet) waitHealthy(name string) {
	f.eventually(startTimeout, name+" is up", func() bool { return f.get("http://"+f.addresses[name]+"/healthz") != nil })
}

func (f *fleet) waitReady(name string) time.Duration {
	return f.eventually(startTimeout, name+" is ready", func() bool { return f.get("http://"+f.addresses[name]+"/readyz") != nil })
}

// waitOwned waits until every server has an owner that may use all its slots.
func (f *fleet) waitOwned() time.Duration {
	return f.eventually(startTimeout, "every server is in use", func() bool {
		allowed := 0
		for _, address := range f.addresses {
			var s model.Status
			if json.Unmarshal(f.get("http://"+address+"/v1/status"), &s) != nil {
				continue
			}
			for _, server := range s.Servers {
				allowed += server.Allowed
			}
		}
		return allowed == slotsPerServer*len(f.servers)
	})
}

// runCtl runs yuccactl, fails the test on an error and returns the output.
func (f *fleet) runCtl(arguments ...string) string {
	f.t.Helper()
	out, err := f.tryRunCtl(arguments...)
	assert.NilError(f.t, err, "%s", out)
	return out
}

func (f *fleet) tryRunCtl(arguments ...string) (string, error) {
	command := exec.Command(filepath.Join(binaryDir, "yuccactl"), arguments...)
	command.Env = append(os.Environ(), "YUCCATHREAD_ENTRY="+f.addresses["gent-a-1"])
	out, err := command.CombinedOutput()
	return string(out), err
}
