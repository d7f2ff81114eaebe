package ticketer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/ticketer"
)

var now = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func TestIssuedTicketIsParsed(t *testing.T) {
	issuer := ticketer.Ticketer{Instance: "gent-a-1", Incarnation: "x1", Lifetime: time.Minute}
	successor := ticketer.Ticketer{Instance: "gent-a-1", Incarnation: "x2", Lifetime: time.Minute}
	ticket, ok := issuer.Parse(issuer.Issue(now, 7))
	assert.Assert(t, ok)
	assert.Assert(t, issuer.IssuedHere(ticket) && !successor.IssuedHere(ticket), "a ticket belongs only to the incarnation that issued it")
	assert.Assert(t, !issuer.Expired(ticket, now.Add(time.Minute)))
	assert.Assert(t, issuer.Expired(ticket, now.Add(time.Minute+time.Millisecond)))
	assert.Assert(t, issuer.Expired(ticket, now.Add(-2*time.Minute)), "a ticket issued in the future is not expired")
}

func FuzzParse(f *testing.F) {
	issuer := ticketer.Ticketer{Instance: "a", Incarnation: "b", Lifetime: time.Minute}
	f.Add(issuer.Issue(now, 1))
	f.Add("ytk1....")
	f.Fuzz(func(t *testing.T, key string) {
		if ticket, ok := issuer.Parse(key); ok && ticket.Issued.Before(time.Unix(0, 0)) {
			t.Fatalf("ticket %q was issued before 1970", key)
		}
	})
}
