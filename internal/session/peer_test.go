package session

import (
	"slices"
	"time"

	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
)

type origin struct {
	node    *node
	target  *node
	id      string
	attempt int
}

// kill ends an instance. Whoever has handed work to it sees the connection break.
func (w *world) kill(name string) {
	dead := w.nodes[name]
	dead.alive = false
	for _, key := range sortedKeys(w.peers) {
		o := w.peers[key]
		if o.target != dead {
			continue
		}
		delete(w.peers, key)
		w.after(w.delay(dead.Domain, o.node.Domain), func() {
			w.deliver(o.node, message.PeerAnswered{ID: o.id, Attempt: o.attempt, Result: model.Result{
				Outcome: model.Unknown, Code: model.CodePeerFailed,
			}})
		})
	}
}

func (w *world) restart(name string) *node { return w.addNode(w.nodes[name].Instance) }

func (w *world) pause(name string, d time.Duration) {
	n := w.nodes[name]
	n.paused = true
	w.after(d, func() {
		n.paused = false
		held := n.held
		n.held = nil
		for _, e := range held {
			w.deliver(n, e)
		}
	})
}

// separate cuts or heals everything between a failure domain and the others,
// the platform included.
func (w *world) separate(domain string, cut bool) {
	w.store.away[domain] = cut
	for other := range w.regions {
		if other != domain {
			w.cut[[2]string{domain, other}] = cut
			w.cut[[2]string{other, domain}] = cut
		}
	}
}

func (w *world) delay(from, to string) time.Duration {
	if w.regions[from] == w.regions[to] {
		return nearDelay
	}
	return farDelay
}

func (w *world) reachable(a, b string) bool { return !w.cut[[2]string{a, b}] }

// ask runs a call on another instance and returns its answer to the first.
func (w *world) ask(n *node, peer model.Instance, answer func(*node) message.Event) {
	d := w.delay(n.Domain, peer.Domain)
	w.after(d, func() {
		p := w.nodes[peer.Name]
		if p == nil || !p.alive || p.paused || !w.reachable(n.Domain, p.Domain) {
			return
		}
		e := answer(p)
		if e != nil {
			w.after(d, func() { w.deliver(n, e) })
		}
	})
}

func (w *world) gossip(n *node, x message.SendGossip) {
	started := w.now
	w.traffic.add(n.Name, x.Peer.Name, x.Gossip)
	w.ask(n, x.Peer, func(p *node) message.Event {
		start := time.Now()
		effects := slices.Clone(p.reducer.Reduce(w.now, message.Gossiped{Gossip: x.Gossip}))
		w.reducing += time.Since(start)
		for _, reply := range effects {
			if r, ok := reply.(message.ReplyGossip); ok {
				w.traffic.add(p.Name, n.Name, r.Gossip)
				return message.GossipAnswered{Peer: x.Peer, Gossip: r.Gossip, Started: started}
			}
			w.execute(p, reply)
		}
		return nil
	})
}

func (w *world) forward(n *node, x message.Forward) {
	w.cross(n.Domain, x.Peer.Domain, x.Request.BodyBytes)
	d := w.delay(n.Domain, x.Peer.Domain)
	failed := message.PeerAnswered{ID: x.ID, Attempt: x.Attempt}
	w.after(d, func() {
		p := w.nodes[x.Peer.Name]
		switch {
		case p == nil || !p.alive || p.Incarnation != x.Peer.Incarnation && x.Request.Bound:
			failed.Result = model.Result{Outcome: model.NotRun, Code: model.CodePeerFailed}
			w.after(d, func() { w.deliver(n, failed) })
			return
		case !w.reachable(n.Domain, p.Domain):
		default:
			w.peers[p.Incarnation+x.Request.ID] = origin{node: n, target: p, id: x.ID, attempt: x.Attempt}
			w.deliver(p, message.Arrived{Request: x.Request})
		}
		// Whatever is not answered in time is unknown; a second end is ignored.
		failed.Result = model.Result{Outcome: model.Unknown, Code: model.CodePeerFailed}
		w.after(x.Deadline.Sub(w.now)+tick, func() { w.deliver(n, failed) })
	})
}

func (w *world) reply(n *node, x message.Reply) {
	if _, ok := w.denied[requestOf(x.ID)]; !ok && x.Result.Outcome == model.NotRun {
		w.denied[requestOf(x.ID)] = w.now
	}
	if o, ok := w.peers[n.Incarnation+x.ID]; ok {
		delete(w.peers, n.Incarnation+x.ID)
		w.cross(n.Domain, o.node.Domain, x.Result.AnswerBytes)
		if !w.reachable(n.Domain, o.node.Domain) {
			return
		}
		w.after(w.delay(n.Domain, o.node.Domain), func() {
			w.deliver(o.node, message.PeerAnswered{ID: o.id, Attempt: o.attempt, Result: x.Result})
		})
		return
	}
	i, ok := w.index[x.ID]
	if !ok {
		return
	}
	r := &w.results[i]
	if !r.at.IsZero() {
		w.t.Errorf("request %s is answered twice", x.ID)
	}
	r.at = w.now.Add(clientDelay)
	r.result = x.Result
}
