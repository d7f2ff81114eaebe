package timekeeper

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/model"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

func seconds(n float64) model.Duration {
	return model.Duration{Duration: time.Duration(n * float64(time.Second))}
}

// grid returns bounds from half to four times those of a small and of a large site.
func grid() []traffic.Bounds {
	var all []traffic.Bounds
	const returnWait = 2
	for _, factor := range []float64{0.5, 0.75, 1, 1.5, 2, 3, 4} {
		for _, b := range []traffic.Bounds{
			{Drain: seconds(2.5), Apply: seconds(2.5), Evacuation: seconds(5), Reconnect: seconds(3), Grace: seconds(6), LookUpLifetime: seconds(5)},
			{Drain: seconds(2.5), Apply: seconds(2.5), Evacuation: seconds(5), Reconnect: seconds(4), Grace: seconds(6)},
			{Drain: seconds(4), Apply: seconds(4), Evacuation: seconds(5), Reconnect: seconds(5), Grace: seconds(10), LookUpLifetime: seconds(0.5)},
		} {
			for _, d := range []*model.Duration{&b.Drain, &b.Apply, &b.Evacuation, &b.Reconnect, &b.Grace} {
				d.Duration = time.Duration(float64(d.Duration) * factor)
			}
			b.ReturnWait = seconds(returnWait)
			all = append(all, b)
		}
	}
	return all
}

// The worst case of each chain of steps must end within its bound.
func TestChainsEndWithinTheirBounds(t *testing.T) {
	const call = 100 * time.Millisecond
	for _, b := range grid() {
		k := Timekeeper{Bounds: b}
		assert.Equal(t, len(k.Check()), 0, "%+v", b)
		for _, bound := range []model.Duration{b.Drain, b.Apply, b.Evacuation} {
			assert.Assert(t, k.Pause()+call < bound.Duration, "%+v", b)
			lostReader := k.ReaderPause() + k.ReaderWait() + k.ReaderTimeout() + k.RelayWait() + k.RelayTimeout()
			assert.Assert(t, lostReader+call < bound.Duration, "%+v", b)
			// A reader may be as old as it says, and the next one may leave a call without a response.
			hungReader := k.RelayWait() + k.RelayTimeout()
			agedReader := k.ReaderAge() + hungReader
			assert.Assert(t, agedReader+call < bound.Duration, "%+v", b)
			assert.Assert(t, k.RelayLimit()+hungReader+call < bound.Duration, "%+v", b)
			// An instance that has called the store asks a reader again before the next call.
			assert.Assert(t, k.CallTime()+k.FallbackPause() < k.RelayLimit(), "%+v", b)
			// A reader's calls leave it fresh enough for the others.
			assert.Assert(t, k.ReaderWait()+k.ReaderPause()+k.ReaderTimeout() < k.ReaderAge(), "%+v", b)
			assert.Assert(t, k.Pause()+call < k.JoinDelay() && lostReader+call < k.JoinDelay(), "%+v", b)
			assert.Assert(t, agedReader+call < k.JoinDelay(), "%+v", b)
			assert.Assert(t, k.JoinDelay() >= shareWindow)
		}
		longestRetryDelay := k.RetryDelay() * 3 / 2
		assert.Assert(t, k.FollowWait()+k.FollowTimeout()+longestRetryDelay+call < b.Reconnect.Duration, "%+v", b)
		hungReader := k.RelayWait() + k.RelayTimeout()
		silentCall := k.FallbackWait() + k.FallbackTimeout() + longestRetryDelay + hungReader + call + longestRetryDelay
		assert.Assert(t, silentCall+call <= b.Reconnect.Duration, "%+v", b)
		for _, sinceFailure := range []time.Duration{0, k.ProbeTimeout(), k.ReadTimeout() + longestRetryDelay, b.Reconnect.Duration} {
			wait := k.LapsedRecordWait(sinceFailure)
			assert.Assert(t, sinceFailure >= b.Reconnect.Duration || sinceFailure+wait+call < b.Reconnect.Duration, "%+v", b)
		}
		assert.Assert(t, k.Lease()+k.Pause()+call < b.Reconnect.Duration+3*time.Second, "%+v", b)
		assert.Assert(t, 2*(k.RenewInterval()+k.LeaseRetryInterval()) < k.Lease(), "%+v", b)
	}
}

// Guards against look-ups that name an instance after its end, and against requests that
// are sent so late in a stop that its end cuts them off.
func TestStopEndsWithinTheGraceTime(t *testing.T) {
	const call = 40 * time.Millisecond
	for _, grace := range []float64{1, 1.5, 2, 3, 4, 6, 8, 10, 20, 30, 60} {
		for _, lifetime := range []float64{0, 0.5, 1, 2, 5, 20, 60} {
			for _, b := range grid() {
				b.Grace, b.LookUpLifetime = seconds(grace), seconds(lifetime)
				k := Timekeeper{Bounds: b}
				assert.Assert(t, k.LookUpLifetime() > 0, "%+v", b)
				assert.Assert(t, lifetime == 0 || k.LookUpLifetime() <= b.LookUpLifetime.Duration, "%+v", b)
				// Another instance names this one until it reads of the stop, and callers use
				// its result for three times as long as it says.
				othersKnow := k.Pause() + call
				assert.Assert(t, k.LookUpDrain() > othersKnow+3*k.LookUpLifetime(), "%+v", b)
				assert.Assert(t, k.LookUpDrain() <= b.Grace.Duration*8/10, "%+v", b)
				// A reader that is lost at the same time delays the news.
				lostReader := k.ReaderPause() + k.ReaderWait() + k.ReaderTimeout() + k.RelayWait() + k.RelayTimeout()
				assert.Assert(t, lostReader < b.Grace.Duration/2, "%+v", b)
				// What is sent within the window has more than a third of the grace time.
				assert.Assert(t, k.WorkWindow()+k.ExitMargin() < b.Grace.Duration*2/3, "%+v", b)
				assert.Assert(t, k.WorkWindow() < 3*time.Second, "%+v", b)
				assert.Assert(t, k.WorkWindow() < k.AnswerLimit() && k.AnswerLimit() < k.StopLimit() && k.StopLimit() < b.Grace.Duration, "%+v", b)
				// Work that is cut off was given the grace time but for its last sixth.
				assert.Assert(t, k.StopLimit() > b.Grace.Duration*5/6, "%+v", b)
			}
		}
	}
}

// Bounds that cannot be kept are findings, each with its field.
func TestBoundsThatCannotBeKept(t *testing.T) {
	valid := grid()[0]
	for field, shorten := range map[string]func(*traffic.Bounds){
		"/bounds/drain":      func(b *traffic.Bounds) { b.Drain = seconds(0.2) },
		"/bounds/apply":      func(b *traffic.Bounds) { b.Apply = seconds(0) },
		"/bounds/evacuation": func(b *traffic.Bounds) { b.Evacuation = seconds(-1) },
		"/bounds/reconnect":  func(b *traffic.Bounds) { b.Reconnect = seconds(0.9) },
		"/bounds/grace":      func(b *traffic.Bounds) { b.Grace = seconds(0.5) },
	} {
		b := valid
		shorten(&b)
		findings := (&Timekeeper{Bounds: b}).Check()
		assert.Equal(t, len(findings), 1, "%s: %v", field, findings)
		assert.Equal(t, findings[0].Field, field)
	}
	long := valid
	long.Drain, long.Apply, long.Evacuation, long.Grace = seconds(30), seconds(30), seconds(30), seconds(60)
	findings := (&Timekeeper{Bounds: long}).Check()
	assert.Equal(t, len(findings), 1, "a lease of no length: %v", findings)
}
