package model

import (
	"fmt"
	"strings"
)

// Finding is one fault in a document, with its place.
type Finding struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`
	Column  int    `json:"column,omitempty"`
	Field   string `json:"field"`
	Message string `json:"message"`
}

// FindingsError carries every finding about a document.
type FindingsError struct {
	Findings []Finding
}

// Error lists the findings, one a line.
func (e *FindingsError) Error() string {
	lines := make([]string, 0, len(e.Findings))
	for _, f := range e.Findings {
		lines = append(lines, fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, f.Field, f.Message))
	}
	return strings.Join(lines, "\n")
}

// StaleError refuses a patch against a version that is not in force any more.
type StaleError struct {
	Current int64
	// Conflicts are the changes since the patch's base version.
	Conflicts []Change
}

// Error names the version in force.
func (e *StaleError) Error() string {
	return fmt.Sprintf("patcher: the version in force is %d", e.Current)
}

// UncertainError says that the store did not tell whether a patch was accepted.
type UncertainError struct {
	ChangeID string
	Cause    error
}

// Error names the change to ask for again.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("patcher: the store did not say whether change %s was accepted: %v", e.ChangeID, e.Cause)
}
