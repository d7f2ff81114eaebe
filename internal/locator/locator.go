// Package locator finds the failure domain nearest to a client address.
//
// Address blocks may be nested; the longest prefix wins. Build flattens them into
// sorted ranges that do not overlap, so that Find is one binary search in a
// compact array: 6 bytes per range for IPv4, 18 for IPv6.
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

// noValue marks a range that no block covers. Values are stored incremented by 1 to
// keep 0 free for it.
const noValue = 0

// Locator maps addresses to numbers, such as indexes of failure domains. The zero
// value contains no blocks.
type Locator struct {
	starts4 []uint32
	values4 []uint16
	starts6 []uint128
	values6 []uint16
}

// uint128 is an IPv6 address as a number.
type uint128 struct {
	high, low uint64
}

// span is an address block as a closed interval of addresses. bits is the length of
// its prefix.
type span[A any] struct {
	first, last A
	bits        int
	value       uint16
}

// Build replaces the blocks. values holds the value of the prefix at the same index,
// which must be below 65535.
func (l *Locator) Build(prefixes []netip.Prefix, values []uint16) {
	spans4 := make([]span[uint32], 0, len(prefixes))
	var spans6 []span[uint128]
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
	l.starts6, l.values6 = flatten(spans6, compareUint128, nextUint128)
}

// Find returns the value of the block with the longest prefix that contains the
// address.
func (l *Locator) Find(a netip.Addr) (uint16, bool) {
	a = a.Unmap()
	if a.Is4() {
		return valueAt(l.values4, find4(l.starts4, toUint32(a)))
	}
	x := toUint128(a)
	i := sort.Search(len(l.starts6), func(i int) bool {
		return compareUint128(l.starts6[i], x) > 0
	})
	return valueAt(l.values6, i-1)
}

// Ranges returns the number of flattened ranges.
func (l *Locator) Ranges() int {
	return len(l.starts4) + len(l.starts6)
}

// find4 returns the index of the last start that is not above x, or -1. It does not
// use sort.Search because calling a comparison function doubles the time.
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

func valueAt(values []uint16, i int) (uint16, bool) {
	if i < 0 || values[i] == noValue {
		return 0, false
	}
	return values[i] - 1, true
}

// flatten converts nested spans into the starts of disjoint ranges and their
// values. A range ends where the next one starts. next returns the address after
// the given one, or false if that is the last address.
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
	var stack []span[A]
	pop := func() {
		top := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		after, ok := next(top.last)
		if !ok {
			return
		}
		outerValue := uint16(noValue)
		if len(stack) > 0 {
			outerValue = stack[len(stack)-1].value
		}
		add(after, outerValue)
	}
	for _, s := range spans {
		for len(stack) > 0 && compare(stack[len(stack)-1].last, s.first) < 0 {
			pop()
		}
		add(s.first, s.value)
		stack = append(stack, s)
	}
	for len(stack) > 0 {
		pop()
	}
	return slices.Clip(starts), slices.Clip(values)
}

func span4(p netip.Prefix, value uint16) span[uint32] {
	first := toUint32(p.Addr())
	size := uint32(1<<(32-p.Bits()) - 1)
	return span[uint32]{first: first, last: first + size, bits: p.Bits(), value: value}
}

func span6(p netip.Prefix, value uint16) span[uint128] {
	first := toUint128(p.Addr())
	last := first
	if p.Bits() < 64 {
		last.high |= 1<<(64-p.Bits()) - 1
		last.low = ^uint64(0)
	} else {
		last.low |= 1<<(128-p.Bits()) - 1
	}
	return span[uint128]{first: first, last: last, bits: p.Bits(), value: value}
}

func toUint32(a netip.Addr) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

func toUint128(a netip.Addr) uint128 {
	b := a.As16()
	return uint128{high: binary.BigEndian.Uint64(b[:8]), low: binary.BigEndian.Uint64(b[8:])}
}

func compareUint128(a, b uint128) int {
	return cmp.Or(cmp.Compare(a.high, b.high), cmp.Compare(a.low, b.low))
}

func nextUint128(a uint128) (uint128, bool) {
	a.low++
	if a.low == 0 {
		a.high++
	}
	return a, a != uint128{}
}
