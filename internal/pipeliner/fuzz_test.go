package pipeliner

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// readInSequence reads bytes one request after the other, and returns each with its body.
// whole is false if the last body is cut short or malformed.
func readInSequence(sent []byte) (requests []*http.Request, bodies []string, whole bool) {
	reader := bufio.NewReader(bytes.NewReader(sent))
	for {
		request, err := http.ReadRequest(reader)
		if err != nil || check(request) != nil {
			return requests, bodies, true
		}
		body, err := io.ReadAll(request.Body)
		requests = append(requests, request)
		bodies = append(bodies, string(body))
		if err != nil || request.Close {
			return requests, bodies, err == nil
		}
		for n := 0; request.Method == http.MethodPost && n < maxLineEnds; n++ {
			if next, err := reader.Peek(1); err != nil || next[0] != '\r' && next[0] != '\n' {
				break
			}
			reader.Discard(1)
		}
	}
}

// answer is the response to a request.
func answer(r *http.Request, body string) string {
	return fmt.Sprintf("%s %s %s %q %v", r.Method, r.Host, r.RequestURI, body, r.Trailer)
}

// recorder notes what it answers, and takes a time that differs between requests.
type recorder struct {
	mutex   sync.Mutex
	answers map[string]int
}

func (d *recorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	text := answer(r, string(body))
	sum := fnv.New32()
	io.WriteString(sum, text)
	time.Sleep(time.Duration(sum.Sum32()%4) * time.Millisecond)
	d.mutex.Lock()
	d.answers[text]++
	d.mutex.Unlock()
	w.Header().Set("Content-Type", "text/plain")
	io.WriteString(w, text)
}

// checkAgainstSequence sends bytes and compares the handlers and the responses with a plain
// sequential reading of the same bytes.
func checkAgainstSequence(t *testing.T, sent []byte) {
	d := &recorder{answers: make(map[string]int)}
	p := newLimited(d)
	p.IdleTimeout, p.ReadHeaderTimeout, p.MaxRequests = 20*time.Millisecond, 20*time.Millisecond, 4
	c := call(t, serve(t, p), "")
	go func() {
		// The caller's bytes come in two parts.
		c.Write(sent[:len(sent)/2])
		c.Write(sent[len(sent)/2:])
	}()
	requests, bodies, whole := readInSequence(sent)
	for n, request := range requests {
		if n == len(requests)-1 && !whole {
			// It has no end, and its handler waits for more of it.
			return
		}
		response, err := http.ReadResponse(c.reader, request)
		for err == nil && response.StatusCode == http.StatusContinue {
			response, err = http.ReadResponse(c.reader, request)
		}
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		text := answer(request, bodies[n])
		if request.Method != http.MethodHead {
			assert.Equal(t, string(body), text)
		}
		assert.Assert(t, !response.Close || n == len(requests)-1, "a response in between ends the connection")
		d.mutex.Lock()
		d.answers[text]--
		d.mutex.Unlock()
	}
	rest, err := io.ReadAll(c.reader)
	assert.Assert(t, err == nil || errors.Is(err, io.ErrUnexpectedEOF) || strings.Contains(err.Error(), "reset"))
	assert.Assert(t, len(rest) == 0 || bytes.HasPrefix(rest, []byte("HTTP/1.1 4")) || bytes.HasPrefix(rest, []byte("HTTP/1.1 505")), "%q", rest)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for text, n := range d.answers {
		assert.Equal(t, n, 0, "%s was not asked for", text)
	}
}

// FuzzSequence compares the loop with a plain sequential reading of the same bytes.
func FuzzSequence(f *testing.F) {
	for _, sent := range wire {
		f.Add([]byte(sent))
		f.Add([]byte(get("/1") + sent + get("/2")))
	}
	f.Add([]byte(strings.Repeat(get("/1")+get("/2")+post("/3"), 5)))
	f.Fuzz(func(t *testing.T, sent []byte) {
		if len(sent) > maxHeaderBytes {
			t.Skip()
		}
		checkAgainstSequence(t, sent)
	})
}
