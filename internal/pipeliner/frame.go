package pipeliner

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/net/http/httpguts"
)

// ownHeaders are written from what is known of the response, or not at all.
var ownHeaders = map[string]bool{"Connection": true, "Content-Length": true, "Transfer-Encoding": true}

// frame writes the head of a response and the part of its body that was held back, once.
// whole says that this is all of the body, and next is what follows otherwise.
func (x *exchange) frame(whole bool, next []byte) error {
	if x.framed {
		return nil
	}
	x.framed = true
	header := x.header
	if x.frozen != nil {
		header = x.frozen
	}
	hasBody := allowsBody(x.status) && x.request.Method != http.MethodHead
	if whole && x.declared < 0 && allowsBody(x.status) && (hasBody || x.written > 0) {
		x.declared = x.written
	}
	newer := x.request.ProtoAtLeast(1, 1)
	x.chunked = hasBody && x.declared < 0 && newer
	endless := hasBody && x.declared < 0 && !newer
	last := x.isLast(header, endless)
	start := x.small
	x.small = nil
	if err := x.writeHead(header, last, start, next); err != nil {
		return x.fail(err)
	}
	if !hasBody || len(start) == 0 {
		return nil
	}
	return x.writePart(start)
}

// isLast decides whether the response closes the connection.
func (x *exchange) isLast(header http.Header, endless bool) bool {
	wants := endless || x.request.Close || httpguts.HeaderValuesContainsToken(header["Connection"], "close")
	if x.body != nil && !x.body.skip() {
		wants = true
		x.body.end(true, false)
	}
	return x.connection.announce(x, wants)
}

// writeHead writes the status and the header. start and next are the first bytes of the body.
func (x *exchange) writeHead(header http.Header, last bool, start, next []byte) error {
	w := x.connection.writer
	if _, err := w.Write(x.appendStatus(w.AvailableBuffer())); err != nil {
		return err
	}
	if err := header.WriteSubset(w, ownHeaders); err != nil {
		return err
	}
	own := w.AvailableBuffer()
	if _, ok := header["Date"]; !ok {
		own = append(own, "Date: "...)
		own = append(own, date(time.Now())...)
		own = append(own, "\r\n"...)
	}
	if _, ok := header["Content-Type"]; !ok && len(start)+len(next) > 0 && header.Get("Content-Encoding") == "" {
		own = append(own, "Content-Type: "...)
		own = append(own, http.DetectContentType(append(start, next...))...)
		own = append(own, "\r\n"...)
	}
	_, err := w.Write(x.appendFraming(own, last))
	return err
}

func (x *exchange) appendStatus(head []byte) []byte {
	if x.request.ProtoAtLeast(1, 1) {
		head = append(head, "HTTP/1.1 "...)
	} else {
		head = append(head, "HTTP/1.0 "...)
	}
	head = strconv.AppendInt(head, int64(x.status), 10)
	head = append(head, ' ')
	if text := http.StatusText(x.status); text != "" {
		head = append(head, text...)
	} else {
		head = append(head, "status code "...)
		head = strconv.AppendInt(head, int64(x.status), 10)
	}
	return append(head, "\r\n"...)
}

// appendFraming appends the headers that say where the response and the connection end, and
// the end of the head.
func (x *exchange) appendFraming(head []byte, last bool) []byte {
	if x.declared >= 0 && x.status != http.StatusNoContent {
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, x.declared, 10)
		head = append(head, "\r\n"...)
	}
	switch {
	case last && x.request.ProtoAtLeast(1, 1):
		head = append(head, "Connection: close\r\n"...)
	case !last && !x.request.ProtoAtLeast(1, 1):
		head = append(head, "Connection: keep-alive\r\n"...)
	}
	if x.chunked {
		head = append(head, "Transfer-Encoding: chunked\r\n"...)
	}
	return append(head, "\r\n"...)
}

// writePart writes a part of the body.
func (x *exchange) writePart(p []byte) error {
	w := x.connection.writer
	if x.chunked {
		size := strconv.AppendInt(w.AvailableBuffer(), int64(len(p)), 16)
		if _, err := w.Write(append(size, "\r\n"...)); err != nil {
			return x.fail(err)
		}
	}
	_, err := w.Write(p)
	if x.chunked && err == nil {
		_, err = w.WriteString("\r\n")
	}
	return x.fail(err)
}

// dated is the value of the Date header in a second.
type dated struct {
	second int64
	text   string
}

var lastDate atomic.Pointer[dated]

func date(now time.Time) string {
	if d := lastDate.Load(); d != nil && d.second == now.Unix() {
		return d.text
	}
	d := &dated{second: now.Unix(), text: now.UTC().Format(http.TimeFormat)}
	lastDate.Store(d)
	return d.text
}
