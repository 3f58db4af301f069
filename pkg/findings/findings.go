// Package findings collects validation errors with file and line, so that all of them
// can be reported together.
package findings

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one validation error. Lines count from 1; 0 means that the line is not
// known.
type Finding struct {
	File string `json:"file"`
	Line int    `json:"line"`
	Text string `json:"text"`
}

// String returns file:line: text. The line is left out if it is not known.
func (f Finding) String() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s", f.File, f.Text)
	}
	return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Text)
}

// List is a list of findings. It implements error; use Err to get nil for an empty
// list.
type List []Finding

// Addf appends a finding with a formatted text.
func (l *List) Addf(file string, line int, format string, args ...any) {
	*l = append(*l, Finding{File: file, Line: line, Text: fmt.Sprintf(format, args...)})
}

// Err returns the list as an error, or nil if it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Sort orders the findings by file and line.
func (l List) Sort() {
	sort.SliceStable(l, func(i, j int) bool {
		if l[i].File != l[j].File {
			return l[i].File < l[j].File
		}
		return l[i].Line < l[j].Line
	})
}

// Error returns all findings, one per line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
