package e2e

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yuccathread/yuccathread/internal/model"
)

// executions returns how often the servers have run work under a key.
func (f *fleet) executions(key string) int {
	total := 0
	for i := range f.servers {
		total += f.serverReport(i).ByKey[key]
	}
	return total
}

// Guards against work that runs as another kind than its bytes say, or twice: each form of a
// request's target is either the kind that it names or refused, and refused work has not
// run.
func TestWorkIsReadAsItIsSent(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	for n, c := range []struct {
		target, host string
		status       int
	}{
		{"/v1/work/order", "any.example", http.StatusOK},
		{"/v1/work/order?kind=stock", "any.example", http.StatusOK},
		{"/v1/work/ord%65r", "any.example", http.StatusOK},
		{"http://other.example/v1/work/order", "any.example", http.StatusOK},
		{"/v1/work/order", "ANY.example.:80", http.StatusOK},
		{"/v1/work/order%2Fstock", "any.example", http.StatusNotFound},
		{"/v1/work/stock%2F..%2Forder", "any.example", http.StatusNotFound},
		{"/v1/work/order%252F", "any.example", http.StatusNotFound},
		{"/v1/work/order;x=1", "any.example", http.StatusNotFound},
		{"/v1/work/order#stock", "any.example", http.StatusNotFound},
		{"/v1/work/order/", "any.example", http.StatusNotFound},
		{"/v1/work/ORDER", "any.example", http.StatusNotFound},
		{"/v1%2Fwork/order", "any.example", http.StatusNotFound},
		{"*", "any.example", http.StatusBadRequest},
		{"/v1/work/stock/../order", "any.example", http.StatusTemporaryRedirect},
		{"//v1/work/order", "any.example", http.StatusTemporaryRedirect},
	} {
		key := fmt.Sprint("target-", n)
		conn, err := net.DialTimeout("tcp", f.addresses["gent-a-1"], 2*time.Second)
		assert.NilError(t, err)
		_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nContent-Length: 3\r\n\r\nabc", c.target, c.host, model.HeaderKey, key)
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err, c.target)
		response.Body.Close()
		conn.Close()
		ran := 0
		if c.status == http.StatusOK {
			ran = 1
		}
		assert.Check(t, response.StatusCode == c.status, "%s: %d", c.target, response.StatusCode)
		assert.Check(t, f.executions(key) == ran, "%s ran %d times", c.target, f.executions(key))
	}
}
