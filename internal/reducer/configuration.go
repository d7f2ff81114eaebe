package reducer

import (
	"strconv"

	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
)

// configurationSeen puts a higher version in force. Lower ones are ignored,
// wherever they come from.
func (r *Reducer) configurationSeen(e message.ConfigurationSeen) {
	if e.Head.Version <= r.head.Version {
		return
	}
	r.head = e.Head
	r.policy = compile(e.Head.Version, e.Configuration)
	for _, s := range r.servers {
		s.slots = r.slots(s.Service)
	}
	for _, p := range r.pools {
		p.queue.Floors = r.policy.floors
	}
	r.rebuildPools()
	r.limitLinks()
	r.note("configuration_in_force", "", strconv.FormatInt(e.Head.Version, 10), e.Source, e.Head.ChangeID)
}

// Head returns the configuration in force; its version is 0 before the first.
func (r *Reducer) Head() model.Head {
	return r.head
}

// Table returns the failure domain's table as known here.
func (r *Reducer) Table() model.Table {
	return r.table.table
}

// Ready reports whether the instance can take work: it has a configuration,
// has listened for a while to where the fleet sends traffic, and has read its
// table or waited long enough for the store.
func (r *Reducer) Ready() bool {
	if r.policy == nil || r.now.Sub(r.started) < settleTime {
		return false
	}
	return r.table.read || r.table.table.Revision > 0 || r.now.Sub(r.started) > smallSuspicion
}
