// Package diag collects the findings of a check, each with its position in a file, so
// that a user sees all errors of an invalid file at once.
//
// The zero List is ready to use. A check adds findings to it and returns them as
// one error at the end:
//
//	var findings diag.List
//	findings.Addf(position, "unknown field %q", name)
//	return findings.Err()
package diag

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Position is a position in a file. Lines and columns are numbered from one; a
// zero line means that only the file is known.
type Position struct {
	file   string
	line   int
	column int
}

// NewPosition returns the position at the given line and column of file.
func NewPosition(file string, line, column int) Position {
	return Position{file: file, line: line, column: column}
}

// File returns the file name.
func (p Position) File() string { return p.file }

// Line returns the line number.
func (p Position) Line() int { return p.line }

// Column returns the column number, counted in bytes.
func (p Position) Column() int { return p.column }

// String returns the position as file:line:column, or the file name alone if the
// line isn't known.
func (p Position) String() string {
	if p.line == 0 {
		return p.file
	}
	return fmt.Sprintf("%s:%d:%d", p.file, p.line, p.column)
}

// Finding is an error message with its position.
type Finding struct {
	position Position
	message  string
}

// Position returns the position that the finding refers to.
func (f Finding) Position() Position { return f.position }

// Message returns the message without the position.
func (f Finding) Message() string { return f.message }

// String returns the position and the message on one line.
func (f Finding) String() string {
	return f.position.String() + ": " + f.message
}

// List collects findings. It is not safe for concurrent use.
type List struct {
	findings []Finding
}

// Addf adds a finding at position, with a message in the format of fmt.Sprintf.
func (l *List) Addf(position Position, format string, args ...any) {
	l.findings = append(l.findings, Finding{position: position, message: fmt.Sprintf(format, args...)})
}

// Len returns the number of findings.
func (l *List) Len() int { return len(l.findings) }

// Findings returns the findings sorted by file, line and column.
func (l *List) Findings() []Finding {
	sorted := slices.Clone(l.findings)
	slices.SortStableFunc(sorted, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(a.position.file, b.position.file),
			cmp.Compare(a.position.line, b.position.line),
			cmp.Compare(a.position.column, b.position.column),
		)
	})
	return sorted
}

// Err returns an *Error with all findings, or nil if there are none.
func (l *List) Err() error {
	if len(l.findings) == 0 {
		return nil
	}
	return &Error{findings: l.Findings()}
}

// Error is the error that List.Err returns. It has at least one finding.
type Error struct {
	findings []Finding
}

// Findings returns the findings sorted by position.
func (e *Error) Findings() []Finding { return e.findings }

// Error returns the findings, one per line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.findings))
	for _, finding := range e.findings {
		lines = append(lines, finding.String())
	}
	return strings.Join(lines, "\n")
}
