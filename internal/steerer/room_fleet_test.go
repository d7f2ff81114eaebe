package steerer

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	surgeStart = 8
	surgeEnd   = 14
)

// roomLoad is a load that some organisations or kinds raise for six seconds.
type roomLoad struct {
	name string
	// hot organisations send six times their usual.
	hot []string
	// burst multiplies the demand of each kind.
	burst [3]float64
	// scale sets the usual demand; the default takes three quarters of the room.
	scale float64
	// impatient callers repeat at once.
	impatient bool
	// swapped makes the kind with the most work the most urgent one.
	swapped bool
	// oneRank gives all organisations the same rank.
	oneRank bool
	// instances is the number of instances of each region that the callers of an
	// organisation use, or 0 if they use all.
	instances int
	// slots is the number of slots of each server, nine if it is zero.
	slots int
}

// roomTraffic returns the traffic of a load, of three ranks unless all have the same.
func roomTraffic(l roomLoad) []requestKind {
	kinds := siteTraffic()
	if l.swapped {
		kinds[0], kinds[1] = kinds[1], kinds[0]
	}
	for i := range kinds {
		kinds[i].ratePerSecond *= cmp.Or(l.scale, 2)
		if factor := l.burst[i]; factor > 0 {
			kinds[i].burst = func(at time.Duration) float64 { return inSurge(at, factor) }
		}
	}
	return kinds
}

func inSurge(at time.Duration, factor float64) float64 {
	if at >= surgeStart*time.Second && at < surgeEnd*time.Second {
		return factor
	}
	return 1
}

// runRoom plays a load. shared tells whether the configuration has the organisations, calm
// leaves out the surge.
func runRoom(t *testing.T, l roomLoad, shared, calm bool) *fleet {
	if calm {
		l.hot, l.burst = nil, [3]float64{}
	}
	callers := fleetCallers{organisations: skewedOrganisations(40), impatient: l.impatient, slots: l.slots, oneRank: l.oneRank, unlisted: !shared}
	for i := range callers.organisations {
		callers.organisations[i].first, callers.organisations[i].instances = i, l.instances
		if slices.Contains(l.hot, callers.organisations[i].name) {
			callers.organisations[i].multiple = func(at time.Duration) float64 { return inSurge(at, 6) }
		}
	}
	perRegion := 9 * 9 / cmp.Or(l.slots, 9)
	f := newSizedFleet(t, 11, 10, [3]int{perRegion, perRegion, perRegion}, roomTraffic(l), callers)
	f.schedule(6*time.Second, func() { f.earlyRefusals = f.refusedBeyondShare() })
	f.run(20 * time.Second)
	return f
}

// insiders returns the organisations that ask for no more than their fair share of what was
// answered in time in the surge to those of their group.
func (f *fleet) insiders() []string {
	groups := make(map[string][]string)
	for name := range f.got {
		group := name[:strings.LastIndex(name, "/")+1]
		groups[group] = append(groups[group], name)
	}
	var inside []string
	for _, names := range groups {
		inside = append(inside, f.insidersOf(names)...)
	}
	return inside
}

func (f *fleet) insidersOf(names []string) []string {
	asked := func(name string) int { return sumOf(f.got[name], surgeStart, surgeEnd-1).requests }
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(asked(a), asked(b)) })
	room := 0
	for _, name := range names {
		room += sumOf(f.got[name], surgeStart, surgeEnd-1).inTime
	}
	for i, name := range names {
		if asked(name)*(len(names)-i) > room {
			return names[:i]
		}
		room -= asked(name)
	}
	return names
}

// inTimeOf returns the share of the organisations' requests that was answered in time.
func (f *fleet) inTimeOf(names []string, first, last int) float64 {
	var all outcomeCounts
	for _, name := range names {
		sum := sumOf(f.got[name], first, last)
		all.requests += sum.requests
		all.inTime += sum.inTime
		all.late += sum.late
	}
	return all.inTimeShare()
}

// fairness returns Jain's index of the parts of what they asked for that the organisations
// inside their fair share got.
func (f *fleet) fairness() float64 {
	inside := f.insiders()
	sum, squares := 0.0, 0.0
	for _, name := range inside {
		n := sumOf(f.got[name], surgeStart, surgeEnd-1)
		x := n.inTimeShare()
		sum += x
		squares += x * x
	}
	return sum * sum / squares / float64(len(inside))
}

// kindShares returns what each kind got in the surge as a part of its share of the work that
// was answered in time: its rank's floor, and the rest in the order of the ranks.
func (f *fleet) kindShares() []float64 {
	room := 0.0
	asked, got, parts := make([]float64, 3), make([]float64, 3), make([]float64, 3)
	for i, k := range f.kinds {
		n := sumOf(f.kindGot[k.path], surgeStart, surgeEnd-1)
		asked[i], got[i] = float64(n.requests)*k.work.Seconds(), float64(n.inTime)*k.work.Seconds()
		room += got[i]
	}
	rest := room
	if f.oneRank {
		total := asked[0] + asked[1] + asked[2]
		for i := range parts {
			parts[i] = got[i] * total / asked[i] / room
		}
		return parts
	}
	for i := range parts {
		parts[i] = min(asked[i], rankFloors[i]*room)
		rest -= parts[i]
	}
	for i := range parts {
		extra := min(asked[i]-parts[i], rest)
		parts[i] += extra
		rest -= extra
		parts[i] = got[i] / max(parts[i], 1e-9)
	}
	return parts
}

// refusedBeyondShare returns the number of requests refused by share, but for those of the
// first seconds, in which the servers learn their objects.
func (f *fleet) refusedBeyondShare() int {
	sum := 0
	for _, b := range f.instances {
		sum += b.RefusedBeyondShare()
	}
	return sum - f.earlyRefusals
}

// roomOutcome is what a load came to, beside the same without its surge.
type roomOutcome struct {
	// insiders is what organisations inside their fair share got in the surge, as a part of
	// what they get without it.
	insiders float64
	kinds    []float64
	wasted   float64
	// after is what all got from two seconds after the surge on, as a part of what they get
	// without it.
	after float64
}

// playRoom plays a load and logs what it came to with and without shares.
func playRoom(t *testing.T, l roomLoad) roomOutcome {
	t.Helper()
	calm := runRoom(t, l, true, true)
	var o roomOutcome
	for _, shared := range []bool{false, true} {
		f := runRoom(t, l, shared, false)
		inside, everyone := f.insiders(), slices.Collect(maps.Keys(f.got))
		inTime := f.inTimeOf(inside, surgeStart, surgeEnd-1)
		o = roomOutcome{
			insiders: inTime / calm.inTimeOf(inside, surgeStart, surgeEnd-1),
			kinds:    f.kindShares(),
			wasted:   f.wastedShare(),
			after:    f.inTimeOf(everyone, surgeEnd+2, 19) / calm.inTimeOf(everyone, surgeEnd+2, 19),
		}
		t.Logf("shares %5v: in time %.3f of all, %.3f of those inside their share; %+.3f, Jain's index %.3f, refused by share %d (without the surge %d)",
			shared, f.inTimeOf(everyone, surgeStart, surgeEnd-1), inTime, o, f.fairness(), f.refusedBeyondShare(), calm.refusedBeyondShare())
	}
	return o
}

func checkRoom(t *testing.T, o roomOutcome) {
	t.Helper()
	for _, share := range o.kinds {
		assert.Check(t, share >= 0.7, "a kind got %.3f of its share", share)
	}
	assert.Check(t, o.wasted < 0.01, "%.4f of the work wasted", o.wasted)
	assert.Check(t, o.after > 0.98, "%.3f in time after the surge", o.after)
}

// Organisations that send six times their usual must not take what the others need, also if
// their clients repeat at once, and if the clients of each organisation use few instances.
func TestHotOrganisations(t *testing.T) {
	one, three := []string{"o-0"}, []string{"o-0", "o-1", "o-2"}
	for _, l := range []roomLoad{
		{name: "one", hot: one},
		{name: "three", hot: three},
		{name: "one, impatient", hot: one, impatient: true},
		{name: "three, impatient", hot: three, impatient: true},
		{name: "one, on one of ten instances", hot: one, instances: 1},
		{name: "one, on three of ten instances", hot: one, instances: 3},
		{name: "three, on one of ten instances", hot: three, instances: 1},
		{name: "one, servers of three slots", hot: one, slots: 3, scale: 1.4},
	} {
		t.Run(l.name, func(t *testing.T) {
			l.oneRank = true
			o := playRoom(t, l)
			checkRoom(t, o)
			assert.Check(t, o.insiders >= 0.95, "those inside their share got %.3f", o.insiders)
		})
	}
}

// The same where the room is shared inside each of three ranks, and where three are hot at
// small servers.
func TestHotOrganisationsOnHarderFleets(t *testing.T) {
	one, three := []string{"o-0"}, []string{"o-0", "o-1", "o-2"}
	for _, l := range []roomLoad{
		{name: "one, three ranks", hot: one},
		{name: "three, three ranks", hot: three},
		{name: "three, servers of three slots", hot: three, slots: 3, scale: 1.4, oneRank: true},
	} {
		t.Run(l.name, func(t *testing.T) {
			o := playRoom(t, l)
			checkRoom(t, o)
			assert.Check(t, o.insiders >= 0.95, "those inside their share got %.3f", o.insiders)
		})
	}
}

// A burst of one kind, or more load of all kinds than there is room for, must leave each kind
// its share.
func TestBurstsOfKindsAmongOrganisations(t *testing.T) {
	for _, l := range []roomLoad{
		{name: "least urgent at 2.4", burst: [3]float64{1, 1, 2.4}, scale: 2.3},
		{name: "least urgent at 2.4, impatient", burst: [3]float64{1, 1, 2.4}, scale: 2.3, impatient: true},
		{name: "most urgent at 1.8", burst: [3]float64{1.8, 1, 1}, scale: 2.3, swapped: true},
		{name: "most urgent at 1.8, impatient", burst: [3]float64{1.8, 1, 1}, scale: 2.3, swapped: true, impatient: true},
		{name: "all at 1.4 of the room", burst: [3]float64{1.87, 1.87, 1.87}},
		{name: "all at 1.4 of the room, one rank", burst: [3]float64{1.87, 1.87, 1.87}, oneRank: true},
	} {
		t.Run(l.name, func(t *testing.T) {
			checkRoom(t, playRoom(t, l))
		})
	}
}

// Without organisations in the configuration nothing changes: no room is measured, and
// requests are refused by the length of the queues alone.
func TestPoliciesWithoutOrganisationsShareNoRoom(t *testing.T) {
	f := runRoom(t, roomLoad{burst: [3]float64{1.87, 1.87, 1.87}}, false, false)
	for _, b := range f.instances {
		assert.Equal(t, len(b.rooms), 0)
		assert.Equal(t, b.RefusedBeyondShare(), 0)
	}
}
