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
	maxCallBytes = 16 << 10
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
	reader  *bufio.Reader
	decoder *gob.Decoder
	encoder *gob.Encoder
	writer  *bufio.Writer
	// remaining is what may still be read of a call.
	remaining int
	// length holds what is still to be passed on of the length of a message, and left what is of
	// the message itself.
	length    []byte
	left      int
	calls     chan struct{}
	closeOnce sync.Once
}

func newBoundedCodec(conn io.ReadWriteCloser) *boundedCodec {
	c := &boundedCodec{conn: conn, reader: bufio.NewReader(conn), writer: bufio.NewWriter(conn), calls: make(chan struct{}, maxCalls)}
	c.decoder = gob.NewDecoder(c)
	c.encoder = gob.NewEncoder(c.writer)
	return c
}

// Read implements io.Reader for the decoder. The length of each message is checked first, since
// the decoder allocates much of it at once.
func (c *boundedCodec) Read(p []byte) (int, error) {
	if len(c.length) == 0 && c.left == 0 {
		if err := c.readLength(); err != nil {
			return 0, err
		}
	}
	if len(c.length) > 0 {
		n := copy(p, c.length)
		c.length = c.length[n:]
		return n, nil
	}
	n, err := c.reader.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}

// readLength reads the length of the next message as encoding/gob writes it: one byte below 128,
// or the negated number of the bytes that follow with the length.
func (c *boundedCodec) readLength() error {
	first, err := c.reader.ReadByte()
	if err != nil {
		return err
	}
	c.length = append(c.length[:0], first)
	c.left = int(first)
	if first >= 0x80 {
		c.left = 0
		for range -int(int8(first)) {
			next, err := c.reader.ReadByte()
			if err != nil {
				return err
			}
			c.length = append(c.length, next)
			c.left = min(c.left<<8|int(next), maxCallBytes+1)
		}
	}
	c.remaining -= len(c.length) + c.left
	if c.remaining < 0 {
		return errCallTooLarge
	}
	return nil
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
