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

// workTimes estimates how long a route's requests take at a server with free slots.
type workTimes struct {
	// cached and uncached are the mean times with and without the object in the
	// server's cache.
	cached   time.Duration
	uncached time.Duration
	samples  int
}

const (
	// minSamples is the number of samples that make the times reliable.
	minSamples = 8
	// meanDivisor is the inverse of one sample's weight in the mean.
	meanDivisor = 16
	// Until there are samples, the mean time of cached objects is the target latency
	// divided by cachedTargetDivisor.
	cachedTargetDivisor = 2
)

func (t *workTimes) initialize(target time.Duration) {
	t.cached = target / cachedTargetDivisor
	t.uncached = target
}

func (t *workTimes) observe(cached bool, sample time.Duration) {
	mean := &t.uncached
	if cached {
		mean = &t.cached
	}
	*mean += (sample - *mean) / meanDivisor
	t.samples++
}

// reliable reports whether the times are based on enough samples.
func (t *workTimes) reliable() bool {
	return t.samples >= minSamples
}

func (t *workTimes) mean(cached bool) time.Duration {
	if cached {
		return min(t.cached, t.uncached)
	}
	return t.uncached
}
