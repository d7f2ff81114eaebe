// Package storer is a client for the platform's key-value store, which has
// revisions, compare-and-swap and a time to live per value.
//
// A call succeeds, is rejected because the store has another revision
// (Conflict), or fails with an error. After an error from Put the write may have
// taken effect; callers must read the key back before they decide.
//
// Usage:
//
//	s := storer.Storer{URL: "http://127.0.0.1:7000", Timeout: time.Second}
//	value, err := s.Get(ctx, "configuration/head", 0)
//	put, err := s.Put(ctx, "configuration/head", data, value.Revision, 0)
package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/yuccathread/yuccathread/internal/model"
)

// maxValueBytes bounds the response that is read. It leaves room for the largest
// value that the platform stores and the JSON object around it.
const maxValueBytes = 2 << 20

// Storer calls the store over HTTP. Set the fields before the first call.
type Storer struct {
	URL string
	// Timeout bounds each call.
	Timeout time.Duration
	Client  *http.Client
}

// Get reads a key. The value's Revision is 0 if the key does not exist. Its Data
// is nil if it is not newer than the given revision.
func (s *Storer) Get(ctx context.Context, key string, newerThan int64) (model.StoreValue, error) {
	query := url.Values{"newer_than": {strconv.FormatInt(newerThan, 10)}}
	return s.call(ctx, http.MethodGet, key, query, nil)
}

// Put writes a key if its revision in the store is expect; 0 means that the key
// does not exist. If ttl is 0, the value does not expire. If the revision is
// another one, the result has Conflict set and holds the store's revision.
func (s *Storer) Put(ctx context.Context, key string, data []byte, expect int64, ttl time.Duration) (model.StoreValue, error) {
	query := url.Values{"expect": {strconv.FormatInt(expect, 10)}}
	if ttl > 0 {
		query.Set("ttl_ms", strconv.FormatInt(ttl.Milliseconds(), 10))
	}
	return s.call(ctx, http.MethodPut, key, query, data)
}

func (s *Storer) call(ctx context.Context, method, key string, query url.Values, data []byte) (model.StoreValue, error) {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	target := s.URL + "/v1/keys/" + key + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(data))
	if err != nil {
		return model.StoreValue{}, fmt.Errorf("storer: %w", err)
	}
	response, err := s.client().Do(request)
	if err != nil {
		return model.StoreValue{}, fmt.Errorf("storer: %w", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxValueBytes))
	if err != nil {
		return model.StoreValue{}, fmt.Errorf("storer: %w", err)
	}
	return parseResponse(response.StatusCode, body)
}

func parseResponse(status int, body []byte) (model.StoreValue, error) {
	var value model.StoreValue
	switch status {
	case http.StatusOK, http.StatusConflict, http.StatusNotModified:
	case http.StatusNotFound:
		return value, nil
	default:
		return value, fmt.Errorf("storer: the store returned status %d", status)
	}
	if status == http.StatusNotModified {
		return value, nil
	}
	if err := json.Unmarshal(body, &value); err != nil {
		return model.StoreValue{}, fmt.Errorf("storer: malformed response: %w", err)
	}
	value.Conflict = status == http.StatusConflict
	return value, nil
}

func (s *Storer) client() *http.Client {
	if s.Client != nil {
		return s.Client
	}
	return http.DefaultClient
}
