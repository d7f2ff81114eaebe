// Package recorder keeps the newest records of the timeline in a ring buffer of
// fixed size.
//
// Usage:
//
//	r := recorder.Recorder[model.Record]{Size: 8192}
//	r.Add(record)
//	for _, x := range r.All() { ... }
package recorder

// Recorder is a ring buffer of the newest Size values. It is not safe for concurrent use.
type Recorder[T any] struct {
	Size int

	values []T
	next   int
}

// Add appends a value; if the buffer is full, it replaces the oldest one.
func (r *Recorder[T]) Add(value T) {
	if len(r.values) < r.Size {
		r.values = append(r.values, value)
		return
	}
	if r.Size == 0 {
		return
	}
	r.values[r.next] = value
	r.next = (r.next + 1) % r.Size
}

// All returns a copy of the values, oldest first.
func (r *Recorder[T]) All() []T {
	all := make([]T, 0, len(r.values))
	all = append(all, r.values[r.next:]...)
	return append(all, r.values[:r.next]...)
}
