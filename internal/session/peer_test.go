package session

import (
	"slices"
	"time"

	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
)

type pendingForward struct {
	source  *simulatedInstance
	target  *simulatedInstance
	id      string
	attempt int
}

// kill stops an instance without notice. Instances that have forwarded work to it
// see their connections fail.
func (sim *simulation) kill(name string) {
	killed := sim.instances[name]
	killed.alive = false
	for _, key := range sortedKeys(sim.pendingForwards) {
		pending := sim.pendingForwards[key]
		if pending.target != killed {
			continue
		}
		delete(sim.pendingForwards, key)
		sim.after(sim.delay(killed.Domain, pending.source.Domain), func() {
			sim.deliver(pending.source, message.ForwardDone{ID: pending.id, Attempt: pending.attempt, Result: model.Result{
				Outcome: model.Unknown, Code: model.CodePeerFailed,
			}})
		})
	}
}

func (sim *simulation) restart(name string) *simulatedInstance {
	return sim.addInstance(sim.instances[name].Instance)
}

func (sim *simulation) pause(name string, d time.Duration) {
	inst := sim.instances[name]
	inst.paused = true
	sim.after(d, func() {
		inst.paused = false
		heldEvents := inst.heldEvents
		inst.heldEvents = nil
		for _, event := range heldEvents {
			sim.deliver(inst, event)
		}
	})
}

// setDisconnected cuts or restores the network between a failure domain and all
// others, and between the domain and the platform.
func (sim *simulation) setDisconnected(domain string, disconnected bool) {
	sim.store.unreachableFrom[domain] = disconnected
	for other := range sim.regionOf {
		if other != domain {
			sim.disconnected[[2]string{domain, other}] = disconnected
			sim.disconnected[[2]string{other, domain}] = disconnected
		}
	}
}

func (sim *simulation) delay(from, to string) time.Duration {
	if sim.regionOf[from] == sim.regionOf[to] {
		return sameRegionDelay
	}
	return crossRegionDelay
}

func (sim *simulation) connected(a, b string) bool { return !sim.disconnected[[2]string{a, b}] }

// callPeer calls another instance and delivers its answer to the calling instance.
// There is no answer if the other instance is down, paused or unreachable.
func (sim *simulation) callPeer(inst *simulatedInstance, target model.Instance, answer func(*simulatedInstance) message.Event) {
	oneWay := sim.delay(inst.Domain, target.Domain)
	sim.after(oneWay, func() {
		peer := sim.instances[target.Name]
		if peer == nil || !peer.alive || peer.paused || !sim.connected(inst.Domain, peer.Domain) {
			return
		}
		event := answer(peer)
		if event != nil {
			sim.after(oneWay, func() { sim.deliver(inst, event) })
		}
	})
}

func (sim *simulation) gossip(inst *simulatedInstance, outgoing message.SendGossip) {
	started := sim.now
	sim.gossipTraffic.add(inst.Name, outgoing.Peer.Name, outgoing.Gossip)
	sim.callPeer(inst, outgoing.Peer, func(peer *simulatedInstance) message.Event {
		start := time.Now()
		effects := slices.Clone(peer.reducer.Reduce(sim.now, message.GossipReceived{Gossip: outgoing.Gossip}))
		sim.reducerTime += time.Since(start)
		for _, effect := range effects {
			if reply, ok := effect.(message.ReplyGossip); ok {
				sim.gossipTraffic.add(peer.Name, inst.Name, reply.Gossip)
				return message.GossipReplied{Peer: outgoing.Peer, Gossip: reply.Gossip, StartedAt: started}
			}
			sim.execute(peer, effect)
		}
		return nil
	})
}

func (sim *simulation) forward(inst *simulatedInstance, forwarded message.Forward) {
	sim.countCrossRegion(inst.Domain, forwarded.Peer.Domain, forwarded.Request.BodyBytes)
	oneWay := sim.delay(inst.Domain, forwarded.Peer.Domain)
	failed := message.ForwardDone{ID: forwarded.ID, Attempt: forwarded.Attempt}
	sim.after(oneWay, func() {
		peer := sim.instances[forwarded.Peer.Name]
		switch {
		case peer == nil || !peer.alive || peer.Incarnation != forwarded.Peer.Incarnation && forwarded.Request.Bound:
			failed.Result = model.Result{Outcome: model.NotRun, Code: model.CodePeerFailed}
			sim.after(oneWay, func() { sim.deliver(inst, failed) })
			return
		case !sim.connected(inst.Domain, peer.Domain):
		default:
			sim.pendingForwards[peer.Incarnation+forwarded.Request.ID] = pendingForward{source: inst, target: peer, id: forwarded.ID, attempt: forwarded.Attempt}
			sim.deliver(peer, message.Arrived{Request: forwarded.Request})
		}
		// A request without an answer in time ends as unknown. The reducer ignores
		// this event if it already has an answer.
		failed.Result = model.Result{Outcome: model.Unknown, Code: model.CodePeerFailed}
		sim.after(forwarded.Deadline.Sub(sim.now)+tickInterval, func() { sim.deliver(inst, failed) })
	})
}

func (sim *simulation) reply(inst *simulatedInstance, answer message.Reply) {
	if _, ok := sim.deniedAt[requestOf(answer.ID)]; !ok && answer.Result.Outcome == model.NotRun {
		sim.deniedAt[requestOf(answer.ID)] = sim.now
	}
	if pending, ok := sim.pendingForwards[inst.Incarnation+answer.ID]; ok {
		delete(sim.pendingForwards, inst.Incarnation+answer.ID)
		sim.countCrossRegion(inst.Domain, pending.source.Domain, answer.Result.AnswerBytes)
		if !sim.connected(inst.Domain, pending.source.Domain) {
			return
		}
		sim.after(sim.delay(inst.Domain, pending.source.Domain), func() {
			sim.deliver(pending.source, message.ForwardDone{ID: pending.id, Attempt: pending.attempt, Result: answer.Result})
		})
		return
	}
	i, ok := sim.requestIndex[answer.ID]
	if !ok {
		return
	}
	r := &sim.requests[i]
	if !r.answeredAt.IsZero() {
		sim.t.Errorf("request %s was answered twice", answer.ID)
	}
	r.answeredAt = sim.now.Add(clientDelay)
	r.result = answer.Result
}
