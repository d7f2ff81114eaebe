package answerer

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/model"
)

// Guards against work that runs under one of several keys or IDs while its caller, or
// somebody in between, goes by another one.
func TestAmbiguousHeadersAreRefused(t *testing.T) {
	for _, c := range []struct {
		name, header string
		values       []string
		outcome      model.Outcome
	}{
		{"two keys", model.HeaderKey, []string{"a", "b"}, model.Unknown},
		{"two IDs", model.HeaderRequestID, []string{"a", "b"}, model.NotRun},
		{"two deadlines", model.HeaderDeadlineMS, []string{"1", "2"}, model.NotRun},
	} {
		r := httptest.NewRequest(http.MethodPost, "/v1/work/order", http.NoBody)
		r.Header[http.CanonicalHeaderKey(c.header)] = c.values
		name, outcome := ambiguousHeader(r.Header)
		assert.Equal(t, http.CanonicalHeaderKey(name), http.CanonicalHeaderKey(c.header), c.name)
		assert.Equal(t, outcome, c.outcome, c.name)
		w := httptest.NewRecorder()
		(&Answerer{}).handleWork(w, r)
		assert.Equal(t, w.Code, http.StatusBadRequest, c.name)

		r.Header[http.CanonicalHeaderKey(c.header)] = []string{"1", "1"}
		name, _ = ambiguousHeader(r.Header)
		assert.Equal(t, name, "", c.name)
	}
}
