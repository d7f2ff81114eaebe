// Package collector reads bodies into memory. All bodies that a Collector reads at
// the same time share a limit on memory, so that many large or endless bodies cannot
// exhaust the process.
//
// Usage:
//
//	c := collector.Collector{Memory: semaphore.NewWeighted(32 << 20)}
//	body, err := c.Read(reader, contentLength)
//	defer c.Release(body)   // also after an error
package collector

import (
	"errors"
	"io"

	"golang.org/x/sync/semaphore"
)

// initialBytes is the initial buffer size for a body of unknown length.
const initialBytes = 16 << 10

// ErrMemory means that the bodies in progress have reached their limit on memory.
var ErrMemory = errors.New("collector: the bodies in progress exceed their memory limit")

// Collector reads bodies. Set the fields before the first Read.
type Collector struct {
	// Memory limits the bytes that all bodies together may hold.
	Memory *semaphore.Weighted
	// Free is the number of bytes of each body that do not count towards Memory. Small
	// bodies can then be read even if large ones have used it up.
	Free int64
}

// Read reads a complete body. length is its length in bytes, or negative if it is
// unknown. The memory grows in steps with what has been read. The caller must pass
// the returned slice to Release, also after an error.
func (c *Collector) Read(reader io.Reader, length int64) ([]byte, error) {
	size := length
	if length < 0 {
		size = initialBytes
	}
	if !c.acquire(0, size) {
		return nil, ErrMemory
	}
	body := make([]byte, 0, size)
	for {
		if len(body) == cap(body) && length >= 0 {
			return body, nil
		}
		if len(body) == cap(body) {
			if !c.acquire(int64(cap(body)), int64(2*cap(body))) {
				return body, ErrMemory
			}
			body = append(make([]byte, 0, 2*cap(body)), body...)
		}
		n, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, shortBody(body, length)
		}
		if err != nil {
			return body, err
		}
	}
}

func shortBody(body []byte, length int64) error {
	if int64(len(body)) < length {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// Release gives back the memory of a body that Read returned.
func (c *Collector) Release(body []byte) {
	if counted := c.counted(int64(cap(body))); counted > 0 {
		c.Memory.Release(counted)
	}
}

// acquire takes the memory for a body that grows from one size to another.
func (c *Collector) acquire(from, to int64) bool {
	counted := c.counted(to) - c.counted(from)
	return counted == 0 || c.Memory.TryAcquire(counted)
}

func (c *Collector) counted(size int64) int64 {
	return max(size-c.Free, 0)
}
