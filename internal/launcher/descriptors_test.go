package launcher

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// The lower one of the setting and the system's limit holds, and a part of it is left.
func TestConnectionLimit(t *testing.T) {
	for _, c := range []struct {
		setting int
		system  uint64
		limit   int
	}{
		{0, 1000, 850},
		{200, 1000, 170},
		{2000, 1000, 850},
		{0, math.MaxUint64, defaultDescriptors * connectionPercent / 100},
	} {
		limit := connectionLimit(c.setting, func() uint64 { return c.system })
		assert.Equal(t, limit, c.limit, "%+v", c)
	}
}
