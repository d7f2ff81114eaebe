// Package timekeeper derives the intervals and timeouts of an instance from the
// bounds that the operators set, so that the worst case of each chain of steps ends
// within its bound:
//
//	calm store:    pause, call                                        <= Drain, Apply, Evacuation
//	lost reader:   its age, a relayed call, call                      <= Drain, Apply, Evacuation
//	no reader:     call, fallback pause, a relayed call, call         <= Drain, Apply, Evacuation
//	deaf watch:    wait, timeout, retry delay, full read              <= Reconnect
//	silent call:   fallback wait and timeout, retry delay, a relayed
//	               call, retry delay, full read                       <= Reconnect
//	left server:   probe of the store, retry delay, record wait       <= Reconnect
//	new instance:  pause, call                                        <= JoinDelay
//	dead instance: lease, pause, call                                 <= Reconnect + removalSlack
//	stop:          pause, call, cached results of look-ups            <= lookUpDrainPercent of Grace
//	late request:  its own limit, answer margin, exit margin          <= Grace
//
// A watch is deaf if it hears of no change although its connection is open.
//
// Usage:
//
//	k := timekeeper.Timekeeper{Bounds: settings.Bounds}
//	changes, err := store.Follow(ctx, revision, k.FollowWait(), k.FollowWait()+k.FollowTimeout())
//	findings := k.Check()   // bounds that are too short to be kept
package timekeeper

import (
	"time"

	"github.com/yuccathread/yuccathread/internal/model"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

// The steps of a chain as percentages of its bound. What they leave is for calls
// and for late timers.
const (
	pausePercent         = 55
	followWaitPercent    = 50
	followTimeoutPercent = 18
	retryDelayPercent    = 8
	readTimeoutPercent   = 40
	probeTimeoutPercent  = 18
	readerPausePercent   = 15
	readerWaitPercent    = 26
	readerTimeoutPercent = 12
	relayWaitPercent     = 14
	relayTimeoutPercent  = 12
	readerAgePercent     = 60
	relayLimitPercent    = 62
	fallbackPausePercent = 40
	// The wait and the timeout of a call to the store in place of one to a reader.
	fallbackWaitPercent    = 14
	fallbackTimeoutPercent = 14
	maxCallPercent         = 10
	exitMarginPercent      = 7
	answerMarginPercent    = 3
	workWindowPercent      = 45
	// Look-ups must not name a stopping instance later than this part of the grace time,
	// and the others must know of the stop within stopNewsPercent of it.
	lookUpDrainPercent = 80
	stopNewsPercent    = 55
	stopCallPercent    = 4
	cacheMarginPercent = 2
)

const (
	// removalSlack is how much later than Reconnect a dead instance may still be in
	// the results of look-ups.
	removalSlack = 3 * time.Second
	// callAllowance is the time for one call to the store and for late timers.
	callAllowance = 400 * time.Millisecond
	// renewalsPerLease leaves time for two failed renewals within a lease.
	renewalsPerLease = 3
	// retriesPerLease and callsPerLease divide a lease into the pause after a failed
	// call and the timeout of a call.
	retriesPerLease = 12
	callsPerLease   = 4
	// shareWindow is the span within which the events of a shared bound are counted.
	shareWindow = time.Second
	// maxLookUpLifetime is short, so that callers soon stop using an instance that
	// stops.
	maxLookUpLifetime = time.Second
	// cacheFactor is how many times the lifetime of a result callers may use it.
	cacheFactor = 3
	// maxCacheMargin is added to the time for which callers may use a result.
	maxCacheMargin = 200 * time.Millisecond
	// callerNotice is the time after a stop request within which callers can't know of the
	// stop. Requests that they send later must not be cut off by it.
	callerNotice = 3 * time.Second
)

// The shortest bounds that can be kept, given the duration of calls to a store and
// the shortest lease that it grants.
const (
	minPause     = 200 * time.Millisecond
	minReconnect = time.Second
	minLease     = time.Second
	minGrace     = time.Second
)

// Timekeeper derives times from bounds. Set Bounds before the first call.
type Timekeeper struct {
	Bounds traffic.Bounds
}

// Pause is the time between two calls that follow the store. One call then returns
// several changes.
func (k *Timekeeper) Pause() time.Duration {
	return k.changeBound() * pausePercent / 100
}

// changeBound is the shortest time within which a change in the store must be in
// force, the stop of another instance included.
func (k *Timekeeper) changeBound() time.Duration {
	return min(k.Bounds.Drain.Duration, k.Bounds.Apply.Duration, k.Bounds.Evacuation.Duration, k.ofGrace(stopNewsPercent))
}

// ReaderPause is the pause of an instance that follows the store for others too.
func (k *Timekeeper) ReaderPause() time.Duration {
	return k.changeBound() * readerPausePercent / 100
}

// ReaderWait is how long a call of such an instance waits for changes.
func (k *Timekeeper) ReaderWait() time.Duration {
	return k.changeBound() * readerWaitPercent / 100
}

// ReaderTimeout is how much later than its wait such a call may respond.
func (k *Timekeeper) ReaderTimeout() time.Duration {
	return k.changeBound() * readerTimeoutPercent / 100
}

// RelayWait is how long a call to such an instance waits for changes.
func (k *Timekeeper) RelayWait() time.Duration {
	return k.relayBound() * relayWaitPercent / 100
}

// relayBound is the bound of which a call to such an instance is a part: it comes in the
// chains of changes and of a silent call.
func (k *Timekeeper) relayBound() time.Duration {
	return min(k.changeBound(), k.Bounds.Reconnect.Duration)
}

// RelayTimeout is how much later than its wait such a call may respond.
func (k *Timekeeper) RelayTimeout() time.Duration {
	return k.relayBound() * relayTimeoutPercent / 100
}

// FallbackWait is how long a call to the store waits for changes if no reader has them.
func (k *Timekeeper) FallbackWait() time.Duration {
	return k.Bounds.Reconnect.Duration * fallbackWaitPercent / 100
}

// FallbackTimeout is how much later than its wait such a call may respond.
func (k *Timekeeper) FallbackTimeout() time.Duration {
	return k.Bounds.Reconnect.Duration * fallbackTimeoutPercent / 100
}

// ReaderAge is the greatest age of what an instance that follows the store for others may
// know: the wait of a call that returned a change, the pause and the next call.
func (k *Timekeeper) ReaderAge() time.Duration {
	return k.changeBound() * readerAgePercent / 100
}

// FallbackPause is the pause of an instance that has called the store since those that
// follow it for others did not answer. After the pause it asks them again first.
func (k *Timekeeper) FallbackPause() time.Duration {
	return k.changeBound() * fallbackPausePercent / 100
}

// CallTime is the time for a call to the store that does not wait.
func (k *Timekeeper) CallTime() time.Duration {
	return min(callAllowance, k.changeBound()*maxCallPercent/100)
}

// RelayLimit is the age of what an instance knows from which on it asks nobody but the
// store, since another call could take until the end of the bound.
func (k *Timekeeper) RelayLimit() time.Duration {
	return k.changeBound() * relayLimitPercent / 100
}

// FollowWait is how long one call waits for changes.
func (k *Timekeeper) FollowWait() time.Duration {
	return k.ofReconnect(followWaitPercent)
}

// FollowTimeout is how much later than its wait a call may respond.
func (k *Timekeeper) FollowTimeout() time.Duration {
	return k.ofReconnect(followTimeoutPercent)
}

// RetryDelay is the mean pause after a failed call. The pause is at most one and a
// half times as long.
func (k *Timekeeper) RetryDelay() time.Duration {
	return k.ofReconnect(retryDelayPercent)
}

// ReadTimeout is how long a full read may go without receiving data.
func (k *Timekeeper) ReadTimeout() time.Duration {
	return k.ofReconnect(readTimeoutPercent)
}

// ProbeTimeout is the shorter timeout of calls while the store is unavailable: a
// call that hangs must not delay noticing that the store is back.
func (k *Timekeeper) ProbeTimeout() time.Duration {
	return k.ofReconnect(probeTimeoutPercent)
}

func (k *Timekeeper) ofReconnect(percent time.Duration) time.Duration {
	return k.Bounds.Reconnect.Duration * percent / 100
}

// LapsedRecordWait is how long after an outage a record that is missing from the store
// is waited for. sinceFailure is the time since the outage was last seen. Where it is
// long, the outage may have ended long ago, and the wait is shorter: a server that has
// left for good must not be used longer than Reconnect after the outage.
func (k *Timekeeper) LapsedRecordWait(sinceFailure time.Duration) time.Duration {
	return max(0, min(k.Bounds.ReturnWait.Duration, k.Bounds.Reconnect.Duration-sinceFailure-callAllowance))
}

// RestorationWait is how long after a store has come back from a copy its records may lack
// what it had acknowledged. Their owners have written it again by then.
func (k *Timekeeper) RestorationWait() time.Duration {
	return k.Bounds.ReturnWait.Duration + callAllowance
}

// Lease is the time to live of an instance's record.
func (k *Timekeeper) Lease() time.Duration {
	return k.Bounds.Reconnect.Duration + removalSlack - k.Pause() - callAllowance
}

// RenewInterval is the time between two renewals of the lease.
func (k *Timekeeper) RenewInterval() time.Duration {
	return k.Lease() / renewalsPerLease
}

// LeaseRetryInterval is the pause after a failed call about the lease.
func (k *Timekeeper) LeaseRetryInterval() time.Duration {
	return k.Lease() / retriesPerLease
}

// LeaseCallTimeout bounds one call about the lease.
func (k *Timekeeper) LeaseCallTimeout() time.Duration {
	return k.Lease() / callsPerLease
}

// JoinDelay is how long after the write of its record an instance waits before it uses a
// share of a bound that all instances keep together. By then all others know of it and
// have lowered their own shares, and what an earlier process of the same name has sent
// counts no longer.
func (k *Timekeeper) JoinDelay() time.Duration {
	return max(k.changeBound(), shareWindow)
}

// LookUpLifetime is how long a caller may cache the result of a look-up.
func (k *Timekeeper) LookUpLifetime() time.Duration {
	cached := k.ofGrace(lookUpDrainPercent) - k.stopNews() - k.cacheMargin()
	lifetime := min(maxLookUpLifetime, cached/cacheFactor)
	if limit := k.Bounds.LookUpLifetime.Duration; limit > 0 {
		lifetime = min(lifetime, limit)
	}
	return lifetime
}

// LookUpDrain is how long after the store has taken the news of a stop callers may still
// use the result of a look-up that names the stopping instance: others go on naming it
// until they know, and callers cache what they were told.
func (k *Timekeeper) LookUpDrain() time.Duration {
	return k.stopNews() + cacheFactor*k.LookUpLifetime() + k.cacheMargin()
}

// stopNews is how soon the others know of a stop that the store has taken.
func (k *Timekeeper) stopNews() time.Duration {
	return k.Pause() + min(callAllowance, k.ofGrace(stopCallPercent))
}

func (k *Timekeeper) cacheMargin() time.Duration {
	return min(maxCacheMargin, k.ofGrace(cacheMarginPercent))
}

// WorkWindow is how long after a stop request requests are still sent to servers whatever
// time they may take. What is sent later must end within AnswerLimit by its own limit.
func (k *Timekeeper) WorkWindow() time.Duration {
	return min(callerNotice-callAllowance, k.ofGrace(workWindowPercent))
}

// AnswerLimit is how long after a stop request a response can surely be delivered.
func (k *Timekeeper) AnswerLimit() time.Duration {
	return k.StopLimit() - k.ofGrace(answerMarginPercent)
}

// StopLimit is how long after a stop request the process ends at the latest.
func (k *Timekeeper) StopLimit() time.Duration {
	return k.Bounds.Grace.Duration - k.ExitMargin()
}

// ExitMargin is the part of the grace period that is kept for the exit of the
// process.
func (k *Timekeeper) ExitMargin() time.Duration {
	return k.ofGrace(exitMarginPercent)
}

func (k *Timekeeper) ofGrace(percent time.Duration) time.Duration {
	return k.Bounds.Grace.Duration * percent / 100
}

// Check returns a finding for each bound that is too short to be kept.
func (k *Timekeeper) Check() []model.Finding {
	var findings []model.Finding
	add := func(short bool, field string, shortest time.Duration) {
		if short {
			findings = append(findings, model.Finding{Field: field, Message: "must be at least " + shortest.String()})
		}
	}
	const shortestChange = minPause * 100 / pausePercent
	add(k.Bounds.Drain.Duration < shortestChange, "/bounds/drain", shortestChange)
	add(k.Bounds.Apply.Duration < shortestChange, "/bounds/apply", shortestChange)
	add(k.Bounds.Evacuation.Duration < shortestChange, "/bounds/evacuation", shortestChange)
	add(k.Bounds.Reconnect.Duration < minReconnect, "/bounds/reconnect", minReconnect)
	add(k.Bounds.Grace.Duration < minGrace, "/bounds/grace", minGrace)
	if k.Lease() < minLease {
		findings = append(findings, model.Finding{
			Field:   "/bounds/reconnect",
			Message: "must be longer beside these bounds: the lease of a record would be shorter than " + minLease.String(),
		})
	}
	return findings
}
