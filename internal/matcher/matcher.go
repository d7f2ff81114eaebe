// Package matcher finds the entry of a host whose prefix is the longest that begins a path.
// The time of a search grows with the number of slashes in the path, not with the number of
// entries.
//
// Usage:
//
//	var m matcher.Matcher[*route]
//	m.Add("shop.example", "/orders/", r)
//	r, ok := m.Match("Shop.example", "/orders/17")
package matcher

import "strings"

// Matcher holds entries by host and prefix. The zero value is empty.
type Matcher[T any] struct {
	hosts map[string]*prefixes[T]
}

// prefixes holds the entries of one host.
type prefixes[T any] struct {
	byPrefix map[string]T
	// longest is the length of the longest prefix: no more of a path needs to be looked at.
	longest int
}

// Add adds an entry. A prefix must end with a slash; of two entries with the same host and
// prefix the one that was added first counts.
func (m *Matcher[T]) Add(host, prefix string, entry T) {
	if m.hosts == nil {
		m.hosts = make(map[string]*prefixes[T])
	}
	host = strings.ToLower(host)
	p := m.hosts[host]
	if p == nil {
		p = &prefixes[T]{byPrefix: make(map[string]T)}
		m.hosts[host] = p
	}
	if _, exists := p.byPrefix[prefix]; exists {
		return
	}
	p.byPrefix[prefix] = entry
	p.longest = max(p.longest, len(prefix))
}

// Match returns the entry of a host, in any case, with the longest prefix that begins a path.
func (m *Matcher[T]) Match(host, path string) (entry T, ok bool) {
	p := m.hosts[strings.ToLower(host)]
	if p == nil {
		return entry, false
	}
	path = path[:min(len(path), p.longest)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if entry, ok = p.byPrefix[path[:end+1]]; ok {
			return entry, true
		}
	}
	return entry, false
}
