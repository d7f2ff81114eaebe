package traffic

import "time"

// Event is an input of the reducer.
type Event interface{ event() }

// Effect is an action that the reducer requests.
type Effect interface{ effect() }

// Arrived is a complete request from a caller. Call identifies it in this process.
type Arrived struct {
	Call    uint64
	Request Request
	// Read is when the first byte of the request was read.
	Read time.Time
}

// Starting asks, just before the first byte of a Send is written, whether it may still be
// sent. The effect Start allows it; without it the attempt ends unsent.
type Starting struct {
	Call    uint64
	Attempt int
}

// Ended reports the outcome of a Send.
type Ended struct {
	Call    uint64
	Attempt int
	Outcome Outcome
}

// RestEnded reports that the rest of a partial response has been read, or that its server has
// broken it off.
type RestEnded struct {
	Upstream Upstream
	// Err is why the response is not whole, or nil.
	Err error
}

// Overdue fires when the timer of a StartOverdueTimer expires.
type Overdue struct {
	Call    uint64
	Attempt int
}

// Expired fires at the deadline that an Admit set.
type Expired struct{ Call uint64 }

// CallerLeft reports that the caller has closed its connection.
type CallerLeft struct{ Call uint64 }

// Ticked fires several times a second. Late is how late it fires.
type Ticked struct{ Late time.Duration }

// PolicySeen reports a version of the policy in the store.
type PolicySeen struct {
	Policy   Policy
	Revision int64
}

// UpstreamSeen reports a server's record in the store.
type UpstreamSeen struct{ Upstream Upstream }

// UpstreamGone reports that a server's record is no longer in the store.
type UpstreamGone struct{ ID string }

// UpstreamsListed reports all servers that a full read of the store found.
type UpstreamsListed struct{ IDs map[string]bool }

// EvacuationSeen reports the evacuation of a failure domain: its servers must
// get no new requests.
type EvacuationSeen struct{ Domain string }

// EvacuationGone reports the end of an evacuation.
type EvacuationGone struct{ Domain string }

// EvacuationsListed reports all evacuations that a full read of the store found.
type EvacuationsListed struct{ Domains map[string]bool }

// InstanceSeen reports an instance's record in the store.
type InstanceSeen struct{ Instance Instance }

// InstanceGone reports that an instance's record is no longer in the store.
type InstanceGone struct {
	Name string
	// Revision is the store revision of the removal.
	Revision int64
}

// InstancesListed reports all instances that a full read of the store found.
type InstancesListed struct {
	Names map[string]bool
	// Revision is the store revision of the list.
	Revision int64
}

// RecordKept reports that this instance's own record is in the store.
type RecordKept struct {
	// Revision is the store revision of the newest write of the record.
	Revision int64
	// Lasts is how much longer the lease of the record lasts at least.
	Lasts time.Duration
}

// FleetSizeSeen reports the number of instances that the store remembers.
type FleetSizeSeen struct{ Instances int }

// StoreLost reports that the store has stopped responding.
type StoreLost struct{ Err error }

// StoreRegained reports that the store responds again.
type StoreRegained struct {
	// SinceFailure is the time since the start of the last call that failed. The outage
	// has not ended before that.
	SinceFailure time.Duration
}

// StoreRestored reports that the store has come back from a copy. What was written since the
// copy was made is gone until it is written again.
type StoreRestored struct {
	// Era is the store's new era.
	Era int64
	// Revision is the store revision as of which this is known.
	Revision int64
}

// FirstEra is the highest era of a store that may never have come back from a copy.
const FirstEra = 1

// StoreEraSeen reports the era of the store as of the first read, before its records.
type StoreEraSeen struct{ Era int64 }

// SettingsReloaded reports that the settings were reloaded.
type SettingsReloaded struct{ Settings Settings }

// ServingStarted reports that the listener for callers is open.
type ServingStarted struct{}

// StopRequested starts a graceful shutdown.
type StopRequested struct{}

// Suspended reports that the machine was suspended, which the clock has not counted.
type Suspended struct{ For time.Duration }

// LookUpRequested asks which instances a caller should use.
type LookUpRequested struct{ Query Query }

func (Arrived) event()           {}
func (Starting) event()          {}
func (Ended) event()             {}
func (RestEnded) event()         {}
func (Overdue) event()           {}
func (Expired) event()           {}
func (CallerLeft) event()        {}
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
func (RecordKept) event()        {}
func (FleetSizeSeen) event()     {}
func (StoreLost) event()         {}
func (StoreRegained) event()     {}
func (StoreRestored) event()     {}
func (StoreEraSeen) event()      {}
func (SettingsReloaded) event()  {}
func (ServingStarted) event()    {}
func (StopRequested) event()     {}
func (Suspended) event()         {}
func (LookUpRequested) event()   {}
