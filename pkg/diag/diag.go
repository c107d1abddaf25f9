// Package diag collects the findings of a check together with their places, so
// that a reader of a faulty file sees everything that is wrong with it at once.
//
// The zero List is ready to use. A check adds to it as it goes on and turns it
// into an error at the end:
//
//	var findings diag.List
//	findings.Addf(place, "unknown field %q", name)
//	return findings.Err()
package diag

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Position is a position in a file. Lines and columns count from one; zero means
// that the place within the file isn't known.
type Position struct {
	file   string
	line   int
	column int
}

// NewPosition returns the place at the given line and column of file.
func NewPosition(file string, line, column int) Position {
	return Position{file: file, line: line, column: column}
}

// File returns the name of the file.
func (p Position) File() string { return p.file }

// Line returns the line, counted from one.
func (p Position) Line() int { return p.line }

// Column returns the column in bytes, counted from one.
func (p Position) Column() int { return p.column }

// String returns the place as file:line:column.
func (p Position) String() string {
	if p.line == 0 {
		return p.file
	}
	return fmt.Sprintf("%s:%d:%d", p.file, p.line, p.column)
}

// Finding is one thing that a check found wrong.
type Finding struct {
	place   Position
	message string
}

// Position returns where the finding is.
func (f Finding) Position() Position { return f.place }

// Message returns what is wrong there.
func (f Finding) Message() string { return f.message }

// String returns the place and the message on one line.
func (f Finding) String() string {
	return f.place.String() + ": " + f.message
}

// List is an ordered collection of findings. It is not safe for concurrent use.
type List struct {
	findings []Finding
}

// Addf adds a finding at place.
func (l *List) Addf(place Position, format string, args ...any) {
	l.findings = append(l.findings, Finding{place: place, message: fmt.Sprintf(format, args...)})
}

// Len returns the number of findings.
func (l *List) Len() int { return len(l.findings) }

// Findings returns the findings sorted by file, line and column.
func (l *List) Findings() []Finding {
	sorted := slices.Clone(l.findings)
	slices.SortStableFunc(sorted, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(a.place.file, b.place.file),
			cmp.Compare(a.place.line, b.place.line),
			cmp.Compare(a.place.column, b.place.column),
		)
	})
	return sorted
}

// Err returns nil for an empty list and otherwise an *Error with all findings.
func (l *List) Err() error {
	if len(l.findings) == 0 {
		return nil
	}
	return &Error{findings: l.Findings()}
}

// Error is a non-empty list of findings as an error.
type Error struct {
	findings []Finding
}

// Findings returns the findings in order.
func (e *Error) Findings() []Finding { return e.findings }

// Error returns one line a finding.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.findings))
	for _, finding := range e.findings {
		lines = append(lines, finding.String())
	}
	return strings.Join(lines, "\n")
}
