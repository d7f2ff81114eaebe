package reducer

import (
	"strconv"

	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
)

// handleConfigurationReceived applies a configuration with a higher version. Lower
// versions are ignored, whatever their source.
func (r *Reducer) handleConfigurationReceived(e message.ConfigurationReceived) {
	if e.Head.Version <= r.head.Version {
		return
	}
	r.head = e.Head
	r.policy = compilePolicy(e.Head.Version, e.Configuration)
	for _, s := range r.servers {
		s.slots = r.serviceSlots(s.Service)
	}
	for _, p := range r.pools {
		p.queue.Floors = r.policy.floors
	}
	r.rebuildPools()
	r.updateLinkLimits()
	r.record("configuration_in_force", "", strconv.FormatInt(e.Head.Version, 10), e.Source, e.Head.ChangeID)
}

// ConfigurationHead returns the head of the configuration in force; its version is
// 0 until the first configuration arrives.
func (r *Reducer) ConfigurationHead() model.Head {
	return r.head
}

// Table returns the failure domain's table as known here.
func (r *Reducer) Table() model.Table {
	return r.table.current
}

// Ready reports whether the instance can accept work: it has a configuration,
// has been running long enough to learn from gossip where the fleet sends
// traffic, and has read the store or received a table, or has waited long
// enough for either.
func (r *Reducer) Ready() bool {
	if r.policy == nil || r.now.Sub(r.started) < startupDelay {
		return false
	}
	return r.table.storeRead || r.table.current.Revision > 0 || r.now.Sub(r.started) > smallDomainSuspicion
}
