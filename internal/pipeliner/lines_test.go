package pipeliner

import (
	"log"
	"sync"
)

// lines counts the lines of a log.
type lines struct {
	mutex sync.Mutex
	n     int
}

func (l *lines) Write(p []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.n++
	return len(p), nil
}

func (l *lines) count() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.n
}

func (l *lines) logger() *log.Logger { return log.New(l, "", 0) }
