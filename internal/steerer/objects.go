package steerer

import "time"

const (
	// memorySize is about the number of objects that a server keeps at hand.
	memorySize = 32
	// memoryAge is how long an object stays at hand without being asked for.
	memoryAge = 20 * time.Second
)

// objectMemory holds the objects that this instance has sent to a server.
type objectMemory struct {
	used map[string]time.Time
}

func (m *objectMemory) add(object string, now time.Time) {
	if object == "" {
		return
	}
	if m.used == nil {
		m.used = make(map[string]time.Time)
	}
	m.used[object] = now
	if len(m.used) > memorySize {
		m.dropOldest()
	}
}

func (m *objectMemory) dropOldest() {
	oldest := ""
	for object, at := range m.used {
		if oldest == "" || at.Before(m.used[oldest]) {
			oldest = object
		}
	}
	delete(m.used, oldest)
}

func (m *objectMemory) knows(object string, now time.Time) bool {
	at, ok := m.used[object]
	return ok && now.Sub(at) < memoryAge
}

// times are the durations of a route's work at a server with free slots.
type times struct {
	// known and unknown are the means where the server has the object at hand
	// and where it has not.
	known   time.Duration
	unknown time.Duration
	samples int
}

const (
	// minSamples is the number of samples from which on the times are relied on.
	minSamples = 8
	// timesGain is the weight of one sample, as a divisor.
	timesGain = 16
	// knownPart is the expected time of known objects, as a divisor of the
	// target latency, until there are samples.
	knownPart = 2
)

func (t *times) start(target time.Duration) {
	t.known = target / knownPart
	t.unknown = target
}

func (t *times) observe(known bool, sample time.Duration) {
	mean := &t.unknown
	if known {
		mean = &t.known
	}
	*mean += (sample - *mean) / timesGain
	t.samples++
}

// learned reports whether the times come from work that was seen.
func (t *times) learned() bool {
	return t.samples >= minSamples
}

func (t *times) expect(known bool) time.Duration {
	if known {
		return min(t.known, t.unknown)
	}
	return t.unknown
}
