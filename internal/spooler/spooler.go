// Package spooler writes log lines in the background. If the queue is full, a
// line is dropped and counted, so that logging never blocks.
//
// Usage:
//
//	s := &spooler.Spooler{Writer: os.Stdout, Lines: 4096}
//	logger := slog.New(slog.NewJSONHandler(s, nil))
//	...
//	s.Close()   // writes the queued lines
package spooler

import (
	"bytes"
	"fmt"
	"io"
	"sync"
)

// Spooler is an io.Writer that queues lines. Set the exported fields before the first Write.
type Spooler struct {
	Writer io.Writer
	// Lines is the maximum number of queued lines.
	Lines int

	mutex sync.Mutex
	queue [][]byte
	// dropped counts the lines dropped since the last flush.
	dropped      int64
	totalDropped int64
	wake         chan struct{}
	closed       bool
	done         chan struct{}
}

// Write queues a line. It never fails and never blocks.
func (s *Spooler) Write(line []byte) (int, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.wake == nil {
		s.wake = make(chan struct{}, 1)
		s.done = make(chan struct{})
		go s.run()
	}
	if s.closed || len(s.queue) >= s.Lines {
		s.dropped++
		s.totalDropped++
		return len(line), nil
	}
	s.queue = append(s.queue, bytes.Clone(line))
	s.wakeWriter()
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (s *Spooler) Dropped() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.totalDropped
}

// Close writes the queued lines and stops the spooler.
func (s *Spooler) Close() {
	s.mutex.Lock()
	if s.wake == nil || s.closed {
		s.mutex.Unlock()
		return
	}
	s.closed = true
	s.wakeWriter()
	s.mutex.Unlock()
	<-s.done
}

func (s *Spooler) wakeWriter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Spooler) run() {
	defer close(s.done)
	for range s.wake {
		if s.flush() {
			return
		}
	}
}

// flush writes all queued lines at once and reports whether the spooler is closed.
func (s *Spooler) flush() bool {
	s.mutex.Lock()
	lines, dropped, closed := s.queue, s.dropped, s.closed
	s.queue, s.dropped = nil, 0
	s.mutex.Unlock()
	if dropped > 0 {
		lines = append(lines, fmt.Appendf(nil, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"count\":%d}\n", dropped))
	}
	// There is nowhere to report a failure of the log itself.
	_, _ = s.Writer.Write(bytes.Join(lines, nil))
	return closed
}
