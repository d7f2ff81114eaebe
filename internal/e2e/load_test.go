package e2e

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/model"
)

// callResult is the answer that a caller received, or the error.
type callResult struct {
	transportErr error
	outcome      string
	code         string
	body         string
	id           string
	sentBody     string
	sentAt       time.Time
}

var client = &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 500}}

func (f *fleet) sendWork(name, kind, key, body string) callResult {
	request, err := http.NewRequest(http.MethodPost, "http://"+f.addresses[name]+"/v1/work/"+kind, io.NopCloser(strings.NewReader(body)))
	assert.NilError(f.t, err)
	request.ContentLength = int64(len(body))
	if key != "" {
		request.Header.Set(model.HeaderKey, key)
	}
	result := callResult{sentBody: body, sentAt: time.Now()}
	response, err := client.Do(request)
	if err != nil {
		result.transportErr = err
		return result
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	result.transportErr = err
	result.body = string(answer)
	result.outcome = response.Header.Get(model.HeaderOutcome)
	result.code = response.Header.Get(model.HeaderCode)
	result.id = response.Header.Get(model.HeaderRequestID)
	return result
}

// startLoad sends requests of one kind to an instance at a constant rate. The
// returned function stops it and returns the results.
func (f *fleet) startLoad(name, kind string, rate float64) (stop func() []callResult) {
	var mutex sync.Mutex
	var results []callResult
	var group sync.WaitGroup
	stopped := make(chan struct{})
	group.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-stopped:
				return
			case <-ticker.C:
			}
			group.Go(func() {
				result := f.sendWork(name, kind, "", fmt.Sprintf("%s %d %s", name, i, strings.Repeat("x", 17*(i%300))))
				mutex.Lock()
				results = append(results, result)
				mutex.Unlock()
			})
		}
	})
	return func() []callResult {
		close(stopped)
		group.Wait()
		return results
	}
}

// checkPeaks checks that no server ever had more concurrent requests than slots.
func (f *fleet) checkPeaks() {
	f.t.Helper()
	for i, s := range f.servers {
		r := f.serverReport(i)
		assert.Check(f.t, r.Peak <= slotsPerServer, "%s had %d concurrent requests in %d slots, %d refused", s.Name, r.Peak, slotsPerServer, r.Refused)
	}
}

// checkAnswers checks that each successful answer is complete and belongs to its
// request, and counts the results by outcome and code.
func (f *fleet) checkAnswers(results []callResult) map[string]int {
	f.t.Helper()
	counts := make(map[string]int)
	for _, result := range results {
		switch {
		case result.transportErr != nil:
			counts["failed"]++
		case result.code == "ok":
			_, echo, _ := strings.Cut(result.body, "\n")
			assert.Check(f.t, echo == result.sentBody && strings.Contains(result.body, strings.Split(result.id, "/")[0]), "%q for %q", result.body, result.sentBody)
			counts["ok"]++
		default:
			counts[result.outcome+" "+result.code]++
		}
	}
	return counts
}

func readAll(t testing.TB, response *http.Response) string {
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return string(body)
}
