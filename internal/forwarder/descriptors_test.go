package forwarder

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against servers that are ejected because this instance has no descriptors left.
func TestWantOfDescriptorsIsNoFailureOfAServer(t *testing.T) {
	for code, own := range map[syscall.Errno]bool{syscall.EMFILE: true, syscall.ENFILE: true, syscall.ECONNREFUSED: false} {
		err := fmt.Errorf("forwarder: %w", &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", code)})
		assert.Equal(t, outOfDescriptors(err), own, "%v", code)
	}
}
