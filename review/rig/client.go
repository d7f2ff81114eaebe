//go:build review

package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

// answer is what a client saw of one request.
type answer struct {
	status  int
	stamped bool
	// whole is set if the answer is complete.
	whole bool
	err   error
	// sent is when the last byte of the request was sent, ended when the answer or the
	// connection ended.
	sent, ended time.Time
}

func (a answer) String() string {
	if a.whole {
		return fmt.Sprintf("status %d, complete", a.status)
	}
	return fmt.Sprintf("no complete answer (status %d): %v", a.status, a.err)
}

// connection is a client's connection to an instance.
type connection struct {
	net.Conn
	reader *bufio.Reader
}

func dial(address string) (*connection, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// dialSlow opens the connection of a client behind a narrow link: its receive window is
// small, and its segments are those of an Ethernet link rather than those of loopback.
func dialSlow(address string) (*connection, error) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10),
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1400),
			)
		})
		return errors.Join(err, failed)
	}}
	conn, err := dialer.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, reader: bufio.NewReaderSize(conn, 4<<10)}, nil
}

// send writes a request. An empty body sends none.
func (c *connection) send(method, target, id string, deadline time.Duration, body []byte) error {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nYuccathread-Request-Id: %s\r\nYuccathread-Request-Deadline: %d\r\n",
		method, target, host, id, deadline.Milliseconds())
	if len(body) > 0 || method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_ = c.SetDeadline(time.Now().Add(deadline))
	if _, err := io.WriteString(c, head+"\r\n"); err != nil {
		return err
	}
	_, err := c.Write(body)
	return err
}

// receive reads an answer; consume reads its body.
func (c *connection) receive(method string, consume func(io.Reader) error) answer {
	var a answer
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		a.err, a.ended = err, time.Now()
		return a
	}
	defer response.Body.Close()
	a.status = response.StatusCode
	a.stamped = response.Header.Get("Yuccathread-Response-Stamp") != ""
	a.err = consume(response.Body)
	a.whole = a.err == nil
	a.ended = time.Now()
	return a
}

func discard(body io.Reader) error {
	_, err := io.Copy(io.Discard, body)
	return err
}

// exchange sends a request and reads its answer.
func (c *connection) exchange(method, target, id string, deadline time.Duration, body []byte) answer {
	if err := c.send(method, target, id, deadline, body); err != nil {
		return answer{err: err, ended: time.Now()}
	}
	sent := time.Now()
	a := c.receive(method, discard)
	a.sent = sent
	return a
}
