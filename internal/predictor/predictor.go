// Package predictor learns how long a kind of work takes, as a distribution: its mean, and
// how much is still to be expected of work that has run for some time already.
//
// Work that has run for long may well run for longer: where a few requests take many times
// as long as the others, one that has outlived the others is most likely one of the few. A
// mean alone says nothing of that, and calls such a request nearly done.
//
// Samples are kept in buckets that grow exponentially, with weights that fade as new ones
// arrive, so that memory and time per sample are constant. A sample that was cut off is
// known to be longer than it ran. Its weight is spread over the longer samples in their
// proportions (Efron's redistribution to the right); without any, it is taken to have had as
// long again to run.
//
// Usage:
//
//	p := predictor.Predictor{Initial: 200 * time.Millisecond}
//	p.Observe(took)
//	p.ObserveCut(ran)
//	if p.Remaining(ran) > 2*p.Mean() {
//		...
//	}
package predictor

import (
	"math"
	"time"
)

const (
	// The buckets reach from shortest to about a minute.
	shortest           = time.Millisecond
	bucketsPerDoubling = 4
	bucketCount        = 16 * bucketsPerDoubling
	// growth is by how much each sample weighs more than the one before it: the weight of
	// those before is nearly that of 256 samples.
	growth = 1 + 1.0/256
	// maxWeight is the weight of a sample at which all weights are scaled down.
	maxWeight = 1 << 20
	// minWeight is the part of the weight of a new sample below which a bucket is emptied.
	// Without it, old weights would become so small that their reciprocals overflow.
	minWeight = 1e-9
	// minSamples is the number of samples that outweigh Initial.
	minSamples = 8
)

// Predictor learns one distribution. Initial is the mean until there are samples.
type Predictor struct {
	Initial time.Duration

	// weights and sums hold the weight and the weighted durations of each bucket. They are
	// there from the first sample on, since most routes of a large configuration get none.
	weights []float64
	sums    []float64
	weight  float64
	sum     float64
	next    float64
	samples int
}

// Observe adds the time of work that was completed.
func (p *Predictor) Observe(took time.Duration) {
	p.add(max(took, shortest), p.nextWeight())
}

// ObserveCut adds work that was cut off after it had run for some time.
func (p *Predictor) ObserveCut(ran time.Duration) {
	ran = max(ran, shortest)
	weight := p.nextWeight()
	first := p.firstLonger(ran)
	longer := 0.0
	for i := first; i < bucketCount; i++ {
		longer += p.weights[i]
	}
	if longer == 0 {
		p.add(2*ran, weight)
		return
	}
	p.samples++
	scale := 1 + weight/longer
	for i := first; i < bucketCount; i++ {
		p.weight += p.weights[i] * (scale - 1)
		p.sum += p.sums[i] * (scale - 1)
		p.weights[i] *= scale
		p.sums[i] *= scale
	}
}

func (p *Predictor) add(took time.Duration, weight float64) {
	i := bucketOf(took)
	p.samples++
	p.weights[i] += weight
	p.sums[i] += weight * float64(took)
	p.weight += weight
	p.sum += weight * float64(took)
}

// nextWeight returns the weight of the next sample.
func (p *Predictor) nextWeight() float64 {
	if p.next == 0 {
		p.next = 1
		p.weights, p.sums = make([]float64, bucketCount), make([]float64, bucketCount)
	}
	p.next *= growth
	if p.next > maxWeight {
		p.scaleDown()
	}
	return p.next
}

func (p *Predictor) scaleDown() {
	p.weight, p.sum = 0, 0
	for i := range p.weights {
		p.weights[i] /= p.next
		p.sums[i] /= p.next
		if p.weights[i] < minWeight {
			p.weights[i], p.sums[i] = 0, 0
		}
		p.weight += p.weights[i]
		p.sum += p.sums[i]
	}
	p.next = 1
}

// Reliable reports whether there are enough samples to go by.
func (p *Predictor) Reliable() bool {
	return p.samples >= minSamples
}

// Mean returns the mean time. Initial stands in for the samples that are missing.
func (p *Predictor) Mean() time.Duration {
	if p.weight == 0 {
		return p.Initial
	}
	missing := max(0, minSamples-p.samples)
	known := float64(p.samples)
	return time.Duration((p.sum/p.weight*known + float64(p.Initial)*float64(missing)) / (known + float64(missing)))
}

// Remaining returns the expected time to the end of work that has run for some time. Where
// nothing is known, as no work has taken as long or there are too few samples, how long it
// has run is taken to say nothing.
func (p *Predictor) Remaining(ran time.Duration) time.Duration {
	if ran <= 0 || !p.Reliable() {
		return p.Mean()
	}
	weight, sum := 0.0, 0.0
	for i := p.firstLonger(ran); i < bucketCount; i++ {
		weight += p.weights[i]
		sum += p.sums[i]
	}
	if weight <= 0 {
		return p.Mean()
	}
	return max(time.Duration(sum/weight)-ran, shortest)
}

// Exceeding returns the share of work that takes longer than a time.
func (p *Predictor) Exceeding(ran time.Duration) float64 {
	if p.weight == 0 {
		return 0
	}
	weight := 0.0
	for i := p.firstLonger(ran); i < bucketCount; i++ {
		weight += p.weights[i]
	}
	return weight / p.weight
}

// Median returns the time that half of the work exceeds.
func (p *Predictor) Median() time.Duration {
	if !p.Reliable() {
		return p.Mean()
	}
	weight := 0.0
	for i := range p.weights {
		weight += p.weights[i]
		if weight >= p.weight/2 {
			return time.Duration(p.sums[i] / p.weights[i])
		}
	}
	return p.Mean()
}

// FirstTime returns the first of some times after which a condition on the work that still
// runs then holds. The condition gets the time and what is expected to remain. ok is false if
// it never holds.
func (p *Predictor) FirstTime(condition func(ran, remaining time.Duration) bool) (first time.Duration, ok bool) {
	if !p.Reliable() {
		return 0, false
	}
	weight, sum := 0.0, 0.0
	for i := bucketCount - 1; i >= 0; i-- {
		if p.weights[i] == 0 {
			continue
		}
		if weight > 0 {
			end := bucketEnd(i)
			if remaining := time.Duration(sum/weight) - end; condition(end, remaining) {
				first, ok = end, true
			}
		}
		weight += p.weights[i]
		sum += p.sums[i]
	}
	return first, ok
}

// MeanRemaining returns the expected time to the end of work that is met while it runs. Work
// that takes long is met more often.
func (p *Predictor) MeanRemaining() time.Duration {
	if !p.Reliable() {
		return p.Mean()
	}
	squares := 0.0
	for i, weight := range p.weights {
		if weight > 0 {
			squares += p.sums[i] * p.sums[i] / weight
		}
	}
	return time.Duration(squares / p.sum / 2)
}

// firstLonger returns the first bucket whose samples take longer than a time on average.
func (p *Predictor) firstLonger(ran time.Duration) int {
	i := bucketOf(ran)
	if p.weights[i] == 0 || p.sums[i] <= p.weights[i]*float64(ran) {
		return i + 1
	}
	return i
}

func bucketOf(d time.Duration) int {
	if d <= shortest {
		return 0
	}
	i := int(math.Log2(float64(d)/float64(shortest)) * bucketsPerDoubling)
	return min(i, bucketCount-1)
}

// bucketEnd returns the upper end of a bucket.
func bucketEnd(i int) time.Duration {
	return time.Duration(float64(shortest) * math.Exp2(float64(i+1)/bucketsPerDoubling))
}
