// Package splitter deals requests out in the proportions of weights, without
// random runs: after any number of requests each part is within one of its
// exact share.
//
// Usage:
//
//	s := splitter.Splitter{}
//	part := s.Next([]float64{90, 10})
package splitter

// Splitter keeps what each part is owed.
type Splitter struct {
	owed []float64
}

// Next returns the index of the part whose turn it is, or -1 without weights.
func (s *Splitter) Next(weights []float64) int {
	if len(s.owed) != len(weights) {
		s.owed = make([]float64, len(weights))
	}
	total := 0.0
	best := -1
	for i, w := range weights {
		total += w
		s.owed[i] += w
		if w > 0 && (best < 0 || s.owed[i] > s.owed[best]) {
			best = i
		}
	}
	if best >= 0 {
		s.owed[best] -= total
	}
	return best
}
