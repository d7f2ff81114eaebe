package steerer

import (
	"fmt"
	"log/slog"
	"math"
	"time"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

func attr(key string, value any) slog.Attr {
	if d, ok := value.(time.Duration); ok {
		return slog.Float64(key+"_ms", traffic.Milliseconds(d))
	}
	return slog.Any(key, value)
}

// recordStateChange logs a change of this instance's state or of what it knows
// about the configuration, the store, the servers and the other instances.
func (s *Steerer) recordStateChange(message string, attributes ...slog.Attr) {
	s.emit(traffic.Record{Level: slog.LevelInfo, Message: message, Attributes: attributes})
}

func (s *Steerer) recordDelivery(c *call, reply traffic.Reply) {
	s.emit(traffic.Record{
		Level:      slog.LevelInfo,
		Message:    "request answered",
		Frequent:   reply.Status < 500,
		Attributes: append(s.callAttributes(c), attr("status", reply.Status)),
	})
}

func (s *Steerer) recordRefusal(c *call, reason traffic.Refusal, fate traffic.Fate, retryAfter time.Duration) {
	attributes := append(s.callAttributes(c), attr("reason", string(reason)), attr("fate", string(fate)),
		attr("retry_after", retryAfter))
	if reason == traffic.OverQuota {
		attributes = append(attributes, s.quotaAttributes(c.organisation)...)
	}
	s.emit(traffic.Record{Level: slog.LevelWarn, Message: "request refused", Attributes: attributes})
}

func (s *Steerer) recordCallerLeft(c *call) {
	s.emit(traffic.Record{Level: slog.LevelInfo, Message: "caller left", Frequent: true, Attributes: s.callAttributes(c)})
}

// callAttributes returns the log attributes of a call and of the decisions
// about it.
func (s *Steerer) callAttributes(c *call) []slog.Attr {
	attributes := []slog.Attr{attr("request", c.request.ID), attr("call", c.number), attr("took", s.now.Sub(c.readAt))}
	if s.policy != nil {
		attributes = append(attributes, attr("version", s.policy.Version))
	}
	if c.route == nil {
		return append(attributes, attr("host", c.request.Host), attr("path", c.request.Path))
	}
	if c.organisation != nil {
		attributes = append(attributes, attr("organisation", c.organisation.Name))
	}
	attributes = append(attributes, attr("route", c.route.Name), attr("service", c.service),
		attr("object", c.request.Object), attr("limit", c.deadline.Sub(c.readAt)), attr("attempts", c.attempts),
		attr("eligible", c.lastChoice.eligible))
	if c.lastChoice.eligible > 0 {
		attributes = append(attributes, attr("expected", c.lastChoice.expected), attr("at_hand", c.lastChoice.cached),
			attr("server_load", math.Round(c.lastChoice.load*10)/10), attr("load_age", c.lastChoice.loadAge),
			attr("work", c.lastChoice.work), attr("server_work", c.lastChoice.remaining))
	}
	attributes = append(attributes, roomAttributes(c)...)
	if len(c.lastChoice.obstacles) > 0 {
		attributes = append(attributes, attr("obstacles", c.lastChoice.obstacles))
	}
	if c.attempts == 0 {
		return attributes
	}
	return append(attributes, attr("tried", fmt.Sprint(c.triedServers)))
}

// recordUnknown logs an attempt that may have run.
func (s *Steerer) recordUnknown(c *call, o traffic.Outcome) {
	s.emit(traffic.Record{
		Level:   slog.LevelWarn,
		Message: "attempt of unknown fate",
		Attributes: []slog.Attr{
			attr("request", c.request.ID), attr("call", c.number), attr("status", o.Reply.Status),
			attr("error", errorText(o.Err)), attr("took", o.Took),
		},
	})
}

// recordColdSend logs a request to a cold server: how many this instance has sent it
// within a second, its share of the bound, and by how many the bound is divided.
func (s *Steerer) recordColdSend(c *call, u *upstream) {
	instances, dividedBy := s.Division()
	s.emit(traffic.Record{
		Level:    slog.LevelInfo,
		Message:  "sent to a cold server",
		Frequent: true,
		Attributes: []slog.Attr{
			attr("request", c.request.ID), attr("call", c.number), attr("server", u.ID), attr("sent", u.pacer.Taken(s.now)),
			attr("share", s.coldLimit(u)), attr("instances", instances), attr("divided_by", dividedBy),
		},
	})
}

// recordWithdrawal logs an attempt that is not sent, since what was learned after the
// decision forbids it.
func (s *Steerer) recordWithdrawal(c *call, a *attempt, reason string) {
	s.emit(traffic.Record{
		Level:    slog.LevelInfo,
		Message:  "attempt withdrawn",
		Frequent: true,
		Attributes: []slog.Attr{
			attr("request", c.request.ID), attr("call", c.number), attr("server", a.server.ID), attr("reason", reason),
			attr("held_up", s.now.Sub(a.sentAt)),
		},
	})
}

// recordHedge logs a second attempt that is started while the first is overdue.
func (s *Steerer) recordHedge(c *call, a *attempt, choice choice) {
	s.emit(traffic.Record{
		Level:    slog.LevelInfo,
		Message:  "second attempt",
		Frequent: true,
		Attributes: append(s.callAttributes(c), attr("overdue", a.server.ID),
			attr("waited", s.now.Sub(a.sentAt)), attr("server", choice.server.ID), attr("fresh", choice.expected),
			attr("remaining", s.prospectOf(c, a, choice).remaining)),
	})
}
