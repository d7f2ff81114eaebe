package spooler

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockedWriter blocks writes until release is closed.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(p)
}

func TestFullQueueDropsAndCounts(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	s := &Spooler{Writer: w, Lines: 10}
	started := time.Now()
	for range 100 {
		_, err := s.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(started) < time.Second, "Write blocked")
	assert.Assert(t, s.Dropped() >= 80)
	close(w.release)
	s.Close()
	assert.Assert(t, strings.Contains(w.String(), "log lines dropped"))
	_, err := s.Write([]byte("late\n"))
	assert.NilError(t, err)
}

func TestCloseWritesQueuedLines(t *testing.T) {
	var b bytes.Buffer
	s := &Spooler{Writer: &b, Lines: 10}
	for range 5 {
		_, _ = s.Write([]byte("line\n"))
	}
	s.Close()
	assert.Equal(t, strings.Count(b.String(), "line\n"), 5)
}
