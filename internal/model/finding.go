package model

import (
	"fmt"
	"strings"
)

// Finding is one error in a document and its position.
type Finding struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`
	Column  int    `json:"column,omitempty"`
	Field   string `json:"field"`
	Message string `json:"message"`
}

// FindingsError holds all findings about a document.
type FindingsError struct {
	Findings []Finding
}

// Error lists the findings, one per line.
func (e *FindingsError) Error() string {
	lines := make([]string, 0, len(e.Findings))
	for _, f := range e.Findings {
		lines = append(lines, fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, f.Field, f.Message))
	}
	return strings.Join(lines, "\n")
}

// StaleError reports that a patch was rejected because its base version is no
// longer in force.
type StaleError struct {
	Current int64
	// Conflicts are the changes since the patch's base version.
	Conflicts []Change
}

// Error reports the version in force.
func (e *StaleError) Error() string {
	return fmt.Sprintf("patcher: the version in force is %d", e.Current)
}

// UncertainError reports that the outcome of a patch is unknown, because the
// store did not confirm or reject the write.
type UncertainError struct {
	ChangeID string
	Cause    error
}

// Error includes the ID of the change, which identifies it when it is sent again.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("patcher: the store did not say whether change %s was accepted: %v", e.ChangeID, e.Cause)
}
