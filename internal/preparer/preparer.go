// Package preparer loads and validates the settings of an instance on a managed
// platform from a file of JSON with comments.
//
// Usage:
//
//	p := preparer.Preparer{File: "instance.jsonc"}
//	s, err := p.Load()   // err is a *model.FindingsError that lists all findings
package preparer

import (
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"time"

	"github.com/yuccathread/yuccathread/internal/decoder"
	"github.com/yuccathread/yuccathread/internal/model"
	"github.com/yuccathread/yuccathread/internal/timekeeper"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

// Preparer loads settings from a file. Values missing from the file get defaults.
type Preparer struct {
	File string
}

// Defaults returns the values of the settings that the file may omit.
func (p *Preparer) Defaults() traffic.Settings {
	return traffic.Settings{
		MemoryMB: 256,
		LogLevel: "info",
		LogLines: 50,
		Bounds: traffic.Bounds{
			Drain:          seconds(2.5),
			Apply:          seconds(2.5),
			Evacuation:     seconds(5),
			Reconnect:      seconds(4),
			Grace:          seconds(6),
			ReturnWait:     seconds(2),
			RetryRatio:     0.2,
			RetrySlack:     20,
			ColdFactor:     1.5,
			ColdSlack:      5,
			ShiftCap:       0.15,
			ShiftWindow:    seconds(2),
			LookUpLifetime: seconds(5),
			Revoke:         seconds(5),
		},
	}
}

func seconds(n float64) model.Duration {
	return model.Duration{Duration: time.Duration(n * float64(time.Second))}
}

// Load reads the file and validates the settings.
func (p *Preparer) Load() (traffic.Settings, error) {
	s := p.Defaults()
	data, err := os.ReadFile(p.File)
	if err != nil {
		return s, fmt.Errorf("preparer: %w", err)
	}
	d := decoder.Decoder{File: p.File}
	findings := d.Decode(data, &s)
	if d.Decoded() {
		findings = append(findings, d.Locate(p.Check(s))...)
	}
	if len(findings) > 0 {
		return s, &model.FindingsError{Findings: findings}
	}
	return s, nil
}

// Check validates settings and returns all findings.
func (p *Preparer) Check(s traffic.Settings) []model.Finding {
	var findings []model.Finding
	add := func(invalid bool, field, message string) {
		if invalid {
			findings = append(findings, model.Finding{Field: field, Message: message})
		}
	}
	add(s.Instance == "", "/instance", "must not be empty")
	add(s.Domain == "", "/failure_domain", "must not be empty")
	add(s.Region == "", "/region", "must not be empty")
	for _, setting := range []struct{ field, address string }{
		{"/caller_address", s.CallerAddress},
		{"/ready_address", s.ReadyAddress},
		{"/look_up_address", s.LookUpAddress},
		{"/metrics_address", s.MetricsAddress},
		{"/store_address", s.StoreAddress},
	} {
		_, err := netip.ParseAddrPort(setting.address)
		add(err != nil, setting.field, "must be an IP address and a port")
	}
	_, err := netip.ParseAddrPort(s.PeerAddress)
	add(s.PeerAddress != "" && err != nil, "/peer_address", "must be an IP address and a port, or empty")
	add(len(s.Domains) == 0, "/failure_domains", "must name a region for each failure domain")
	add(s.MemoryMB < 1, "/memory_mb", "must be at least 1")
	add(s.MaxDescriptors < 0, "/max_descriptors", "must not be negative")
	add(s.ProcessorShare < 0, "/processor_share", "must not be negative")
	add(s.LinkMbps < 0, "/link_mbps", "must not be negative")
	add(s.LogLines < 0, "/log_lines_per_second", "must not be negative")
	var level slog.Level
	add(level.UnmarshalText([]byte(s.LogLevel)) != nil, "/log_level", "must be debug, info, warn or error")
	return append(findings, checkBounds(s.Bounds)...)
}

func checkBounds(b traffic.Bounds) []model.Finding {
	var findings []model.Finding
	for _, setting := range []struct {
		field string
		value float64
	}{
		{"/bounds/shift_window", b.ShiftWindow.Seconds()},
		{"/bounds/look_up_lifetime", b.LookUpLifetime.Seconds()},
		{"/bounds/cold_factor", b.ColdFactor},
	} {
		if setting.value <= 0 {
			findings = append(findings, model.Finding{Field: setting.field, Message: "must be above 0"})
		}
	}
	for _, setting := range []struct {
		field string
		value float64
	}{
		{"/bounds/return_wait", b.ReturnWait.Seconds()},
		{"/bounds/retry_ratio", b.RetryRatio},
		{"/bounds/retry_slack", b.RetrySlack},
		{"/bounds/cold_slack", b.ColdSlack},
		{"/bounds/shift_cap", b.ShiftCap},
		{"/bounds/quota_window", b.QuotaWindow.Seconds()},
		{"/bounds/quota_excess", b.QuotaExcess},
		{"/bounds/quota_slack", b.QuotaSlack},
		{"/bounds/revoke", b.Revoke.Seconds()},
	} {
		if setting.value < 0 {
			findings = append(findings, model.Finding{Field: setting.field, Message: "must not be negative"})
		}
	}
	k := timekeeper.Timekeeper{Bounds: b}
	return append(findings, k.Check()...)
}
