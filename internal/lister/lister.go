// Package lister is a client for the platform's list of instances and servers.
//
// Usage:
//
//	l := lister.Lister{URL: "http://127.0.0.1:7000", Timeout: time.Second}
//	listing, err := l.List(ctx, "gent-a")
package lister

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/yuccathread/yuccathread/internal/model"
)

const maxListBytes = 4 << 20

// Lister reads the platform's list over HTTP. Set the fields before the first call.
type Lister struct {
	URL     string
	Timeout time.Duration
	Client  *http.Client
}

// List returns the instances and servers of a failure domain.
func (l *Lister) List(ctx context.Context, domain string) (model.Listing, error) {
	var listing model.Listing
	ctx, cancel := context.WithTimeout(ctx, l.Timeout)
	defer cancel()
	target := l.URL + "/v1/instances?" + url.Values{"domain": {domain}}.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return listing, fmt.Errorf("lister: %w", err)
	}
	response, err := l.Client.Do(request)
	if err != nil {
		return listing, fmt.Errorf("lister: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return listing, fmt.Errorf("lister: the platform's list returned status %d", response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&listing); err != nil {
		return listing, fmt.Errorf("lister: malformed response: %w", err)
	}
	return listing, nil
}
