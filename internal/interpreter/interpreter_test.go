package interpreter

import (
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestPaths(t *testing.T) {
	for _, c := range []struct {
		target, path, other string
	}{
		{"/orders/17?a=/b", "/orders/17", ""},
		{"/orders/fit%2F17", "/orders/fit%2F17", "/orders/fit/17"},
		{"/orders/fit%252F17", "/orders/fit%252F17", "/orders/fit/17"},
		{"/orders/fit%25252F17", "/orders/fit%25252F17", "/orders/fit/17"},
		{"/a%" + strings.Repeat("25", 20) + "2Fb", "/a%" + strings.Repeat("25", 20) + "2Fb", ""},
		{"/orders/../fit/17", "/orders/../fit/17", "/fit/17"},
		{"/orders/%2e%2e/fit/17", "/orders/%2e%2e/fit/17", "/fit/17"},
		{"/orders/./17", "/orders/./17", "/orders/17"},
		{"/orders//fit/17", "/orders//fit/17", "/orders/fit/17"},
		{"//orders/fit/", "//orders/fit/", "/orders/fit/"},
		{`/orders\fit\17`, `/orders\fit\17`, "/orders/fit/17"},
		{"/orders/fit%5C17", "/orders/fit%5C17", "/orders/fit/17"},
		{"/orders/fit;v=1/17", "/orders/fit;v=1/17", "/orders/fit/17"},
		{"/orders/fit/#/17", "/orders/fit/#/17", "/orders/fit/"},
		{"/orders/fit/%23/17", "/orders/fit/%23/17", "/orders/fit/"},
		{"/orders/fit/%3F/17", "/orders/fit/%3F/17", "/orders/fit/"},
		{"/orders/fit/%00/17", "/orders/fit/%00/17", "/orders/fit/"},
		{"/orders/..", "/orders/..", "/"},
		{"http://other.example/orders/17?x=1", "/orders/17", ""},
		{"http://other.example", "/", ""},
		{"http://other.example?x=1", "/", ""},
		{"/a://b/c", "/a://b/c", "/a:/b/c"},
		{"*", "*", ""},
		{"shop.example:80", "shop.example:80", ""},
	} {
		i := Interpreter{Target: c.target}
		assert.Equal(t, i.Path(), c.path, c.target)
		if c.other == "" && !strings.Contains(c.target, "25252525") {
			assert.Equal(t, len(i.OtherPaths()), 0, "%s: %q", c.target, i.OtherPaths())
			continue
		}
		assert.Assert(t, slices.Contains(i.OtherPaths(), c.other), "%s: %q", c.target, i.OtherPaths())
	}
}

func TestOriginForm(t *testing.T) {
	for target, expected := range map[string]string{
		"/a%2Fb?q=%20": "/a%2Fb?q=%20", "http://x.example/a%2Fb?q=%20": "/a%2Fb?q=%20", "http://x.example?q": "/?q", "*": "*",
	} {
		assert.Equal(t, (&Interpreter{Target: target}).OriginForm(), expected)
	}
}

func TestHostName(t *testing.T) {
	for host, expected := range map[string]string{
		"shop.example": "shop.example", "shop.example:8144": "shop.example", "shop.example.": "shop.example",
		"shop.example.:80": "shop.example", "[::1]:80": "::1", "": "",
	} {
		assert.Equal(t, (&Interpreter{Host: host}).HostName(), expected)
	}
}

// The number of readings is bounded, whatever the path.
func FuzzOtherPaths(f *testing.F) {
	f.Add("/a%2Fb/%252e%252e/;c//d")
	f.Fuzz(func(t *testing.T, target string) {
		i := Interpreter{Target: target}
		others := i.OtherPaths()
		assert.Assert(t, len(others) <= 100*(maxDecodings+1))
		assert.Assert(t, !slices.Contains(others, i.Path()))
		assert.Assert(t, strings.HasPrefix(target, i.Path()) || strings.Contains(target, "://"))
	})
}
