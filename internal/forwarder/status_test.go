package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

// Guards against statuses that are none: what carries one is no response, whatever else it
// says. The request may have run, the connection is not used again, and what follows on it is
// not taken for the response either.
func TestStatusThatIsNone(t *testing.T) {
	for _, status := range []string{
		"000", "001", "020", "099", "600", "999", "+20", "-20", "+99", "20", "2", "2000", "0x2", "2 0", " 20", "abc", "2e2", "٢٠٠",
	} {
		for _, next := range []string{"", "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nok"} {
			for _, notRun := range []string{"", "X-Not-Run: 1\r\n"} {
				name := fmt.Sprintf("%q, next %q, %q", status, next, notRun)
				t.Run(name, func(t *testing.T) {
					s := startServer(t, func(conn net.Conn, r *http.Request, _ int) bool {
						id := r.Header.Get("X-Id")
						fmt.Fprintf(conn, "HTTP/1.1 %s Odd\r\nX-Id: %s\r\n%sContent-Length: 0\r\n\r\n", status, id, notRun)
						if next != "" {
							fmt.Fprintf(conn, next, id)
						}
						return true
					})
					f := newForwarder(t)
					o := f.Exchange(t.Context(), traffic.Request{ID: "1", Method: "PUT", Target: "/"}, traffic.Send{
						Upstream: traffic.Upstream{ID: "s1", Address: s.address}, Deadline: time.Now().Add(2 * time.Second),
					}, nil)
					assert.Equal(t, o.Fate, traffic.Unknown, "%+v", o)
					assert.Equal(t, o.Reply.Status, 0)
					assert.Assert(t, o.Took < time.Second, "the exchange waited for its deadline")
					send(f, s, "2", false)
					assert.Equal(t, s.connections.Load(), int64(2), "the connection was used again")
				})
			}
		}
	}
}

// Every status from 200 to 599 is one, and those below it precede the response, up to a bound.
func TestStatusesThatAreOne(t *testing.T) {
	var line string
	s := startServer(t, func(conn net.Conn, r *http.Request, _ int) bool {
		fmt.Fprintf(conn, "%s\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", line, r.Header.Get("X-Id"))
		return true
	})
	f := newForwarder(t)
	for status := 200; status <= 599; status++ {
		line = fmt.Sprintf("HTTP/1.1 %d", status)
		o := send(f, s, fmt.Sprint(status), false)
		assert.Equal(t, o.Reply.Status, status, "%v", o.Err)
		assert.Equal(t, o.Fate, traffic.Ran)
	}
	for _, c := range []struct {
		count int
		fate  traffic.Fate
	}{{1, traffic.Ran}, {maxSkipped, traffic.Ran}, {maxSkipped + 1, traffic.Unknown}, {1000, traffic.Unknown}} {
		line = strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", c.count) + "HTTP/1.1 200 OK"
		assert.Equal(t, send(f, s, "interim", false).Fate, c.fate, "%d interim responses", c.count)
	}
}

// FuzzResponses reads what a server may send. What is taken for a response has a status that is
// one, and nothing that was lent is kept.
func FuzzResponses(f *testing.F) {
	for _, status := range []string{"200", "000", "099", "100", "101", "199", "600", "999", "+20", "20", "503"} {
		for _, rest := range []string{"", "X-Id: 1\r\n", "X-Id: 1\r\nContent-Length: 2\r\n", "X-Id: 1\r\nX-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n"} {
			f.Add([]byte("HTTP/1.1 " + status + " OK\r\n" + rest + "\r\nab"))
		}
	}
	f.Fuzz(func(t *testing.T, sent []byte) {
		forwarder := newForwarder(t)
		client, server := net.Pipe()
		c := newConnection(forwarder, "s1", client)
		x := &exchange{id: "1", method: http.MethodGet, started: true, done: make(chan result, 1), written: make(chan struct{})}
		c.current = x
		go func() {
			// The connection may be closed before all of it has been read.
			_, _ = server.Write(sent)
			server.Close()
		}()
		go c.read()
		r := <-x.done
		if r.err == nil {
			assert.Assert(t, r.reply.Status >= 200 && r.reply.Status <= 599, "%d", r.reply.Status)
			assert.Assert(t, strings.Contains(string(sent), fmt.Sprint(r.reply.Status)), "%d", r.reply.Status)
			if r.reply.Rest != nil {
				_, _ = io.Copy(io.Discard, r.reply.Rest)
			}
		}
		closeReply(r.reply)
		assert.Equal(t, forwarder.Bodies.Accountant.Lent(), int64(0))
	})
}
