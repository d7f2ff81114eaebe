// Package spooler writes log lines in the background: a line that finds the
// queue full is dropped and counted, so that logging never blocks.
//
// Usage:
//
//	s := &spooler.Spooler{Writer: os.Stdout, Lines: 4096}
//	logger := slog.New(slog.NewJSONHandler(s, nil))
//	...
//	s.Close()   // writes what is queued
package spooler

import (
	"bytes"
	"fmt"
	"io"
	"sync"
)

// Spooler queues lines. Set the exported fields before the first Write.
type Spooler struct {
	Writer io.Writer
	// Lines bounds the queue.
	Lines int

	mutex   sync.Mutex
	queued  [][]byte
	dropped int64
	total   int64
	wake    chan struct{}
	closed  bool
	done    chan struct{}
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
	if s.closed || len(s.queued) >= s.Lines {
		s.dropped++
		s.total++
		return len(line), nil
	}
	s.queued = append(s.queued, bytes.Clone(line))
	s.signal()
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (s *Spooler) Dropped() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.total
}

// Close writes what is queued and ends the spooler.
func (s *Spooler) Close() {
	s.mutex.Lock()
	if s.wake == nil || s.closed {
		s.mutex.Unlock()
		return
	}
	s.closed = true
	s.signal()
	s.mutex.Unlock()
	<-s.done
}

func (s *Spooler) signal() {
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

// flush writes the queue in one piece and reports whether the spooler is closed.
func (s *Spooler) flush() bool {
	s.mutex.Lock()
	lines, dropped, closed := s.queued, s.dropped, s.closed
	s.queued, s.dropped = nil, 0
	s.mutex.Unlock()
	if dropped > 0 {
		lines = append(lines, fmt.Appendf(nil, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"count\":%d}\n", dropped))
	}
	// There is nowhere to report a failure of the log itself.
	_, _ = s.Writer.Write(bytes.Join(lines, nil))
	return closed
}
