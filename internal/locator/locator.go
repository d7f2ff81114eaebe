// Package locator finds the failure domain nearest to a client address.
//
// Blocks may nest; the longest prefix wins. They are flattened once into
// sorted ranges without overlap, so that a look-up is one binary search over a
// compact array: 6 bytes a range for IPv4, 18 for IPv6.
//
// Usage:
//
//	var l locator.Locator
//	l.Build(prefixes, values)
//	value, ok := l.Find(address)
package locator

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"sort"
)

// none marks a range that no block covers; values count from 1 inside.
const none = 0

// Locator maps addresses to small numbers. The zero value finds nothing.
type Locator struct {
	starts4 []uint32
	values4 []uint16
	starts6 []wide
	values6 []uint16
}

// wide is an IPv6 address as two ordered halves.
type wide struct {
	high, low uint64
}

// span is a block as a closed interval of addresses.
type span[A any] struct {
	first, last A
	bits        int
	value       uint16
}

// Build replaces the table. prefixes and values have the same length; values
// are below 65535.
func (l *Locator) Build(prefixes []netip.Prefix, values []uint16) {
	spans4 := make([]span[uint32], 0, len(prefixes))
	var spans6 []span[wide]
	for i, p := range prefixes {
		p = p.Masked()
		if p.Addr().Is4() {
			spans4 = append(spans4, span4(p, values[i]+1))
			continue
		}
		spans6 = append(spans6, span6(p, values[i]+1))
	}
	l.starts4, l.values4 = flatten(spans4, cmp.Compare[uint32], func(a uint32) (uint32, bool) {
		return a + 1, a+1 != 0
	})
	l.starts6, l.values6 = flatten(spans6, compareWide, nextWide)
}

// Find returns the value of the longest block that holds the address.
func (l *Locator) Find(a netip.Addr) (uint16, bool) {
	a = a.Unmap()
	if a.Is4() {
		return at(l.values4, find4(l.starts4, number4(a)))
	}
	x := number6(a)
	i := sort.Search(len(l.starts6), func(i int) bool {
		return compareWide(l.starts6[i], x) > 0
	})
	return at(l.values6, i-1)
}

// Ranges returns the number of ranges held.
func (l *Locator) Ranges() int {
	return len(l.starts4) + len(l.starts6)
}

// find4 is written out: a comparison function would double its time.
func find4(starts []uint32, x uint32) int {
	low, high := 0, len(starts)
	for low < high {
		middle := int(uint(low+high) >> 1)
		if starts[middle] <= x {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low - 1
}

func at(values []uint16, i int) (uint16, bool) {
	if i < 0 || values[i] == none {
		return 0, false
	}
	return values[i] - 1, true
}

// flatten turns nested spans into the starts of disjoint ranges.
func flatten[A comparable](
	spans []span[A],
	compare func(a, b A) int,
	next func(A) (A, bool),
) ([]A, []uint16) {
	slices.SortFunc(spans, func(a, b span[A]) int {
		return cmp.Or(compare(a.first, b.first), cmp.Compare(a.bits, b.bits))
	})
	starts := make([]A, 0, 2*len(spans))
	values := make([]uint16, 0, 2*len(spans))
	add := func(start A, value uint16) {
		n := len(starts)
		if n > 0 && starts[n-1] == start {
			values[n-1] = value
			return
		}
		if n > 0 && values[n-1] == value {
			return
		}
		starts = append(starts, start)
		values = append(values, value)
	}
	var open []span[A]
	closeTop := func() {
		top := open[len(open)-1]
		open = open[:len(open)-1]
		after, ok := next(top.last)
		if !ok {
			return
		}
		outer := uint16(none)
		if len(open) > 0 {
			outer = open[len(open)-1].value
		}
		add(after, outer)
	}
	for _, s := range spans {
		for len(open) > 0 && compare(open[len(open)-1].last, s.first) < 0 {
			closeTop()
		}
		add(s.first, s.value)
		open = append(open, s)
	}
	for len(open) > 0 {
		closeTop()
	}
	return slices.Clip(starts), slices.Clip(values)
}

func span4(p netip.Prefix, value uint16) span[uint32] {
	first := number4(p.Addr())
	size := uint32(1<<(32-p.Bits()) - 1)
	return span[uint32]{first: first, last: first + size, bits: p.Bits(), value: value}
}

func span6(p netip.Prefix, value uint16) span[wide] {
	first := number6(p.Addr())
	last := first
	if p.Bits() < 64 {
		last.high |= 1<<(64-p.Bits()) - 1
		last.low = ^uint64(0)
	} else {
		last.low |= 1<<(128-p.Bits()) - 1
	}
	return span[wide]{first: first, last: last, bits: p.Bits(), value: value}
}

func number4(a netip.Addr) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

func number6(a netip.Addr) wide {
	b := a.As16()
	return wide{high: binary.BigEndian.Uint64(b[:8]), low: binary.BigEndian.Uint64(b[8:])}
}

func compareWide(a, b wide) int {
	return cmp.Or(cmp.Compare(a.high, b.high), cmp.Compare(a.low, b.low))
}

func nextWide(a wide) (wide, bool) {
	a.low++
	if a.low == 0 {
		a.high++
	}
	return a, a != wide{}
}
