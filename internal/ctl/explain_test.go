package ctl

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/explainer"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

func TestExplain(t *testing.T) {
	t.Setenv("YUCCATHREAD_KEY", "k1")
	server := httptest.NewServer(&explainer.Explainer{Explain: func(r traffic.Request) traffic.Explanation {
		if r.Key != "k1" {
			return traffic.Explanation{Refusal: traffic.Unidentified}
		}
		return traffic.Explanation{Version: 7, Route: "look", Organisation: "roasters", Services: []traffic.ServiceExplanation{
			{
				Service: "stock", Weight: 1, Server: "s2", Obstacles: map[string]int{"draining": 2},
				Servers: []traffic.ServerExplanation{{ID: "s2", Domain: "a1", ExpectedMS: 120, Load: 3.5, Slots: 9, Cached: true}},
			},
		}}
	}})
	defer server.Close()
	run := func(arguments ...string) string {
		var stdout, stderr bytes.Buffer
		arguments = append([]string{"explain", "-at", strings.TrimPrefix(server.URL, "http://"), "-host", "shop.example", "-path", "/look/1"}, arguments...)
		assert.Equal(t, Run(arguments, strings.NewReader(""), &stdout, &stderr), exitOK, stderr.String())
		return stdout.String()
	}
	table := run("-object", "7")
	for _, wanted := range []string{"organisation \"roasters\"", "server s2", "120 ms", "not compared: draining 2"} {
		assert.Assert(t, strings.Contains(table, wanted), "%s is missing: %s", wanted, table)
	}
	var x traffic.Explanation
	assert.NilError(t, json.Unmarshal([]byte(run("-json")), &x))
	assert.Equal(t, x.Services[0].Server, "s2")
	t.Setenv("YUCCATHREAD_KEY", "")
	assert.Assert(t, strings.Contains(run(), "refused: unidentified"))
}

func TestExplainWithoutAnInstance(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	var stdout, stderr bytes.Buffer
	code := Run([]string{"explain", "-at", strings.TrimPrefix(server.URL, "http://")}, strings.NewReader(""), &stdout, &stderr)
	assert.Equal(t, code, exitFailure)
	assert.Assert(t, strings.Contains(stderr.String(), "404"))
}
