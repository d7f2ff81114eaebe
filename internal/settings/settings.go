// Package settings loads the settings of one process from JSON with comments.
//
// Usage:
//
//	l := settings.Loader{File: "gent-a-1.jsonc"}
//	s, err := l.Load()   // a *model.FindingsError lists everything that is invalid
package settings

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"regexp"
	"time"

	"github.com/yuccathread/yuccathread/internal/decoder"
	"github.com/yuccathread/yuccathread/internal/model"
)

var validName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Loader reads settings from a file. Values that are missing in the file have
// their defaults.
type Loader struct {
	File string
}

// Defaults returns the default settings, which are those of an instance of the
// demonstration.
func (l *Loader) Defaults() model.Settings {
	return model.Settings{
		Instance:        "gent-a-1",
		FailureDomain:   "gent-a",
		Region:          "flanders",
		Address:         "127.0.0.1:8080",
		PeerAddress:     "127.0.0.1:8180",
		StoreURL:        "http://127.0.0.1:7000",
		ListURL:         "http://127.0.0.1:7000",
		PlatformTimeout: model.Duration{Duration: time.Second},
		StopLimit:       model.Duration{Duration: 30 * time.Second},
		LogLevel:        "info",
		TimelineRecords: 20_000,
		MaxAnswerBytes:  8 << 20,
		RetainedBytes:   32 << 20,
	}
}

// Load reads and validates the file.
func (l *Loader) Load() (model.Settings, error) {
	s := l.Defaults()
	data, err := os.ReadFile(l.File)
	if err != nil {
		return s, fmt.Errorf("settings: %w", err)
	}
	d := decoder.Decoder{File: l.File}
	findings := d.Decode(data, &s)
	if d.Decoded() {
		findings = append(findings, d.Locate(l.Check(s))...)
	}
	if len(findings) > 0 {
		return s, &model.FindingsError{Findings: findings}
	}
	return s, nil
}

// Check returns a finding for every invalid setting.
func (l *Loader) Check(s model.Settings) []model.Finding {
	var findings []model.Finding
	check := func(invalid bool, field, message string) {
		if invalid {
			findings = append(findings, model.Finding{Field: field, Message: message})
		}
	}
	const nameRule = "must be lower-case letters, digits and hyphens"
	check(!validName.MatchString(s.Instance), "/instance", nameRule)
	check(!validName.MatchString(s.FailureDomain), "/failure_domain", nameRule)
	check(!validName.MatchString(s.Region), "/region", nameRule)
	check(!validAddress(s.Address), "/address", "must be an IP address and a port")
	check(!validAddress(s.PeerAddress), "/peer_address", "must be an IP address and a port")
	check(!validURL(s.StoreURL), "/store_url", "must be an http URL")
	check(!validURL(s.ListURL), "/list_url", "must be an http URL")
	check(s.PlatformTimeout.Duration <= 0, "/platform_timeout", "must be above 0")
	check(s.StopLimit.Duration <= 0, "/stop_limit", "must be above 0")
	check(!validLevel(s.LogLevel), "/log_level", "must be debug, info, warn or error")
	check(s.TimelineRecords < 1, "/timeline_records", "must be at least 1")
	check(s.MaxAnswerBytes < 1, "/max_answer_bytes", "must be at least 1")
	check(s.RetainedBytes < 0, "/retained_bytes", "must not be negative")
	return findings
}

func validAddress(address string) bool {
	host, _, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(host) != nil
}

func validURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && u.Scheme == "http" && u.Host != ""
}

func validLevel(level string) bool {
	switch level {
	case "debug", "info", "warn", "error":
		return true
	}
	return false
}
