// Package ticketer issues and parses tickets: idempotency keys that contain the
// process that issued them and the time of issue.
//
// Only the process that issued a ticket may decide to run the work for it, and it
// keeps the record in memory. The work therefore runs at most once without any use
// of the store, and it is never started after the issuing process has ended.
//
// Usage:
//
//	t := ticketer.Ticketer{Instance: "gent-a-1", Incarnation: "k3j", Lifetime: 10 * time.Minute}
//	key := t.Issue(now, random)
//	ticket, ok := t.Parse(key)
package ticketer

import (
	"strconv"
	"strings"
	"time"

	"github.com/yuccathread/yuccathread/internal/model"
)

const (
	prefix     = "ytk1"
	separator  = "."
	fieldCount = 5
	base       = 36
)

// Ticketer issues tickets for one incarnation of an instance. Tickets expire after
// Lifetime.
type Ticketer struct {
	Instance    string
	Incarnation string
	Lifetime    time.Duration
}

// Issue returns a new ticket. random must differ between tickets issued in the same
// millisecond.
func (t *Ticketer) Issue(now time.Time, random uint64) string {
	fields := []string{
		prefix,
		t.Instance,
		t.Incarnation,
		strconv.FormatInt(now.UnixMilli(), base),
		strconv.FormatUint(random, base),
	}
	return strings.Join(fields, separator)
}

// Parse decodes a ticket. It returns false if the key is not a ticket.
func (t *Ticketer) Parse(key string) (model.Ticket, bool) {
	fields := strings.Split(key, separator)
	if len(fields) != fieldCount || fields[0] != prefix {
		return model.Ticket{}, false
	}
	issuedMS, err := strconv.ParseInt(fields[3], base, 64)
	if err != nil || issuedMS < 0 {
		return model.Ticket{}, false
	}
	return model.Ticket{Instance: fields[1], Incarnation: fields[2], Issued: time.UnixMilli(issuedMS)}, true
}

// IssuedHere reports whether this incarnation of the instance issued the ticket.
func (t *Ticketer) IssuedHere(ticket model.Ticket) bool {
	return ticket.Instance == t.Instance && ticket.Incarnation == t.Incarnation
}

// Expired reports whether the ticket was issued more than Lifetime ago or more than
// Lifetime in the future.
func (t *Ticketer) Expired(ticket model.Ticket, now time.Time) bool {
	age := now.Sub(ticket.Issued)
	return age > t.Lifetime || age < -t.Lifetime
}
