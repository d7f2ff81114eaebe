package executor

import (
	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
)

func (x *Executor) sendGossip(e message.SendGossip) {
	started := x.Clock.Now()
	reply, err := x.Gossiper.Exchange(e.Peer.PeerAddress, e.Gossip)
	if err != nil {
		x.engine.Handle(message.GossipFailed{Peer: e.Peer})
		return
	}
	x.engine.Handle(message.GossipReplied{Peer: e.Peer, Gossip: reply, StartedAt: started})
}

func (x *Executor) fetchConfiguration(peer model.Instance) {
	head, err := x.Gossiper.Configuration(peer.PeerAddress)
	if err != nil {
		x.Logger.Debug("configuration not fetched", "peer", peer.Name, "error", err)
		return
	}
	x.ApplyConfiguration(head, peer.Name)
}

func (x *Executor) fetchTable(peer model.Instance) {
	table, err := x.Gossiper.Table(peer.PeerAddress)
	if err != nil {
		x.Logger.Debug("table not fetched", "peer", peer.Name, "error", err)
		return
	}
	x.engine.Handle(message.TableFetched{Table: table})
}
