package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/model"
	"github.com/yuccathread/yuccathread/internal/settings"
)

func TestExamplesLoad(t *testing.T) {
	for _, name := range []string{"verhaegen/gent-a-1.jsonc", "sidi-rail/tanger-med-1.jsonc"} {
		l := settings.Loader{File: filepath.Join("..", "..", "examples", name)}
		_, err := l.Load()
		assert.NilError(t, err)
	}
}

func TestFindingsHavePositions(t *testing.T) {
	file := filepath.Join(t.TempDir(), "bad.jsonc")
	text := "{\n  // A comment.\n  \"instance\": \"Gent A\",\n  \"place\": \"x\",\n  \"stop_limit\": 30,\n" +
		"  \"peer_address\": \"localhost:1\",\n}"
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	l := settings.Loader{File: file}
	_, err := l.Load()
	invalid, ok := errors.AsType[*model.FindingsError](err)
	assert.Assert(t, ok, "%v", err)
	positions := make(map[string][2]int)
	for _, f := range invalid.Findings {
		positions[f.Field] = [2]int{f.Line, f.Column}
	}
	assert.DeepEqual(t, positions, map[string][2]int{"/place": {4, 3}, "/stop_limit": {5, 17}})
}

func TestValuesAreChecked(t *testing.T) {
	file := filepath.Join(t.TempDir(), "bad.jsonc")
	assert.NilError(t, os.WriteFile(file, []byte("{\"instance\": \"Gent A\",\n \"peer_address\": \"localhost:1\", \"more\": 1}"), 0o600))
	l := settings.Loader{File: file}
	_, err := l.Load()
	assert.ErrorContains(t, err, ":1:14: /instance")
	assert.ErrorContains(t, err, ":2:18: /peer_address")
	assert.ErrorContains(t, err, "/more: unknown field")
}
