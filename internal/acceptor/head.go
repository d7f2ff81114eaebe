package acceptor

import "bytes"

// head counts the lines of the head of a request up to the blank line at its end. What
// follows, be it a body or the next request, is not counted.
type head struct {
	lines int
	// filled is set while the line in progress is not blank.
	filled bool
	ended  bool
}

func (h *head) add(p []byte) {
	for !h.ended {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			h.filled = h.filled || len(bytes.TrimRight(p, "\r")) > 0
			return
		}
		blank := !h.filled && len(bytes.TrimRight(p[:end], "\r")) == 0
		h.ended = blank
		h.filled = false
		h.lines++
		p = p[end+1:]
	}
}
