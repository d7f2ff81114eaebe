package steerer

import (
	"testing"
	"time"
)

// Guards against a quota of which a part is not used where an organisation's callers, spread
// over many instances, send a little more than it allows. Callers repeat once after the delay
// of a refusal.
func TestQuotaThatIsScarce(t *testing.T) {
	const minUsed = 0.95
	for _, demand := range []float64{1.1, 1.3} {
		for _, burst := range []time.Duration{shortBurst, time.Second} {
			f := newQuotaFleet(11, 12, 1, 107*demand/12, 1/demand, burst)
			f.repeats = true
			c := f.callers[0]
			f.placeCallers(c, len(f.nodes), len(f.nodes))
			f.run(40 * time.Second)
			f.checkRule(t, "scarce")
			first, last := quotaWarmUp+10*time.Second, quotaWarmUp+40*time.Second
			sent := 0
			for _, at := range c.sent {
				if passed := at.Sub(f.started); passed >= first && passed < last {
					sent++
				}
			}
			used := float64(sent) / (c.PerSecond * (last - first).Seconds())
			t.Logf("demand of %.1f times the quota, bursts of %s: %.3f of the quota used, %.1f queries per second and instance, %.1f requests below the rule",
				demand, burst, used, float64(f.queries)/40/12, -c.excess(f.settings.Bounds))
			if used < minUsed {
				t.Errorf("demand of %.1f times the quota, bursts of %s: %.3f of the quota used, want %.2f at least", demand, burst, used, minUsed)
			}
		}
	}
}
