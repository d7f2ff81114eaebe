package gossiper

import (
	"bufio"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/rpc"
	"sync"
)

const (
	// maxCallBytes bounds one call that is received; calls for changes are much smaller.
	maxCallBytes = 64 << 10
	// maxCalls is the number of calls of one connection that are read or in progress at once.
	maxCalls = 4
)

var errCallTooLarge = errors.New("gossiper: a call exceeds the size limit")

// ServeBounded is Serve for an address at which anybody may call: what a connection holds is
// bounded, whatever it sends.
func ServeBounded(mux *http.ServeMux, peer any) error {
	server := rpc.NewServer()
	if err := server.RegisterName(rpcService, peer); err != nil {
		return fmt.Errorf("gossiper: %w", err)
	}
	mux.HandleFunc(rpcPath, func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodConnect {
			http.Error(w, "must be CONNECT", http.StatusMethodNotAllowed)
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		if _, err := io.WriteString(conn, "HTTP/1.0 200 Connected to Go RPC\n\n"); err != nil {
			conn.Close()
			return
		}
		server.ServeCodec(newBoundedCodec(conn))
	})
	return nil
}

// boundedCodec is the codec of net/rpc with bounds on the size of a call and on the calls in
// progress.
type boundedCodec struct {
	conn    io.ReadWriteCloser
	decoder *gob.Decoder
	encoder *gob.Encoder
	writer  *bufio.Writer
	// remaining is what may still be read of a call.
	remaining int64
	calls     chan struct{}
	closeOnce sync.Once
}

func newBoundedCodec(conn io.ReadWriteCloser) *boundedCodec {
	c := &boundedCodec{conn: conn, writer: bufio.NewWriter(conn), calls: make(chan struct{}, maxCalls)}
	c.decoder = gob.NewDecoder(c)
	c.encoder = gob.NewEncoder(c.writer)
	return c
}

// Read implements io.Reader for the decoder.
func (c *boundedCodec) Read(p []byte) (int, error) {
	if c.remaining <= 0 {
		return 0, errCallTooLarge
	}
	n, err := c.conn.Read(p[:min(int64(len(p)), c.remaining)])
	c.remaining -= int64(n)
	return n, err
}

// ReadRequestHeader waits until a call may begin, and reads its start.
func (c *boundedCodec) ReadRequestHeader(r *rpc.Request) error {
	c.calls <- struct{}{}
	c.remaining = maxCallBytes
	return c.decoder.Decode(r)
}

// ReadRequestBody reads the rest of a call.
func (c *boundedCodec) ReadRequestBody(body any) error {
	return c.decoder.Decode(body)
}

// WriteResponse writes a reply, which ends a call.
func (c *boundedCodec) WriteResponse(r *rpc.Response, body any) error {
	defer func() { <-c.calls }()
	err := errors.Join(c.encoder.Encode(r), c.encoder.Encode(body), c.writer.Flush())
	if err != nil {
		// The connection is of no more use, whatever its end says.
		_ = c.Close()
	}
	return err
}

// Close closes the connection. It may be called again.
func (c *boundedCodec) Close() (err error) {
	c.closeOnce.Do(func() { err = c.conn.Close() })
	return err
}
