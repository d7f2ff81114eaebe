// Package ticketer issues and reads tickets: idempotency keys that are bound
// to one process and to a time.
//
// Work under a ticket runs only by decision of the process that issued it,
// which keeps the record in memory. So it runs at most once without any call
// of the store, and a ticket whose issuer is gone is never run again.
//
// Usage:
//
//	t := ticketer.Ticketer{Instance: "gent-a-1", Incarnation: "k3j", Lifetime: 10 * time.Minute}
//	key := t.Issue(now, random)
//	ticket, ok := t.Read(key)
package ticketer

import (
	"strconv"
	"strings"
	"time"

	"github.com/yuccathread/yuccathread/internal/model"
)

const (
	prefix    = "ytk1"
	separator = "."
	parts     = 5
	base      = 36
)

// Ticketer issues tickets for one incarnation of an instance.
type Ticketer struct {
	Instance    string
	Incarnation string
	Lifetime    time.Duration
}

// Issue returns a new ticket. random must differ between two tickets of the
// same millisecond.
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

// Read takes a ticket apart. A key that is no ticket returns false.
func (t *Ticketer) Read(key string) (model.Ticket, bool) {
	fields := strings.Split(key, separator)
	if len(fields) != parts || fields[0] != prefix {
		return model.Ticket{}, false
	}
	ms, err := strconv.ParseInt(fields[3], base, 64)
	if err != nil || ms < 0 {
		return model.Ticket{}, false
	}
	return model.Ticket{Instance: fields[1], Incarnation: fields[2], Issued: time.UnixMilli(ms)}, true
}

// Mine reports whether this process issued the ticket.
func (t *Ticketer) Mine(x model.Ticket) bool {
	return x.Instance == t.Instance && x.Incarnation == t.Incarnation
}

// Expired reports whether the ticket is past its lifetime or from the future.
func (t *Ticketer) Expired(x model.Ticket, now time.Time) bool {
	age := now.Sub(x.Issued)
	return age > t.Lifetime || age < -t.Lifetime
}
