package accountant

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against memory that nothing counts: on the path of requests and responses, only the
// collector reads what others send into memory without a fixed bound.
func TestNothingIsReadPastTheAccount(t *testing.T) {
	unbounded := regexp.MustCompile(`\bio\.ReadAll\(|\.ReadFrom\(|\.ReadString\(|\.ReadBytes\(|bufio\.NewScanner\(|httputil\.Dump`)
	for _, folder := range []string{"receiver", "carrier", "forwarder", "steerer", "launcher"} {
		files, err := filepath.Glob(filepath.Join("..", folder, "*.go"))
		assert.NilError(t, err)
		assert.Assert(t, len(files) > 0, folder)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			text, err := os.ReadFile(file)
			assert.NilError(t, err)
			assert.Assert(t, !unbounded.Match(text), "%s: %s", file, unbounded.Find(text))
		}
	}
}
