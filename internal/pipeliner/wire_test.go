package pipeliner

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// limits are those of both servers that the tests compare.
const (
	headerTimeout  = 300 * time.Millisecond
	idleTimeout    = 500 * time.Millisecond
	maxHeaderBytes = 8 << 10
)

// echo tells what it got, and answers as the path says.
func echo(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/unread" {
		http.Error(w, "unread", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, "no body", http.StatusBadRequest)
		return
	}
	text := fmt.Sprintf("%s %s %s %q %v %v", r.Method, r.Host, r.RequestURI, body, r.Header, r.Trailer)
	switch r.URL.Path {
	case "/length":
		w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	case "/long":
		text = strings.Repeat(text, 1+100_000/len(text))
	case "/parts":
		for range 3 {
			io.WriteString(w, text)
			w.(http.Flusher).Flush()
		}
	case "/none":
		w.WriteHeader(http.StatusNoContent)
		_, err := io.WriteString(w, text)
		if !errors.Is(err, http.ErrBodyNotAllowed) {
			panic("a body was written")
		}
		return
	case "/same":
		w.WriteHeader(http.StatusNotModified)
		return
	case "/empty":
		return
	case "/untyped":
		w.Header()["Content-Type"] = nil
	case "/over":
		w.Header().Set("Content-Length", "3")
	case "/late-header":
		w.WriteHeader(http.StatusTeapot)
		w.Header().Set("Late", "true")
	case "/odd":
		w.WriteHeader(799)
	case "/close":
		w.Header().Set("Connection", "close")
	}
	io.WriteString(w, text)
}

var dateHeader = regexp.MustCompile(`Date: [^\r]*GMT\r\n`)

// spokenWith returns what a server sends back for bytes, after which the caller sends nothing.
func spokenWith(t *testing.T, address, sent string) string {
	t.Helper()
	c := call(t, address, "")
	go io.WriteString(c.TCPConn, sent)
	received, err := io.ReadAll(c.reader)
	if err != nil {
		assert.ErrorContains(t, err, "reset")
	}
	return normalized(dateHeader.ReplaceAllString(string(received), "Date: now\r\n"))
}

// normalized returns responses with their headers sorted and the parts of their bodies joined.
func normalized(received string) string {
	var b strings.Builder
	for {
		head, rest, ok := strings.Cut(received, "\r\n\r\n")
		if !ok {
			return b.String() + received
		}
		lines := strings.Split(head, "\r\n")
		slices.Sort(lines[1:])
		b.WriteString(strings.Join(lines, "\n") + "\n\n")
		if slices.Contains(lines, "Transfer-Encoding: chunked") {
			chunks := bufio.NewReaderSize(strings.NewReader(rest), len(rest)+16)
			body, err := io.ReadAll(httputil.NewChunkedReader(chunks))
			fmt.Fprintf(&b, "%s\n%v\n", body, err)
			left, _ := io.ReadAll(chunks)
			received = strings.TrimPrefix(string(left), "\r\n")
			continue
		}
		end := strings.Index(rest, "HTTP/1.")
		if end < 0 {
			return b.String() + rest
		}
		b.WriteString(rest[:end])
		received = rest[end:]
	}
}

// plainServer starts net/http's server with the same limits.
func plainServer(t testing.TB, handler http.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{
		Handler: handler, DisableGeneralOptionsHandler: true, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: log.New(io.Discard, "", 0),
	}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}

func newLimited(handler http.Handler) *Pipeliner {
	return &Pipeliner{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: log.New(io.Discard, "", 0),
	}
}

const host = "Host: shop.example\r\n"

// wire holds what callers send.
var wire = map[string]string{
	"plain":                       get("/"),
	"two":                         get("/a") + get("/b"),
	"length of the response":      get("/length"),
	"long response":               get("/long"),
	"response in parts":           get("/parts") + get("/"),
	"no content":                  get("/none") + get("/"),
	"not modified":                get("/same") + get("/"),
	"empty response":              get("/empty") + get("/"),
	"untyped response":            get("/untyped"),
	"header after the status":     get("/late-header"),
	"odd status":                  get("/odd"),
	"closed by the handler":       get("/close"),
	"longer than declared":        get("/over"),
	"closed by the caller":        "GET / HTTP/1.1\r\n" + host + "Connection: close\r\n\r\n" + get("/b"),
	"head":                        "HEAD / HTTP/1.1\r\n" + host + "\r\n" + get("/b"),
	"head of a long response":     "HEAD /long HTTP/1.1\r\n" + host + "\r\n" + get("/b"),
	"head with a length":          "HEAD /length HTTP/1.1\r\n" + host + "\r\n" + get("/b"),
	"1.0":                         "GET / HTTP/1.0\r\n\r\n" + get("/b"),
	"1.0 kept":                    "GET /length HTTP/1.0\r\nConnection: keep-alive\r\n\r\nGET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n" + get("/b"),
	"1.0 long":                    "GET /long HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
	"1.0 in parts":                "GET /parts HTTP/1.0\r\n\r\n",
	"0.9":                         "GET / HTTP/0.9\r\n\r\n",
	"2.0":                         "GET / HTTP/2.0\r\n" + host + "\r\n",
	"3.0":                         "GET / HTTP/3.0\r\n\r\n",
	"no version":                  "GET /\r\n\r\n",
	"body with a length":          post("/") + get("/b"),
	"body in chunks":              "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n" + get("/b"),
	"trailer":                     "POST / HTTP/1.1\r\n" + host + "Trailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nSum: 1\r\n\r\n" + get("/b"),
	"bad chunk":                   "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\nx\r\nabc\r\n0\r\n\r\n" + get("/b"),
	"chunk with a bare LF":        "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n3\nabc\n0\n\n" + get("/b"),
	"line ends after a POST":      post("/") + "\r\n" + get("/b"),
	"line ends after a GET":       get("/") + "\r\n" + get("/b"),
	"unread body":                 "POST /unread HTTP/1.1\r\n" + host + "Content-Length: 4\r\n\r\nbody" + get("/b"),
	"unread large body":           "POST /unread HTTP/1.1\r\n" + host + "Content-Length: 1000000\r\n\r\n",
	"expects":                     "POST / HTTP/1.1\r\n" + host + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\nbody" + get("/b"),
	"expects without a body":      "POST / HTTP/1.1\r\n" + host + "Expect: 100-continue\r\nContent-Length: 0\r\n\r\n" + get("/b"),
	"1.0 expects":                 "POST / HTTP/1.0\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\nbody",
	"both framings":               "POST / HTTP/1.1\r\n" + host + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get("/b"),
	"two lengths":                 "POST / HTTP/1.1\r\n" + host + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody!" + get("/b"),
	"two equal lengths":           "POST / HTTP/1.1\r\n" + host + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody" + get("/b"),
	"lengths in a list":           "POST / HTTP/1.1\r\n" + host + "Content-Length: 4, 4\r\n\r\nbody" + get("/b"),
	"signed length":               "POST / HTTP/1.1\r\n" + host + "Content-Length: +4\r\n\r\nbody" + get("/b"),
	"negative length":             "POST / HTTP/1.1\r\n" + host + "Content-Length: -4\r\n\r\nbody" + get("/b"),
	"empty length":                "POST / HTTP/1.1\r\n" + host + "Content-Length:\r\n\r\n" + get("/b"),
	"1.0 chunked":                 "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"space before the colon":      "GET / HTTP/1.1\r\n" + host + "Content-Length : 4\r\n\r\nbody" + get("/b"),
	"folded header":               "GET / HTTP/1.1\r\n" + host + "A: b\r\n c\r\n\r\n",
	"folded first header":         "GET / HTTP/1.1\r\n A: b\r\n" + host + "\r\n",
	"bare LF":                     "GET / HTTP/1.1\n" + "Host: shop.example\n\n" + get("/b"),
	"bare CR in a value":          "GET / HTTP/1.1\r\n" + host + "A: b\rC: d\r\n\r\n",
	"bare CR ends the head":       "GET / HTTP/1.1\r\n" + host + "\r\r\n\r\n",
	"zero byte in a value":        "GET / HTTP/1.1\r\n" + host + "A: b\x00c\r\n\r\n",
	"odd name":                    "GET / HTTP/1.1\r\n" + host + "A\x01: b\r\n\r\n",
	"no name":                     "GET / HTTP/1.1\r\n" + host + ": b\r\n\r\n",
	"no colon":                    "GET / HTTP/1.1\r\n" + host + "A\r\n\r\n",
	"no host":                     "GET / HTTP/1.1\r\n\r\n",
	"two hosts":                   "GET / HTTP/1.1\r\n" + host + "Host: other.example\r\n\r\n",
	"odd host":                    "GET / HTTP/1.1\r\nHost: a b\r\n\r\n",
	"absolute target":             "GET http://other.example/x HTTP/1.1\r\n" + host + "\r\n",
	"star":                        "OPTIONS * HTTP/1.1\r\n" + host + "\r\n",
	"connect":                     "CONNECT shop.example:80 HTTP/1.1\r\n" + host + "\r\n",
	"odd method":                  "GE(T / HTTP/1.1\r\n" + host + "\r\n",
	"odd target":                  "GET /%zz HTTP/1.1\r\n" + host + "\r\n",
	"not HTTP":                    "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
	"too long a header":           "GET / HTTP/1.1\r\n" + host + "A: " + strings.Repeat("a", maxHeaderBytes+10_000) + "\r\n\r\n",
	"too many headers":            "GET / HTTP/1.1\r\n" + host + strings.Repeat("A: a\r\n", 4000) + "\r\n",
	"long header":                 "GET / HTTP/1.1\r\n" + host + "A: " + strings.Repeat("a", maxHeaderBytes) + "\r\n\r\n" + get("/b"),
	"malformed behind another":    get("/a") + "nonsense\r\n\r\n" + get("/b"),
	"head that does not come":     "GET / HT",
	"head that does not come yet": get("/a") + "GET / HT",
	"nothing":                     "",
}

// Guards against UNASKED by smuggling, and against changes of what holds for a caller that
// waits for each response: the same bytes get the same bytes back as from net/http's server.
func TestSameAnswersAsThePlainServer(t *testing.T) {
	plain := plainServer(t, http.HandlerFunc(echo))
	ours := serve(t, newLimited(http.HandlerFunc(echo)))
	for name, sent := range wire {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			assert.Equal(t, spokenWith(t, ours, sent), spokenWith(t, plain, sent))
		})
	}
}

// A caller that waits for 100 Continue behind other requests gets it when their responses are
// out.
func TestContinueWaitsForItsTurn(t *testing.T) {
	d := newGatedHandler(t)
	c := call(t, serve(t, &Pipeliner{Handler: d}), get("/1")+"PUT /2 HTTP/1.1\r\n"+host+"Expect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	d.await("/1")
	d.release("/1", "/2")
	_, body := c.receive()
	assert.Equal(t, body, "/1")
	response, err := http.ReadResponse(c.reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusContinue)
	c.send("body")
	_, body = c.receive()
	assert.Equal(t, body, "/2body")
}

// A body is read before what follows it, also if it comes late.
func TestBodyThatComesLate(t *testing.T) {
	d := newGatedHandler(t)
	p := newLimited(d)
	p.MayRepeat = func(*http.Request) bool { return true }
	c := call(t, serve(t, p), "PUT /1 HTTP/1.1\r\n"+host+"Content-Length: 4\r\n\r\nbo")
	d.release("/1", "/2")
	time.Sleep(headerTimeout + idleTimeout + quiet)
	c.send("dy" + get("/2"))
	_, body := c.receive()
	assert.Equal(t, body, "/1body")
	_, body = c.receive()
	assert.Equal(t, body, "/2")
}

// The idle timeout runs from the last response; a request in progress is not idle.
func TestIdleTimeout(t *testing.T) {
	d := newGatedHandler(t)
	c := call(t, serve(t, newLimited(d)), get("/1"))
	d.await("/1")
	time.Sleep(idleTimeout + headerTimeout + quiet)
	d.release("/1", "/2")
	_, body := c.receive()
	assert.Equal(t, body, "/1")
	time.Sleep(idleTimeout * 4 / 5)
	c.send(get("/2"))
	_, body = c.receive()
	assert.Equal(t, body, "/2")
	answered := time.Now()
	assert.Equal(t, c.rest(), "")
	assert.Assert(t, time.Since(answered) >= idleTimeout*9/10)
}

// Here the plain server keeps a connection open on which nothing more can come, and refuses
// without a text.
func TestExpectationsThatAreNotMet(t *testing.T) {
	ours := serve(t, newLimited(http.HandlerFunc(echo)))
	unread := "POST /unread HTTP/1.1\r\n" + host + "Expect: 100-continue\r\nContent-Length: 1000\r\n\r\n"
	odd := "POST / HTTP/1.1\r\n" + host + "Expect: tea\r\nContent-Length: 4\r\n\r\nbody" + get("/b")
	for sent, status := range map[string]int{unread: http.StatusServiceUnavailable, odd: http.StatusExpectationFailed} {
		c := call(t, ours, sent)
		response, _ := c.receive()
		assert.Equal(t, response.StatusCode, status)
		assert.Assert(t, response.Close)
		assert.Equal(t, c.rest(), "")
	}
}
