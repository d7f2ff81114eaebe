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

// memoryLimitKB is 128 MB for an instance without bodies, plus twice the 48 MB of
// request bodies that may be in flight: in this test the answers are as large as
// the requests.
const memoryLimitKB = (128 + 2*48) * 1000

// sendRaw opens a connection, sends text and returns everything received until the
// other side closes the connection or the wait time ends.
func sendRaw(t *testing.T, address, text string, wait time.Duration) (string, error) {
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, text)
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(wait)))
	answer, err := io.ReadAll(conn)
	return string(answer), err
}

// residentKB returns the resident memory of a process.
func (f *fleet) residentKB(name string) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.processes[name].Process.Pid))
	assert.NilError(f.t, err)
	_, rest, _ := strings.Cut(string(data), "VmRSS:")
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	assert.NilError(f.t, err)
	return kb
}

// peerAddressOf returns the address of an instance for other instances.
func (f *fleet) peerAddressOf(name string) string {
	for _, listing := range f.listings {
		for _, listed := range listing.Instances {
			if listed.Name == name {
				return listed.PeerAddress
			}
		}
	}
	return ""
}

// TestHostileConnections sends incomplete, oversized and malformed requests to the
// public and the peer address of an instance. The instance must keep working and
// stay within its memory limit.
func TestHostileConnections(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	public, peer := f.addresses["gent-a-1"], f.peerAddressOf("gent-a-1")
	answer, _ := sendRaw(t, public, "GET /v1/status HTTP/1.1\r\nHost: x\r\nX: "+strings.Repeat("x", 100_000)+"\r\n\r\n", 2*time.Second)
	assert.Assert(t, strings.Contains(answer, "431"), "%.100s", answer)
	start := time.Now()
	_, err := sendRaw(t, public, "POST /v1/work/stock HTTP/1.1\r\nHost: x\r\n", 15*time.Second)
	assert.NilError(t, err, "the instance did not close a connection with incomplete headers")
	assert.Assert(t, time.Since(start) < 10*time.Second)
	for _, malformed := range []string{
		"CONNECT /v1/peer/rpc HTTP/1.0\n\n" + strings.Repeat("\xff\x00\x7f", 5000),
		"CONNECT /v1/peer/rpc HTTP/1.0\n\n\xf8\x7f\xff\xff\xff\xff\xff\xff\xff" + strings.Repeat("x", 1000),
		"POST /v1/peer/work HTTP/1.1\r\nHost: x\r\nYuccathread-Request: {\"id\":5}\r\nContent-Length: 0\r\n\r\n",
		"POST /v1/peer/work HTTP/1.1\r\nHost: x\r\nYuccathread-Request: {\"id\":\"a\",\"kind\":\"stock\",\"hops\":-9}\r\nContent-Length: 0\r\n\r\n",
	} {
		_, _ = sendRaw(t, peer, malformed, 300*time.Millisecond)
	}
	largeBody := strings.Repeat("x", 900_000)
	stop := f.startLoad("gent-a-1", "stock", 100)
	done := make(chan callResult)
	for range 200 {
		go func() { done <- f.sendWork("gent-a-1", "stock", "", largeBody) }()
	}
	peakKB := 0
	for range 200 {
		<-done
		peakKB = max(peakKB, f.residentKB("gent-a-1"))
	}
	stop()
	t.Logf("peak resident memory: %d MB", peakKB/1000)
	assert.Assert(t, peakKB < memoryLimitKB, "%d KB", peakKB)
	assert.Equal(t, f.sendWork("gent-a-1", "stock", "", "still here").code, "ok")
	f.waitReady("gent-a-1")
}
