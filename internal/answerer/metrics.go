package answerer

import (
	"github.com/rcrowley/go-metrics"

	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
)

func (a *Answerer) replyToGossip(request model.Gossip) *model.Gossip {
	answer, ok := a.Engine.Handle(message.GossipReceived{Gossip: request}).(message.ReplyGossip)
	if !ok {
		return nil
	}
	return &answer.Gossip
}

// updateGauges sets the gauges from the reducer's status.
func (a *Answerer) updateGauges() {
	s := a.status()
	set := func(name string, value int64) {
		metrics.GetOrRegisterGauge(name, a.Registry).Update(value)
	}
	set("in_flight", int64(s.InFlight))
	set("once_only_records", int64(s.OnceOnlyRecords))
	set("configuration_version", s.ConfigurationVersion)
	set("table_revision", s.TableRevision)
	set("store_away", boolToInt64(s.StoreAway))
	set("lease_valid", boolToInt64(s.LeaseValid))
	set("ready", boolToInt64(s.Ready))
	set("leaving", boolToInt64(s.Leaving))
	for _, server := range s.Servers {
		set("server_in_flight."+server.Name, int64(server.InFlight))
		set("server_allowed."+server.Name, int64(server.Allowed))
	}
}

func boolToInt64(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
