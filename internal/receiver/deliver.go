package receiver

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/yuccathread/yuccathread/internal/steerer"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

// ResponseBytes is the part of a response, in bytes, that is written at a time. A caller that
// does not take it within the idle timeout is taken to have left. Each request in progress has
// borrowed the memory for it.
const ResponseBytes = 32 << 10

// deliver writes a server's response. What follows its body is read from the server no
// faster than the caller reads.
func (r *Receiver) deliver(w http.ResponseWriter, req *http.Request, reply traffic.Reply) {
	rest := io.Reader(http.NoBody)
	if reply.Rest != nil {
		defer reply.Rest.Close()
		rest = reply.Rest
	}
	if reply.Length < 0 && !req.ProtoAtLeast(1, 1) {
		// A caller that knows no chunks would take a response that is cut for a whole one.
		r.refuse(w, traffic.Refuse{Reason: traffic.Interrupted, Fate: traffic.Unknown})
		return
	}
	body, err := firstPart(reply, rest)
	if err != nil {
		r.recordCut(reply, 0, err)
		r.refuse(w, traffic.Refuse{Reason: traffic.Interrupted, Fate: traffic.Unknown})
		return
	}
	r.writeHead(w, reply)
	if reply.Length == int64(len(body)) {
		rest = http.NoBody
	}
	streamed, err := r.writeBody(w, body, rest)
	if streamed > 0 {
		r.count("answers.streamed")
	}
	if err != nil {
		r.recordCut(reply, streamed, err)
		// The response is not whole and must not look so.
		r.abandon("answers.cut")
	}
	r.count("answers.delivered." + strconv.Itoa(reply.Status))
}

// firstPart returns the first part of a response's body. If there is none yet, it waits for
// the server, so that one that breaks off at once does not cost the caller its answer.
func firstPart(reply traffic.Reply, rest io.Reader) ([]byte, error) {
	if len(reply.Body) > 0 || reply.Length == 0 {
		return reply.Body, nil
	}
	part := make([]byte, ResponseBytes)
	n, err := io.ReadAtLeast(rest, part, 1)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return part[:n], err
}

// recordCut logs a response that broke off while it was passed on.
func (r *Receiver) recordCut(reply traffic.Reply, streamed int64, err error) {
	r.Carrier.Record(traffic.Record{
		Level:   slog.LevelWarn,
		Message: "response cut",
		Attributes: []slog.Attr{
			slog.String("request", reply.RequestID), slog.Int("status", reply.Status), slog.Int64("length", reply.Length),
			slog.Int64("passed_on", streamed), slog.String("error", err.Error()),
		},
	})
}

// writeHead writes the status and the header of a response.
func (r *Receiver) writeHead(w http.ResponseWriter, reply traffic.Reply) {
	header := w.Header()
	for name, values := range reply.Header {
		header[name] = values
	}
	r.closeIfNotKept(header)
	// A nil value keeps net/http from guessing a Content-Type that the server did not send.
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil
	}
	if reply.Length >= 0 && reply.Status != http.StatusNoContent && reply.Status != http.StatusNotModified {
		header.Set("Content-Length", strconv.FormatInt(reply.Length, 10))
	}
	w.WriteHeader(reply.Status)
}

// writeBody writes a body and what follows it, and returns the length of the latter.
func (r *Receiver) writeBody(w http.ResponseWriter, body []byte, rest io.Reader) (int64, error) {
	controller := http.NewResponseController(w)
	chunks := &chunkWriter{writer: w, setDeadline: controller.SetWriteDeadline, timeout: r.StallTimeout()}
	for len(body) > 0 {
		n := min(len(body), ResponseBytes)
		if _, err := chunks.Write(body[:n]); err != nil {
			return 0, err
		}
		body = body[n:]
	}
	streamed := int64(0)
	if rest != http.NoBody {
		n, err := io.CopyBuffer(chunks, rest, make([]byte, ResponseBytes))
		if err != nil {
			return n, err
		}
		streamed = n
	}
	// The next response on the connection has no deadline yet.
	return streamed, controller.SetWriteDeadline(time.Time{})
}

// StallTimeout returns the time within which a caller must take a part of a response.
func (r *Receiver) StallTimeout() time.Duration {
	timeout := r.IdleTimeout
	r.Carrier.View(func(s *steerer.Steerer) {
		if t := s.Limits().IdleTimeout; t > 0 {
			timeout = t
		}
	})
	return timeout
}

// chunkWriter gives each write a deadline.
type chunkWriter struct {
	writer      io.Writer
	setDeadline func(time.Time) error
	timeout     time.Duration
}

func (c *chunkWriter) Write(p []byte) (int, error) {
	if err := c.setDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.writer.Write(p)
}
