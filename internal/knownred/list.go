package main

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
)

// testID names a test by the directory of its package, relative to the root of
// the repository, and its full name, with the subtest if there is one.
type testID struct {
	Package string
	Name    string
}

// String returns the form in which the list names the test.
func (t testID) String() string {
	return t.Package + " " + t.Name
}

// entry is one known failure: the tests that show it and a description.
type entry struct {
	Tests []testID
	Text  []string
}

const headPrefix = "test:"

var headLine = regexp.MustCompile(`^test: (\./[\w./-]+) ((?:Test|Fuzz|Example)\S*)$`)

// parseList reads the list of known failures. Lines before the first entry are
// an introduction. An entry is one or more head lines, each `test: ./package
// TestName`, and at least one line of text; blank lines separate entries.
func parseList(r io.Reader) ([]entry, error) {
	p := listParser{seen: map[testID]bool{}}
	lines := bufio.NewScanner(r)
	for n := 1; lines.Scan(); n++ {
		if err := p.line(strings.TrimRight(lines.Text(), " \t")); err != nil {
			return nil, errors.Wrapf(err, "line %d", n)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	if err := p.closeEntry(); err != nil {
		return nil, err
	}
	return p.entries, nil
}

type listParser struct {
	entries []entry
	open    *entry
	seen    map[testID]bool
}

func (p *listParser) line(line string) error {
	switch {
	case line == "":
		return p.closeEntry()
	case strings.HasPrefix(strings.ToLower(strings.TrimSpace(line)), headPrefix):
		return p.head(line)
	case p.open != nil:
		p.open.Text = append(p.open.Text, line)
		return nil
	case len(p.entries) > 0:
		return fmt.Errorf("text outside of an entry: %q", line)
	default:
		return nil
	}
}

func (p *listParser) head(line string) error {
	m := headLine.FindStringSubmatch(line)
	if m == nil {
		return fmt.Errorf("malformed head %q, want %q", line, "test: ./package TestName")
	}
	id := testID{m[1], m[2]}
	if p.seen[id] {
		return fmt.Errorf("%s is listed twice", id)
	}
	p.seen[id] = true
	if p.open != nil && len(p.open.Text) > 0 {
		if err := p.closeEntry(); err != nil {
			return err
		}
	}
	if p.open == nil {
		p.open = &entry{}
	}
	p.open.Tests = append(p.open.Tests, id)
	return nil
}

func (p *listParser) closeEntry() error {
	if p.open == nil {
		return nil
	}
	if len(p.open.Text) == 0 {
		return fmt.Errorf("%s has no description", p.open.Tests[0])
	}
	p.entries = append(p.entries, *p.open)
	p.open = nil
	return nil
}
