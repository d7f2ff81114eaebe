package receiver

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// deadlineRecorder is a recorder whose writes may have a deadline.
type deadlineRecorder struct{ *httptest.ResponseRecorder }

func (deadlineRecorder) SetWriteDeadline(time.Time) error { return nil }

// deliverSmall delivers one small whole response.
func deliverSmall(r *Receiver) {
	reply := traffic.Reply{
		Status: http.StatusOK, Header: http.Header{}, Body: make([]byte, 500), Length: 500,
		Rest: &countedRest{Reader: strings.NewReader("")},
	}
	w := deadlineRecorder{httptest.NewRecorder()}
	r.deliver(w, httptest.NewRequest(http.MethodGet, "/", http.NoBody), reply)
}

// A small whole response must not cost the buffer of one that is passed on while it is read.
func TestSmallResponseNeedsNoBuffer(t *testing.T) {
	var decided atomic.Int64
	r := newCallerReceiver(&decided)
	result := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			deliverSmall(r)
		}
	})
	assert.Assert(t, result.AllocedBytesPerOp() < ResponseBytes, "%d bytes", result.AllocedBytesPerOp())
}
