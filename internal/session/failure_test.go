package session

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/model"
)

func TestNormalLoadIsAnswered(t *testing.T) {
	w := load(t, 1, "verhaegen")
	w.run(20 * time.Second)
	for _, name := range w.names() {
		w.stream("stock", 100, 10*time.Second, name)
	}
	w.run(12 * time.Second)
	w.checkTruth()
	for _, r := range w.results {
		assert.Equal(t, r.result.Outcome, model.Ran, "%+v", r)
	}
}
