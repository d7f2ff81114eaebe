// Package splitter distributes requests among parts in proportion to their
// weights by smooth weighted round-robin. Unlike with a random choice there are
// no long runs: after any number of requests, each part's count differs from its
// exact share by at most the number of parts.
//
// Usage:
//
//	s := splitter.Splitter{}
//	part := s.Next([]float64{90, 10})
package splitter

// Splitter holds the current credit of each part.
type Splitter struct {
	credits []float64
}

// Next returns the index of the part that gets the next request, or -1 if no
// weight is above zero. The credits start over when the number of weights
// changes.
func (s *Splitter) Next(weights []float64) int {
	if len(s.credits) != len(weights) {
		s.credits = make([]float64, len(weights))
	}
	total := 0.0
	best := -1
	for i, w := range weights {
		total += w
		s.credits[i] += w
		if w > 0 && (best < 0 || s.credits[i] > s.credits[best]) {
			best = i
		}
	}
	if best >= 0 {
		s.credits[best] -= total
	}
	return best
}
