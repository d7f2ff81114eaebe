package receiver

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"golang.org/x/sync/semaphore"
	"gotest.tools/v3/assert"
)

func request(size int, length bool) *http.Request {
	r := httptest.NewRequest(http.MethodPut, "/", io.NopCloser(bytes.NewReader(make([]byte, size))))
	r.ContentLength = -1
	if length {
		r.ContentLength = int64(size)
	}
	return r
}

func TestBodies(t *testing.T) {
	for _, length := range []bool{true, false} {
		for _, size := range []int{0, 1, firstBodyBytes - 1, firstBodyBytes, firstBodyBytes + 1, 100_000} {
			r := &Receiver{Bodies: semaphore.NewWeighted(1 << 20)}
			body, err := r.readBody(httptest.NewRecorder(), request(size, length), 1<<20)
			assert.NilError(t, err)
			assert.Equal(t, len(body), size)
			r.Bodies.Release(int64(cap(body)))
			assert.Assert(t, r.Bodies.TryAcquire(1<<20), "bytes were not given back")
		}
	}
}

func TestLargeBodies(t *testing.T) {
	for _, length := range []bool{true, false} {
		r := &Receiver{Bodies: semaphore.NewWeighted(1 << 20)}
		body, err := r.readBody(httptest.NewRecorder(), request(50_001, length), 50_000)
		var large *http.MaxBytesError
		assert.Assert(t, errors.As(err, &large))
		r.Bodies.Release(int64(cap(body)))
		assert.Assert(t, r.Bodies.TryAcquire(1<<20))
	}
}

// Many small bodies without a length arrive at once: each takes what it needs,
// not what it might need.
func TestManyBodiesWithoutALength(t *testing.T) {
	r := &Receiver{Bodies: semaphore.NewWeighted(70 << 20)}
	var wait sync.WaitGroup
	var mutex sync.Mutex
	refused := 0
	held := make(chan struct{})
	for range 500 {
		wait.Go(func() {
			body, err := r.readBody(httptest.NewRecorder(), request(4000, false), 8<<20)
			if err != nil {
				mutex.Lock()
				refused++
				mutex.Unlock()
			}
			<-held
			r.Bodies.Release(int64(cap(body)))
		})
	}
	close(held)
	wait.Wait()
	assert.Equal(t, refused, 0)
}
