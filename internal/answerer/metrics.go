package answerer

import (
	"github.com/rcrowley/go-metrics"

	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
)

func (a *Answerer) exchange(question model.Gossip) *model.Gossip {
	answer, ok := a.Engine.Do(message.Gossiped{Gossip: question}).(message.ReplyGossip)
	if !ok {
		return nil
	}
	return &answer.Gossip
}

// gauge sets the gauges from the reducer's status.
func (a *Answerer) gauge() {
	s := a.status()
	set := func(name string, value int64) {
		metrics.GetOrRegisterGauge(name, a.Registry).Update(value)
	}
	set("in_flight", int64(s.InFlight))
	set("once_only_records", int64(s.OnceOnlyRecords))
	set("configuration_version", s.ConfigurationVersion)
	set("table_revision", s.TableRevision)
	set("store_away", number(s.StoreAway))
	set("lease_valid", number(s.LeaseValid))
	set("ready", number(s.Ready))
	set("leaving", number(s.Leaving))
	for _, x := range s.Servers {
		set("server_in_flight."+x.Name, int64(x.InFlight))
		set("server_allowed."+x.Name, int64(x.Allowed))
	}
}

func number(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
