package forwarder

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// Guards against servers that are ejected because this instance has no descriptors left.
func TestWantOfDescriptorsIsNoFailureOfAServer(t *testing.T) {
	for code, own := range map[syscall.Errno]bool{syscall.EMFILE: true, syscall.ENFILE: true, syscall.ECONNREFUSED: false} {
		err := fmt.Errorf("forwarder: %w", &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", code)})
		assert.Equal(t, outOfDescriptors(err), own, "%v", code)
	}
}

// Guards against reservations that are kept for ever: each ends with its connection, also with
// one that could not be opened. Without a reservation a request is not sent, which says nothing
// of its server.
func TestReservationsEnd(t *testing.T) {
	s := startServer(t, echo)
	f := newForwarder(t)
	var reserved atomic.Int64
	room := true
	f.Reserve = func() bool {
		if room {
			reserved.Add(1)
		}
		return room
	}
	f.Release = func() { reserved.Add(-1) }
	assert.Equal(t, send(f, s, "1", true).Fate, traffic.Ran)
	assert.Equal(t, reserved.Load(), int64(1))
	f.Close()
	for reserved.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	listener.Close()
	assert.Assert(t, send(f, &fakeServer{address: listener.Addr().String()}, "2", true).Unreachable)
	assert.Equal(t, reserved.Load(), int64(0))
	room = false
	o := send(f, s, "3", false)
	assert.Assert(t, o.Fate == traffic.NotRun && !o.Unreachable, "%+v", o)
	assert.Equal(t, reserved.Load(), int64(0))
}
