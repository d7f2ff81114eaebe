package pipeliner

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// benchmarkTurns sends one plain request after the other on one connection.
func benchmarkTurns(b *testing.B, address string, ahead int) {
	conn, err := net.Dial("tcp", address)
	assert.NilError(b, err)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	request := []byte("GET /a HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: 9c41d07be2a35f68\r\nCookie: key=17\r\n\r\n")
	response := make([]byte, responseBytes(b, conn, reader, request))
	b.ReportAllocs()
	for b.Loop() {
		for range ahead {
			_, err = conn.Write(request)
			assert.NilError(b, err)
		}
		for range ahead {
			_, err = io.ReadFull(reader, response)
			assert.NilError(b, err)
		}
	}
}

// responseBytes returns the size of a response.
func responseBytes(b *testing.B, conn net.Conn, reader *bufio.Reader, request []byte) int {
	_, err := conn.Write(request)
	assert.NilError(b, err)
	_, err = reader.Peek(1)
	assert.NilError(b, err)
	size := reader.Buffered()
	_, err = reader.Discard(size)
	assert.NilError(b, err)
	return size
}

var costHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
	header := w.Header()
	header["Content-Type"] = nil
	header.Set("X-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1")
	header.Set("Content-Length", "1000")
	w.WriteHeader(http.StatusOK)
	w.Write(costBody)
})

var costBody = make([]byte, 1000)

func BenchmarkPlainServer(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	server := &http.Server{Handler: costHandler, ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	go server.Serve(listener)
	defer server.Close()
	benchmarkTurns(b, listener.Addr().String(), 1)
}

func BenchmarkPipeliner(b *testing.B) {
	p := &Pipeliner{Handler: costHandler, ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	benchmarkTurns(b, serve(b, p), 1)
}

func BenchmarkPipelinerFourAhead(b *testing.B) {
	p := &Pipeliner{Handler: costHandler, ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	benchmarkTurns(b, serve(b, p), 4)
}
