package preparer

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/model"
)

const validSettings = `{
	// A comment.
	"instance": "front-1", "failure_domain": "gent-a", "region": "flanders",
	"caller_address": "10.0.0.1:80", "ready_address": "10.0.0.1:81", "look_up_address": "10.0.0.1:82",
	"metrics_address": "10.0.0.1:83", "store_address": "10.0.0.2:80",
	"failure_domains": {"gent-a": "flanders"},
	"bounds": {"drain": "4s",},
}`

func load(t *testing.T, text string) error {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.jsonc")
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	s, err := (&Preparer{File: file}).Load()
	if err == nil {
		assert.Equal(t, s.Bounds.Drain.Duration, 4*time.Second)
		assert.Equal(t, s.Bounds.Grace.Duration, 6*time.Second, "a default is missing")
	}
	return err
}

func TestSettings(t *testing.T) {
	assert.NilError(t, load(t, validSettings))
}

func TestEveryFindingIsReported(t *testing.T) {
	err := load(t, `{"instance": "", "failure_domain": "a", "region": "b", "caller_address": "nowhere", "memory_mb": 0, "max_descriptors": -1, "processor_share": -1, "link_mbps": -1,
		"bounds": {"grace": "0s", "retry_ratio": -1, "quota_window": "-1s", "quota_excess": -0.1, "quota_slack": -1}}`)
	var findings *model.FindingsError
	assert.Assert(t, errors.As(err, &findings))
	fields := make(map[string]bool)
	for _, f := range findings.Findings {
		fields[f.Field] = true
	}
	for _, field := range []string{
		"/instance", "/caller_address", "/store_address", "/memory_mb", "/max_descriptors", "/processor_share", "/link_mbps", "/bounds/grace", "/bounds/retry_ratio", "/failure_domains",
		"/bounds/quota_window", "/bounds/quota_excess", "/bounds/quota_slack",
	} {
		assert.Assert(t, fields[field], field)
	}
}

func TestUnreadableSettings(t *testing.T) {
	assert.Assert(t, load(t, `{`) != nil)
	assert.Assert(t, load(t, `{"unknown": 1}`) != nil)
	_, err := (&Preparer{File: "missing"}).Load()
	assert.Assert(t, errors.Is(err, os.ErrNotExist))
}
