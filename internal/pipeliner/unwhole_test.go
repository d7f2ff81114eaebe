package pipeliner

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A response that was written before one that can't be whole arrives to its end, also if the
// caller takes it late and has sent what is not read any more.
func TestResponseAheadOfOneThatIsNotWhole(t *testing.T) {
	const size = 2 << 20
	written := make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/1":
			w.Header().Set("Content-Length", strconv.Itoa(size))
			w.Write(make([]byte, size))
			close(written)
		case "/abort":
			<-written
			time.Sleep(quiet)
			panic(http.ErrAbortHandler)
		default:
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	})
	c := call(t, serve(t, &Pipeliner{Handler: handler}), get("/1")+get("/abort")+strings.Repeat(get("/behind"), 1000))
	<-written
	time.Sleep(3 * quiet)
	response, err := http.ReadResponse(c.reader, nil)
	assert.NilError(t, err)
	taken, err := io.Copy(io.Discard, response.Body)
	assert.NilError(t, err, "after %d bytes", taken)
	assert.Equal(t, c.rest(), "")
}

// What waits for bytes of a caller does not hold up the end of a connection.
func TestEndBehindAResponseThatIsNotWhole(t *testing.T) {
	put := "PUT /2 HTTP/1.1\r\n" + host + "Content-Length: 10\r\n\r\nbody"
	for _, behind := range []string{"", "GET /2 HT", put} {
		d := newGatedHandler(t)
		p := &Pipeliner{Handler: d, MayRepeat: func(*http.Request) bool { return true }}
		c := call(t, serve(t, p), get("/abort")+behind)
		d.await("/abort")
		time.Sleep(quiet)
		d.release("/abort")
		assert.Equal(t, c.rest(), "")
		eventually(t, "the connection stays", func() bool { return p.count() == 0 })
	}
}

// What ends the reading behind such a response does not cut off what is ahead of it.
func TestResponseAheadOfABodyThatIsNotReadAnyMore(t *testing.T) {
	for _, behind := range []string{"GET /3 HT", "PUT /3 HTTP/1.1\r\n" + host + "Content-Length: 10\r\n\r\nbody"} {
		d := newGatedHandler(t)
		p := &Pipeliner{Handler: d, MayRepeat: func(*http.Request) bool { return true }}
		c := call(t, serve(t, p), get("/1")+get("/abort")+behind)
		d.await("/1", "/abort")
		time.Sleep(quiet)
		d.release("/abort")
		time.Sleep(quiet)
		d.release("/1")
		_, body := c.receive()
		assert.Equal(t, body, "/1")
		assert.Equal(t, c.rest(), "")
	}
}

// Guards against LOST: only the last response says that the connection ends, also if the end is
// known before those ahead of it are out.
func TestOnlyTheLastResponseAnnouncesTheEnd(t *testing.T) {
	unread := "PUT /unread HTTP/1.1\r\n" + host + "Content-Length: 10\r\n\r\nx\r\n"
	malformed := "PUT /3 HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\nx\r\n"
	for name, last := range map[string]string{"abort": get("/abort"), "malformed": malformed, "unread": unread} {
		t.Run(name, func(t *testing.T) {
			d := newGatedHandler(t)
			handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/unread" {
					http.Error(w, "unread", http.StatusServiceUnavailable)
					return
				}
				d.ServeHTTP(w, r)
			})
			p := &Pipeliner{Handler: handler, MayRepeat: func(*http.Request) bool { return true }}
			c := call(t, serve(t, p), get("/1")+get("/2")+last)
			d.await("/1", "/2")
			d.release("/abort")
			time.Sleep(quiet)
			d.release("/1", "/2")
			for _, path := range []string{"/1", "/2"} {
				response, body := c.receive()
				assert.Equal(t, body, path)
				assert.Assert(t, !response.Close, "%s says that the connection ends", path)
			}
			if name != "abort" {
				response, _ := c.receive()
				assert.Assert(t, response.Close)
			}
			assert.Equal(t, c.rest(), "")
		})
	}
}
