package receiver

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/accountant"
	"github.com/yuccathread/yuccathread/internal/collector"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

var bodyLoan = traffic.Loan{Holder: traffic.BodyMemory}

func newRequest(size int, withLength bool) *http.Request {
	r := httptest.NewRequest(http.MethodPut, "/", io.NopCloser(bytes.NewReader(make([]byte, size))))
	r.ContentLength = -1
	if withLength {
		r.ContentLength = int64(size)
	}
	return r
}

func TestBodies(t *testing.T) {
	const initialBodyBytes = 16 << 10
	for _, withLength := range []bool{true, false} {
		for _, size := range []int{0, 1, initialBodyBytes - 1, initialBodyBytes, initialBodyBytes + 1, 100_000} {
			r := &Receiver{Bodies: &collector.Collector{Accountant: &accountant.Accountant{Limit: 1 << 20}}}
			body, err := r.readBody(httptest.NewRecorder(), newRequest(size, withLength), 1<<20, bodyLoan)
			assert.NilError(t, err)
			assert.Equal(t, len(body), size)
			r.Bodies.Release(body, bodyLoan)
			assert.Equal(t, r.Bodies.Accountant.Lent(), int64(0), "the bytes were not released")
		}
	}
}

func TestLargeBodies(t *testing.T) {
	for _, withLength := range []bool{true, false} {
		r := &Receiver{Bodies: &collector.Collector{Accountant: &accountant.Accountant{Limit: 1 << 20}}}
		body, err := r.readBody(httptest.NewRecorder(), newRequest(50_001, withLength), 50_000, bodyLoan)
		var tooLarge *http.MaxBytesError
		assert.Assert(t, errors.As(err, &tooLarge))
		r.Bodies.Release(body, bodyLoan)
		assert.Equal(t, r.Bodies.Accountant.Lent(), int64(0))
	}
}

// Many small bodies without a Content-Length arrive at once: each must acquire
// only the bytes that it uses, not the size limit of a body.
func TestManyBodiesWithoutALength(t *testing.T) {
	r := &Receiver{Bodies: &collector.Collector{Accountant: &accountant.Accountant{Limit: 70 << 20}}}
	var callers sync.WaitGroup
	var mutex sync.Mutex
	refused := 0
	release := make(chan struct{})
	for range 500 {
		callers.Go(func() {
			body, err := r.readBody(httptest.NewRecorder(), newRequest(4000, false), 8<<20, bodyLoan)
			if err != nil {
				mutex.Lock()
				refused++
				mutex.Unlock()
			}
			<-release
			r.Bodies.Release(body, bodyLoan)
		})
	}
	close(release)
	callers.Wait()
	assert.Equal(t, refused, 0)
}
