package storer

import "testing"

// FuzzParse reads any answer of the store.
func FuzzParse(f *testing.F) {
	f.Add(200, []byte(`{"revision":3,"data":{"a":1}}`))
	f.Add(409, []byte(`{"revision":-1}`))
	f.Add(200, []byte(`[`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		value, err := parse(status, body)
		if err == nil && status >= 500 {
			t.Fatalf("status %d is taken for %+v", status, value)
		}
	})
}
