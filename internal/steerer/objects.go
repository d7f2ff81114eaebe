package steerer

import "time"

const (
	// maxRecentObjects approximates the number of objects that a server caches.
	maxRecentObjects = 32
	// recentObjectAge is how long a server caches an object without a request for it.
	recentObjectAge = 20 * time.Second
)

// recentObjects holds the objects whose requests this instance sent to a server
// lately, with the time of the last one.
type recentObjects struct {
	lastSent map[string]time.Time
}

func (m *recentObjects) add(object string, now time.Time) {
	if object == "" {
		return
	}
	if m.lastSent == nil {
		m.lastSent = make(map[string]time.Time)
	}
	m.lastSent[object] = now
	if len(m.lastSent) > maxRecentObjects {
		m.evictOldest()
	}
}

func (m *recentObjects) evictOldest() {
	oldest := ""
	for object, at := range m.lastSent {
		if oldest == "" || at.Before(m.lastSent[oldest]) {
			oldest = object
		}
	}
	delete(m.lastSent, oldest)
}

func (m *recentObjects) contains(object string, now time.Time) bool {
	at, ok := m.lastSent[object]
	return ok && now.Sub(at) < recentObjectAge
}
