package pipeliner

import (
	"io"
	"net"
)

// source reads a connection. While a head is read, no more than limit bytes are.
type source struct {
	conn    net.Conn
	total   int64
	limited bool
	limit   int64
	// exceeded says that a head was longer.
	exceeded bool
}

func (s *source) Read(p []byte) (int, error) {
	if s.limited && s.limit <= 0 {
		s.exceeded = true
		return 0, io.EOF
	}
	if s.limited && int64(len(p)) > s.limit {
		p = p[:s.limit]
	}
	n, err := s.conn.Read(p)
	s.total += int64(n)
	s.limit -= int64(n)
	return n, err
}
