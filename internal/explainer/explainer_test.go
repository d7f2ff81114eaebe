package explainer

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/traffic"
)

func TestQueriesAreExplained(t *testing.T) {
	var asked traffic.Request
	e := &Explainer{Explain: func(r traffic.Request) traffic.Explanation {
		asked = r
		return traffic.Explanation{Version: 7, Route: "look"}
	}}
	w := httptest.NewRecorder()
	body := `{"method":"GET","host":"Shop.example:80","target":"/look/a%2Fb?q=1","object":"17","key":"k1","limit_ms":2500}`
	e.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/explain", strings.NewReader(body)))
	assert.Equal(t, w.Code, http.StatusOK)
	assert.Assert(t, !strings.Contains(w.Body.String(), "k1"))
	var x traffic.Explanation
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &x))
	assert.Equal(t, x.Route, "look")
	assert.Equal(t, asked.HostName, "Shop.example")
	assert.Equal(t, asked.Path, "/look/a%2Fb")
	assert.Equal(t, asked.Limit, 2500*time.Millisecond)
	assert.Equal(t, asked.Key, "k1")
}

func TestOddQueries(t *testing.T) {
	e := &Explainer{Explain: func(traffic.Request) traffic.Explanation { return traffic.Explanation{} }}
	for _, body := range []string{"", "{", "[]", `{"limit_ms":"x"}`, `{"deadline":1}`, `{"host":"` + strings.Repeat("a", maxQueryBytes) + `"}`} {
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/explain", strings.NewReader(body)))
		assert.Equal(t, w.Code, http.StatusBadRequest)
	}
}
