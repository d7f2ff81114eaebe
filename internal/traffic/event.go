package traffic

import "time"

// Event is something that happened.
type Event interface{ event() }

// Effect is something to be done.
type Effect interface{ effect() }

// Arrived is a whole request from a caller. Call numbers it in this process.
type Arrived struct {
	Call    uint64
	Request Request
	// Read is when the first byte of the request was taken in.
	Read time.Time
}

// Ended is the end of a Send.
type Ended struct {
	Call    uint64
	Attempt int
	Outcome Outcome
}

// Overdue fires at the time that a Watch named.
type Overdue struct {
	Call    uint64
	Attempt int
}

// Expired fires at the time that an Admit named.
type Expired struct{ Call uint64 }

// Left says that the caller has closed its connection.
type Left struct{ Call uint64 }

// Ticked comes several times a second.
type Ticked struct{}

// PolicySeen is a configuration in the store.
type PolicySeen struct {
	Policy   Policy
	Revision int64
}

// UpstreamSeen is a server's record in the store.
type UpstreamSeen struct{ Upstream Upstream }

// UpstreamGone says that the store holds no record of a server any more.
type UpstreamGone struct{ ID string }

// UpstreamsListed says which servers a full read of the store found.
type UpstreamsListed struct{ IDs map[string]bool }

// EvacuationSeen says that a failure domain's servers get nothing more.
type EvacuationSeen struct{ Domain string }

// EvacuationGone ends an evacuation.
type EvacuationGone struct{ Domain string }

// EvacuationsListed says which evacuations a full read of the store found.
type EvacuationsListed struct{ Domains map[string]bool }

// InstanceSeen is an instance's record in the store.
type InstanceSeen struct{ Instance Instance }

// InstanceGone says that an instance's record has gone.
type InstanceGone struct{ Name string }

// InstancesListed says which instances a full read of the store found.
type InstancesListed struct{ Names map[string]bool }

// StoreLost says that the store has stopped answering.
type StoreLost struct{ Err error }

// StoreRegained says that the store answers again.
type StoreRegained struct{}

// SettingsReloaded says that the settings were read again.
type SettingsReloaded struct{ Settings Settings }

// ServingStarted says that the callers' address is open.
type ServingStarted struct{}

// StopRequested starts a graceful shutdown.
type StopRequested struct{}

// LookedUp asks which instances a caller should use.
type LookedUp struct{ Query Query }

func (Arrived) event()           {}
func (Ended) event()             {}
func (Overdue) event()           {}
func (Expired) event()           {}
func (Left) event()              {}
func (Ticked) event()            {}
func (PolicySeen) event()        {}
func (UpstreamSeen) event()      {}
func (UpstreamGone) event()      {}
func (UpstreamsListed) event()   {}
func (EvacuationSeen) event()    {}
func (EvacuationGone) event()    {}
func (EvacuationsListed) event() {}
func (InstanceSeen) event()      {}
func (InstanceGone) event()      {}
func (InstancesListed) event()   {}
func (StoreLost) event()         {}
func (StoreRegained) event()     {}
func (SettingsReloaded) event()  {}
func (ServingStarted) event()    {}
func (StopRequested) event()     {}
func (LookedUp) event()          {}
