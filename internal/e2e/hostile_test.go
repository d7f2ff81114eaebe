package e2e

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// memoryLimitKB is the 128 MB of a daemon's control and twice the bytes of the
// request bodies that may be under way, whose answers are as large here.
const memoryLimitKB = (128 + 2*48) * 1000

// raw opens a connection, sends text and returns what comes back until the
// other side closes or the time is over.
func raw(t *testing.T, address, text string, wait time.Duration) (string, error) {
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, text)
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(wait)))
	answer, err := io.ReadAll(conn)
	return string(answer), err
}

// residentKB returns the memory of a process.
func (f *fleet) residentKB(name string) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.processes[name].Process.Pid))
	assert.NilError(f.t, err)
	_, rest, _ := strings.Cut(string(data), "VmRSS:")
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	assert.NilError(f.t, err)
	return kb
}

// peerAddress returns the address for other instances.
func (f *fleet) peerAddress(name string) string {
	for _, l := range f.listings {
		for _, x := range l.Instances {
			if x.Name == name {
				return x.PeerAddress
			}
		}
	}
	return ""
}

// TestHostileConnections sends slow, oversized and malformed things to both
// addresses of an instance, which goes on and stays small.
func TestHostileConnections(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	public, peer := f.address["gent-a-1"], f.peerAddress("gent-a-1")
	answer, _ := raw(t, public, "GET /v1/status HTTP/1.1\r\nHost: x\r\nX: "+strings.Repeat("x", 100_000)+"\r\n\r\n", 2*time.Second)
	assert.Assert(t, strings.Contains(answer, "431"), "%.100s", answer)
	start := time.Now()
	_, err := raw(t, public, "POST /v1/work/stock HTTP/1.1\r\nHost: x\r\n", 15*time.Second)
	assert.NilError(t, err, "the instance closes a connection that does not finish its headers")
	assert.Assert(t, time.Since(start) < 10*time.Second)
	for _, garbage := range []string{
		"CONNECT /v1/peer/rpc HTTP/1.0\n\n" + strings.Repeat("\xff\x00\x7f", 5000),
		"CONNECT /v1/peer/rpc HTTP/1.0\n\n\xf8\x7f\xff\xff\xff\xff\xff\xff\xff" + strings.Repeat("x", 1000),
		"POST /v1/peer/work HTTP/1.1\r\nHost: x\r\nYuccathread-Request: {\"id\":5}\r\nContent-Length: 0\r\n\r\n",
		"POST /v1/peer/work HTTP/1.1\r\nHost: x\r\nYuccathread-Request: {\"id\":\"a\",\"kind\":\"stock\",\"hops\":-9}\r\nContent-Length: 0\r\n\r\n",
	} {
		_, _ = raw(t, peer, garbage, 300*time.Millisecond)
	}
	big := strings.Repeat("x", 900_000)
	stop := f.load("gent-a-1", "stock", 100)
	done := make(chan ended)
	for range 200 {
		go func() { done <- f.work("gent-a-1", "stock", "", big) }()
	}
	most := 0
	for range 200 {
		<-done
		most = max(most, f.residentKB("gent-a-1"))
	}
	stop()
	t.Logf("most memory held: %d MB", most/1000)
	assert.Assert(t, most < memoryLimitKB, "%d KB", most)
	assert.Equal(t, f.work("gent-a-1", "stock", "", "still here").code, "ok")
	f.waitReady("gent-a-1")
}
