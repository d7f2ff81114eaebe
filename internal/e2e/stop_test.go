package e2e

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/model"
)

// Guards against a process that does not end on a signal, or not with status 0, since it
// lacks a configuration, the store, the list or servers. Its log says what it waited for.
func TestStopFromEmptyStates(t *testing.T) {
	const name = "gent-a-1"
	terminate := []syscall.Signal{syscall.SIGTERM}
	up := func(f *fleet) { f.waitHealthy(name) }
	withPlatform := func(f *fleet) {
		f.startStandIns()
		f.startInstance(name, "gent-a", "flanders")
		up(f)
	}
	for _, c := range []struct {
		title   string
		start   func(f *fleet)
		signals []syscall.Signal
	}{
		{"no configuration", withPlatform, terminate},
		{"SIGINT", withPlatform, []syscall.Signal{syscall.SIGINT}},
		{"two signals", withPlatform, []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGINT}},
		{"no store", func(f *fleet) {
			f.startInstance(name, "gent-a", "flanders")
			up(f)
		}, terminate},
		{"store and list gone", func(f *fleet) {
			withPlatform(f)
			f.signal("stand-ins", syscall.SIGKILL)
			<-f.processes["stand-ins"].done
		}, terminate},
		{"no servers", func(f *fleet) {
			f.startStandIns()
			f.listings = map[string]model.Listing{}
			f.startInstance(name, "gent-a", "flanders")
			f.publishListings()
			up(f)
		}, terminate},
		{"right after the first configuration", func(f *fleet) {
			withPlatform(f)
			f.publishListings()
			file := filepath.Join(f.dir, "configuration.jsonc")
			assert.NilError(f.t, os.WriteFile(file, []byte(configuration), 0o600))
			f.runCtl("patch", "-base", "0", "-file", file)
		}, terminate},
	} {
		t.Run(c.title, func(t *testing.T) {
			t.Parallel()
			f := &fleet{
				t: t, dir: t.TempDir(), platform: freeAddress(t), processes: make(map[string]*process),
				addresses: make(map[string]string), listings: make(map[string]model.Listing),
			}
			t.Cleanup(f.stopAll)
			c.start(f)
			for _, s := range c.signals {
				f.signal(name, s)
				time.Sleep(50 * time.Millisecond)
			}
			p := f.processes[name]
			select {
			case err := <-p.done:
				assert.NilError(t, err)
			case <-time.After(15 * time.Second):
				t.Fatal("the process has not ended")
			}
			log, err := os.ReadFile(p.logFile)
			assert.NilError(t, err)
			assert.Equal(t, strings.Count(string(log), `"waited_for":"look_ups"`), 1, "%s", log)
		})
	}
}
