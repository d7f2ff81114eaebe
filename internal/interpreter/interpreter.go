// Package interpreter reads the target and the host of a request as their bytes stand,
// which are those that a server gets, and lists how else a server may read the path.
//
// A server may decode the path before it looks at it, remove dot segments or empty ones,
// or take a backslash for a slash. What an instance decides must not depend on which of
// these readings its server chooses.
//
// Usage:
//
//	i := interpreter.Interpreter{Target: r.RequestURI, Host: r.Host}
//	route := match(i.HostName(), i.Path())
//	for _, path := range i.OtherPaths() {
//		// A request may be repeated only if the route of each path allows it.
//	}
package interpreter

import (
	"net"
	"net/url"
	"path"
	"slices"
	"strings"
)

// maxDecodings bounds how many times a path is decoded, since each time takes as long as the
// path is.
const maxDecodings = 8

// Interpreter reads one request. Set the fields before the first call.
type Interpreter struct {
	// Target is the request target as the caller sent it.
	Target string
	// Host is the host of the request, from the target or the header.
	Host string
}

// OriginForm returns the target without a scheme and an authority: the path and the query
// as the caller sent them.
func (i *Interpreter) OriginForm() string {
	scheme, rest, absolute := strings.Cut(i.Target, "://")
	if !absolute || strings.ContainsAny(scheme, "/?#%") {
		return i.Target
	}
	start := strings.IndexAny(rest, "/?#")
	switch {
	case start < 0:
		return "/"
	case rest[start] != '/':
		return "/" + rest[start:]
	}
	return rest[start:]
}

// Path returns the path as the caller sent it.
func (i *Interpreter) Path() string {
	text, _, _ := strings.Cut(i.OriginForm(), "?")
	return text
}

// OtherPaths returns the other paths that a server may read from the same bytes. An empty
// one stands for those of a path that is encoded more than maxDecodings times.
func (i *Interpreter) OtherPaths() []string {
	own := i.Path()
	if !strings.ContainsAny(own, "%\\#;") && !strings.Contains(own, "//") && !strings.Contains(own, "/.") {
		return nil
	}
	var found []string
	for n, decoded := 0, own; ; n++ {
		if n > maxDecodings {
			found = append(found, "")
			break
		}
		found = append(found, variants(decoded)...)
		next, err := url.PathUnescape(decoded)
		if err != nil || next == decoded {
			break
		}
		decoded = next
	}
	slices.Sort(found)
	found = slices.Compact(found)
	return slices.DeleteFunc(found, func(s string) bool { return s == own })
}

// variants returns a path as it is, without what some servers cut off, and clean.
func variants(text string) []string {
	found := []string{text}
	for _, end := range []string{"#", "?", "\x00"} {
		if shorter, _, cut := strings.Cut(text, end); cut {
			found = append(found, shorter)
		}
	}
	for _, v := range found {
		found = append(found, strings.ReplaceAll(v, "\\", "/"), withoutParameters(v))
	}
	for _, v := range found {
		found = append(found, clean(v))
	}
	return found
}

// withoutParameters removes what follows a semicolon in each segment.
func withoutParameters(text string) string {
	segments := strings.Split(text, "/")
	for n, s := range segments {
		segments[n], _, _ = strings.Cut(s, ";")
	}
	return strings.Join(segments, "/")
}

// clean removes dot segments and empty ones, but keeps a slash at the end.
func clean(text string) string {
	cleaned := path.Clean("/" + text)
	if cleaned != "/" && (strings.HasSuffix(text, "/") || strings.HasSuffix(text, "/.") || strings.HasSuffix(text, "/..")) {
		cleaned += "/"
	}
	return cleaned
}

// HostName returns the host without a port and a final dot.
func (i *Interpreter) HostName() string {
	name := i.Host
	if strings.Contains(name, ":") {
		if host, _, err := net.SplitHostPort(name); err == nil {
			name = host
		}
	}
	return strings.TrimSuffix(name, ".")
}
