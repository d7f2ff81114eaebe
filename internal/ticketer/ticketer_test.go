package ticketer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/ticketer"
)

var now = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func TestTicketIsReadBack(t *testing.T) {
	mine := ticketer.Ticketer{Instance: "gent-a-1", Incarnation: "x1", Lifetime: time.Minute}
	other := ticketer.Ticketer{Instance: "gent-a-1", Incarnation: "x2", Lifetime: time.Minute}
	ticket, ok := mine.Read(mine.Issue(now, 7))
	assert.Assert(t, ok)
	assert.Assert(t, mine.Mine(ticket) && !other.Mine(ticket), "another incarnation's ticket is not its successor's")
	assert.Assert(t, !mine.Expired(ticket, now.Add(time.Minute)))
	assert.Assert(t, mine.Expired(ticket, now.Add(time.Minute+time.Millisecond)))
	assert.Assert(t, mine.Expired(ticket, now.Add(-2*time.Minute)), "from the future")
}

func FuzzRead(f *testing.F) {
	x := ticketer.Ticketer{Instance: "a", Incarnation: "b", Lifetime: time.Minute}
	f.Add(x.Issue(now, 1))
	f.Add("ytk1....")
	f.Fuzz(func(t *testing.T, key string) {
		if ticket, ok := x.Read(key); ok && ticket.Issued.Before(time.Unix(0, 0)) {
			t.Fatalf("%q is from before 1970", key)
		}
	})
}
