package pipeliner

// line holds the exchanges of a connection that are in progress, in the order of their
// requests.
type line struct {
	first, last *exchange
	requests    int
	// bytes is what the requests have taken from the connection.
	bytes int64
}

func (l *line) isEmpty() bool { return l.requests == 0 }

// hasRoom reports whether another request may be read behind those in progress.
func (l *line) hasRoom(p *Pipeliner) bool {
	return l.requests < p.maxRequests() && l.bytes < p.maxBytes() && p.readsAhead() && l.last.mayBeFollowed()
}

func (l *line) add(x *exchange) {
	if l.last == nil {
		l.first = x
	} else {
		l.last.behind = x
	}
	l.last = x
	l.requests++
}

// charge counts what the request of an exchange holds.
func (l *line) charge(x *exchange, bytes int64) {
	if !x.left {
		x.bytes = bytes
		l.bytes += bytes
	}
}

// remove takes out an exchange: the first one, or any one after the connection was severed,
// when the order does not matter any more.
func (l *line) remove(x *exchange) {
	x.left = true
	l.requests--
	l.bytes -= x.bytes
	if l.first == x {
		l.first = x.behind
	}
	if l.first == nil {
		l.last = nil
	}
}
