package model

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration that is written as a string such as "250ms".
type Duration struct {
	time.Duration
}

// MarshalJSON writes the duration as a quoted Go duration string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(d.String())
}

// UnmarshalJSON accepts only a quoted Go duration string.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("model: a duration is a string such as %q", "250ms")
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("model: %w", err)
	}
	d.Duration = parsed
	return nil
}
