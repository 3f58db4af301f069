package bundle

import (
	"cmp"
	"slices"
	"strings"

	"github.com/fescuecourse/fescuecourse/pkg/findings"
)

// Key is one key of a section with its value. Line is its line in the source text.
type Key struct {
	Name  string
	Value string
	Line  int
}

// Section is one section of a bundle's text. Line is the line of its header.
type Section struct {
	Kind string
	Name string
	Line int
	Keys []Key
}

// Title returns the section header without brackets: the kind, followed by the
// name in quotes if there is one.
func (s *Section) Title() string {
	if s.Name == "" {
		return s.Kind
	}
	return s.Kind + ` "` + s.Name + `"`
}

// scan reads INI text line by line and passes each section to yield. It reuses the
// section after yield returns. A general INI parser keeps all sections in memory,
// which for 98,000 adapters is more than a node may use.
func scan(file, text string, found *findings.List, yield func(*Section)) {
	s := &Section{}
	line := 0
	for row := range strings.Lines(text) {
		line++
		row = stripComment(row)
		switch {
		case row == "":
		case row[0] == '[':
			yieldSection(s, yield)
			header, ok := strings.CutSuffix(row[1:], "]")
			if !ok {
				found.Addf(file, line, "section header has no closing bracket")
			}
			kind, name := splitSection(strings.TrimSpace(header))
			if strings.ContainsAny(name, "\"[]") {
				found.Addf(file, line, "section name must not contain quotes or brackets")
			}
			*s = Section{Kind: kind, Name: name, Line: line, Keys: s.Keys[:0]}
		default:
			scanKey(file, row, line, found, s)
		}
	}
	yieldSection(s, yield)
}

// Scan passes each section of a stored part to yield, which must not retain it.
// Stored parts are well-formed, so Scan reports no findings.
func Scan(text string, yield func(*Section)) {
	var found findings.List
	scan("part", text, &found, yield)
}

func yieldSection(s *Section, yield func(*Section)) {
	if s.Line > 0 {
		yield(s)
	}
}

func scanKey(file, row string, line int, found *findings.List, s *Section) {
	name, value, ok := strings.Cut(row, "=")
	name = strings.TrimSpace(name)
	value = strings.TrimSpace(value)
	// The canonical form has a space before the value, so a value that starts with
	// a comment character would be read as a comment there. Do the same here.
	if value != "" && (value[0] == ';' || value[0] == '#') {
		value = ""
	}
	switch {
	case !ok || name == "":
		found.Addf(file, line, "line must be a section or key = value")
	case s.Line == 0:
		found.Addf(file, line, "key %q is outside of a section", name)
	case slices.ContainsFunc(s.Keys, func(k Key) bool { return k.Name == name }):
		found.Addf(file, line, "[%s] %s: key is set twice", s.Title(), name)
	default:
		s.Keys = append(s.Keys, Key{Name: name, Value: value, Line: line})
	}
}

// stripComment removes a comment and surrounding white space. A comment starts with
// ';' or '#' at the start of a line or after a space or tab.
func stripComment(row string) string {
	row = strings.TrimSpace(row)
	for i := 0; i < len(row); i++ {
		if (row[i] == ';' || row[i] == '#') && (i == 0 || row[i-1] == ' ' || row[i-1] == '\t') {
			return strings.TrimSpace(row[:i])
		}
	}
	return row
}

// splitSection splits a section header into kind and name, and removes the quotes
// around the name.
func splitSection(section string) (kind, name string) {
	kind, name, _ = strings.Cut(section, " ")
	name = strings.TrimSpace(name)
	if len(name) >= 2 && name[0] == '"' && name[len(name)-1] == '"' {
		name = name[1 : len(name)-1]
	}
	return kind, strings.TrimSpace(name)
}

// kinds lists the section kinds in canonical order.
var kinds = []string{kindBundle, kindDeployment, kindReviewer, kindTeam, kindAdapter, kindService, kindRoute}

// Section kinds.
const (
	kindBundle     = "bundle"
	kindDeployment = "deployment"
	kindReviewer   = "reviewer"
	kindTeam       = "team"
	kindAdapter    = "adapter"
	kindService    = "service"
	kindRoute      = "route"
)

// Sections returns the sections of a text in canonical order: by kind, then by
// name, with keys sorted by name.
func Sections(file, text string) ([]Section, findings.List) {
	var out []Section
	var found findings.List
	scan(file, text, &found, func(s *Section) {
		c := *s
		c.Keys = slices.Clone(s.Keys)
		slices.SortFunc(c.Keys, func(a, b Key) int { return cmp.Compare(a.Name, b.Name) })
		out = append(out, c)
	})
	slices.SortStableFunc(out, compareSections)
	return out, found
}

func compareSections(a, b Section) int {
	if c := cmp.Compare(slices.Index(kinds, a.Kind), slices.Index(kinds, b.Kind)); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Kind, b.Kind); c != 0 {
		return c
	}
	return cmp.Compare(a.Name, b.Name)
}

// Format returns the text of sections in the given order.
func Format(sections []Section) string {
	var b strings.Builder
	for i := range sections {
		if i > 0 {
			b.WriteByte('\n')
		}
		writeSection(&b, &sections[i])
	}
	return b.String()
}

func writeSection(b *strings.Builder, s *Section) {
	b.WriteByte('[')
	b.WriteString(s.Title())
	b.WriteString("]\n")
	for _, k := range s.Keys {
		b.WriteString(k.Name)
		b.WriteString(" = ")
		b.WriteString(k.Value)
		b.WriteByte('\n')
	}
}

// Canonical returns the canonical form of a text: sections and keys sorted as in
// Sections, uniform spacing and no comments.
func Canonical(file, text string) (string, findings.List) {
	sections, found := Sections(file, text)
	return Format(sections), found
}
