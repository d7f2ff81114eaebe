package forwarder

import (
	"fmt"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// Guards against servers that break off what is passed on and are taken for sound: the end of a
// partial response is reported once, with its reason. One that is given up is not.
func TestEndOfAPartialResponseIsReported(t *testing.T) {
	const size = 60_000
	for _, c := range []struct {
		name            string
		cut, read, fail bool
	}{
		{"whole", false, true, false},
		{"cut", true, true, true},
		{"given up by the caller", false, false, false},
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
			close(more)
			if c.read {
				_, _ = io.Copy(io.Discard, o.Reply.Rest)
				_, _ = o.Reply.Rest.Read(make([]byte, 1))
				assert.Equal(t, len(ends), 1)
				assert.Equal(t, ends[0] != nil, c.fail, "%v", ends[0])
			}
			assert.NilError(t, o.Reply.Rest.Close())
			assert.Assert(t, c.read || len(ends) == 0)
		})
	}
}
