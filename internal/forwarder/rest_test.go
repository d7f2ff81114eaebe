package forwarder

import (
	"fmt"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// Guards against servers that break off what is passed on and are taken for sound: the end of a
// partial response is reported once, with its reason. One that is given up is not.
func TestEndOfAPartialResponseIsReported(t *testing.T) {
	const size = 60_000
	for _, c := range []struct {
		name      string
		cut, read bool
		// wait is the time before the server goes on.
		wait time.Duration
		ends int
	}{
		{"whole", false, true, 0, 1},
		{"cut", true, true, 0, 1},
		{"given up by the caller", false, false, 0, 0},
		{"whole after the deadline", false, true, 600 * time.Millisecond, 1},
		{"cut after the deadline", true, true, 600 * time.Millisecond, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			more := make(chan struct{})
			s := startDownloads(t, fmt.Sprint("Content-Length: ", size), size, more, c.cut)
			f := newForwarder(t)
			f.Bodies.Accountant.Charge(traffic.Loan{Holder: traffic.ConnectionMemory, Bytes: f.Bodies.Accountant.Limit})
			f.Bodies.Free = 16 << 10
			var ends []error
			f.RestEnded = func(u traffic.Upstream, err error) {
				assert.Equal(t, u.ID, "s1")
				ends = append(ends, err)
			}
			o := send(f, s, "1", true)
			assert.Assert(t, o.Reply.Partial)
			time.Sleep(c.wait)
			close(more)
			if c.read {
				_, _ = io.Copy(io.Discard, o.Reply.Rest)
				_, _ = o.Reply.Rest.Read(make([]byte, 1))
			}
			assert.NilError(t, o.Reply.Rest.Close())
			assert.Equal(t, len(ends), c.ends)
			for _, err := range ends {
				assert.Equal(t, err != nil, c.cut, "%v", err)
			}
		})
	}
}
