package forwarder

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

func refuse(conn net.Conn, id string) {
	fmt.Fprintf(conn, "HTTP/1.1 503 Full\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
}

// Guards against a server that writes an earlier refusal once more on a kept connection:
// the next request there has run and must not be taken for refused.
func TestRepeatedRefusal(t *testing.T) {
	for name, repeat := range map[string]func(conn net.Conn, id string, answer func()){
		"at once": func(conn net.Conn, id string, answer func()) {
			refuse(conn, id)
			answer()
		},
		"while the next request runs": func(conn net.Conn, id string, answer func()) {
			time.Sleep(20 * time.Millisecond)
			refuse(conn, id)
			time.Sleep(20 * time.Millisecond)
			answer()
		},
		"three times": func(conn net.Conn, id string, answer func()) {
			for range 3 {
				refuse(conn, id)
			}
			answer()
		},
		"in place of the answer": func(conn net.Conn, id string, _ func()) { refuse(conn, id) },
		"after an interim response": func(conn net.Conn, id string, answer func()) {
			fmt.Fprint(conn, "HTTP/1.1 103 Early Hints\r\n\r\n")
			refuse(conn, id)
			answer()
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, func(conn net.Conn, r *http.Request, n int) bool {
				id := r.Header.Get("X-Id")
				if id == "refused" {
					refuse(conn, id)
					return true
				}
				assert.Check(t, n == 2, "the request came on another connection")
				repeat(conn, "refused", func() { respond(conn, id, "own") })
				return true
			})
			f := newForwarder(t)
			assert.Equal(t, send(f, s, "refused", false).Fate, traffic.NotRun)
			o := send(f, s, "next", false)
			assert.Assert(t, o.Fate != traffic.NotRun, "a request that has run was taken for refused")
			if name != "in place of the answer" {
				assert.Equal(t, o.Fate, traffic.Ran)
				assert.Equal(t, string(o.Reply.Body), "own")
			}
		})
	}
}

// Guards against the same where requests carry no ID, so that refusals can't be told
// apart: their connections are not used again.
func TestRepeatedRefusalWithoutAnID(t *testing.T) {
	s := startServer(t, func(conn net.Conn, _ *http.Request, n int) bool {
		if n == 1 {
			refuse(conn, "")
			return true
		}
		refuse(conn, "")
		respond(conn, "", "own")
		return true
	})
	f := newForwarder(t)
	for range 3 {
		assert.Equal(t, send(f, s, "", false).Fate, traffic.NotRun)
	}
	assert.Equal(t, s.connections.Load(), int64(3), "a connection was used again")
}

// Guards against a server that stops in the middle of its response's head and closes: what
// has arrived must not be taken for a whole response, wherever it ends.
func TestHeadThatEndsEarly(t *testing.T) {
	interim := "HTTP/1.1 103 Early Hints\r\nX-Id: 1\r\n\r\n"
	start := "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Filler: a\r\n"
	cuts := make(map[string]string)
	for name, head := range map[string]string{
		"length":              start + "Content-Length: 12\r\n\r\n",
		"chunks":              start + "Transfer-Encoding: chunked\r\n\r\n",
		"no length":           start + "\r\n",
		"interim response":    interim + start + "\r\n",
		"two interim":         interim + interim + start + "Content-Length: 2\r\n\r\n",
		"folded line":         start + "X-Folded: a\r\n b\r\n\tc\r\n\r\n",
		"bare line feeds":     "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 2\n\n",
		"length in last line": "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Id: 1\r\n\r\n",
	} {
		for n := range len(head) {
			cuts[fmt.Sprintf("%s, cut after %d", name, n)] = head[:n]
		}
	}
	for _, end := range []string{"\r", " ", "\t", "X-Id: 1", "\r\r", "\x00", ":"} {
		cuts[fmt.Sprintf("ends with %q", end)] = start + end
	}
	answers := make(chan string, 1)
	s := startServer(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		fmt.Fprint(conn, <-answers)
		return false
	})
	f := newForwarder(t)
	for name, text := range cuts {
		answers <- text
		o := send(f, s, "1", false)
		assert.Equal(t, o.Fate, traffic.Unknown, "%s: %+v", name, o)
		assert.Equal(t, o.Reply.Status, 0, name)
	}
}
