package storer

import "testing"

// FuzzParse parses arbitrary responses of the store. A server error must never
// be accepted as a value.
func FuzzParse(f *testing.F) {
	f.Add(200, []byte(`{"revision":3,"data":{"a":1}}`))
	f.Add(409, []byte(`{"revision":-1}`))
	f.Add(200, []byte(`[`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		value, err := parseResponse(status, body)
		if err == nil && status >= 500 {
			t.Fatalf("status %d was parsed as %+v", status, value)
		}
	})
}
