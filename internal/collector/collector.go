// Package collector reads bodies into memory. All bodies that a Collector reads borrow their
// memory from an accountant, so that many large or endless bodies cannot exhaust the process.
//
// Usage:
//
//	c := collector.Collector{Accountant: a}
//	loan := traffic.Loan{Holder: traffic.BodyMemory, Rank: 1}
//	body, err := c.Read(reader, contentLength, loan)
//	defer c.Release(body, loan)   // also after an error
package collector

import (
	"errors"
	"io"

	"github.com/yuccathread/yuccathread/internal/accountant"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

// initialBytes is the initial buffer size for a body of unknown length.
const initialBytes = 16 << 10

// ErrMemory means that the memory for the rest of a body can't be borrowed.
var ErrMemory = errors.New("collector: no memory is left for the body")

// Collector reads bodies. Set the fields before the first Read.
type Collector struct {
	Accountant *accountant.Accountant
	// Free is the number of bytes of each body that are not borrowed, since something else
	// has borrowed them. Small bodies can then be read even if nothing is left.
	Free int64
}

// Read reads a complete body. length is its length in bytes, or negative if it is
// unknown, and loan tells for whom it is. The memory grows in steps with what has been read.
// After ErrMemory, what follows the returned slice can still be read from reader. The caller
// must pass the slice to Release, also after an error.
func (c *Collector) Read(reader io.Reader, length int64, loan traffic.Loan) ([]byte, error) {
	size := length
	if length < 0 {
		size = initialBytes
	}
	if !c.borrow(size, loan) {
		return nil, ErrMemory
	}
	body := make([]byte, 0, size)
	for {
		if len(body) == cap(body) && length >= 0 {
			return body, nil
		}
		if len(body) == cap(body) {
			larger, ok := c.grow(body, loan)
			if !ok {
				return body, ErrMemory
			}
			body = larger
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

// grow copies a body into twice the memory. Until then it needs both.
func (c *Collector) grow(body []byte, loan traffic.Loan) ([]byte, bool) {
	size := 2 * cap(body)
	if !c.borrow(int64(size), loan) {
		return nil, false
	}
	larger := append(make([]byte, 0, size), body...)
	c.Release(body, loan)
	return larger, true
}

// Release gives back the memory of a body that Read returned.
func (c *Collector) Release(body []byte, loan traffic.Loan) {
	loan.Bytes = c.borrowed(int64(cap(body)))
	if loan.Bytes > 0 {
		c.Accountant.Return(loan)
	}
}

// borrow takes the memory for a body of a size.
func (c *Collector) borrow(size int64, loan traffic.Loan) bool {
	loan.Bytes = c.borrowed(size)
	return loan.Bytes == 0 || c.Accountant.Borrow(loan)
}

func (c *Collector) borrowed(size int64) int64 {
	return max(size-c.Free, 0)
}
