package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// modulePath is the import path of the root of the repository.
const modulePath = "github.com/fescuecourse/fescuecourse"

// maxEventBytes bounds one line of the event stream.
const maxEventBytes = 16 << 20

// event is one line that `go test -json` prints (see `go doc test2json`).
type event struct {
	Action      string
	Package     string
	ImportPath  string
	Test        string
	Output      string
	FailedBuild string
}

// result is how a test ended.
type result int

const (
	unfinished result = iota
	passed
	failed
	skipped
)

// testRun is what a stream says about one test.
type testRun struct {
	Result result
	// Failures counts the subtests that failed.
	Failures int
	// OwnOutput says that the test printed something outside of its subtests.
	OwnOutput bool
	output    strings.Builder
}

// packageRun is what a stream says about the tests of one package.
type packageRun struct {
	Dir    string
	Result result
	// Completed says that the test binary ran to its end. It does not after a
	// panic, a timeout or a call to os.Exit.
	Completed bool
	// RaceOutside says that a data race was reported outside of every test.
	RaceOutside bool
	FailedBuild string
	Tests       map[testID]*testRun
	order       []testID
	output      strings.Builder
}

// summary is what a stream says about all packages.
type summary struct {
	Packages []*packageRun
	byImport map[string]*packageRun
}

// readEvents reads the output of `go test -json` and writes to out what
// `go test` prints without -json: one line for each package that passed, and
// the output of the tests that failed.
func readEvents(r io.Reader, out io.Writer) (*summary, error) {
	s := &summary{byImport: map[string]*packageRun{}}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		var e event
		if err := json.Unmarshal(line, &e); err != nil {
			return nil, errors.Wrapf(err, "event %q", line)
		}
		s.add(e, out)
	}
	return s, lines.Err()
}

func (s *summary) add(e event, out io.Writer) {
	switch {
	case e.Package == "":
		fmt.Fprint(out, e.Output)
	case e.Test == "":
		s.pkg(e.Package).addPackageEvent(e, out)
	default:
		s.pkg(e.Package).addTestEvent(e)
	}
}

func (s *summary) pkg(importPath string) *packageRun {
	if p, ok := s.byImport[importPath]; ok {
		return p
	}
	p := &packageRun{Dir: directory(importPath), Tests: map[testID]*testRun{}}
	s.byImport[importPath] = p
	s.Packages = append(s.Packages, p)
	return p
}

// directory returns the directory of a package relative to the root of the
// repository. A package that does not exist is named by the pattern that
// `go test` was given.
func directory(importPath string) string {
	if dir, ok := strings.CutPrefix(importPath, modulePath); ok {
		return "." + dir
	}
	return importPath
}

func (p *packageRun) addPackageEvent(e event, out io.Writer) {
	switch e.Action {
	case "output":
		p.addOutput(e.Output)
	case "pass", "skip":
		p.Result = passed
		fmt.Fprint(out, lastLine(p.output.String()))
	case "fail":
		p.Result = failed
		p.FailedBuild = e.FailedBuild
		p.print(out)
	}
}

func (p *packageRun) addOutput(line string) {
	p.output.WriteString(line)
	// The testing package prints this line once all tests have ended.
	if line == "FAIL\n" {
		p.Completed = true
	}
	if strings.HasPrefix(line, "WARNING: DATA RACE") {
		p.RaceOutside = true
	}
}

// print writes the output of the tests that did not pass and of the package.
func (p *packageRun) print(out io.Writer) {
	for _, id := range p.order {
		if t := p.Tests[id]; t.Result == failed || t.Result == unfinished {
			fmt.Fprint(out, t.output.String())
		}
	}
	fmt.Fprint(out, p.output.String())
}

func (p *packageRun) addTestEvent(e event) {
	id := testID{p.Dir, e.Test}
	t := p.test(id)
	switch e.Action {
	case "output":
		t.addOutput(e.Output)
	case "pass":
		t.Result = passed
		t.output.Reset()
	case "skip":
		t.Result = skipped
		t.output.Reset()
	case "fail":
		t.Result = failed
		if parent := p.parent(id); parent != nil {
			parent.Failures++
		}
	}
}

func (p *packageRun) test(id testID) *testRun {
	if t, ok := p.Tests[id]; ok {
		return t
	}
	t := &testRun{}
	p.Tests[id] = t
	p.order = append(p.order, id)
	return t
}

// parent returns the test of which id is a subtest, or nil. The name of a subtest may
// contain slashes itself, so not every prefix is a test.
func (p *packageRun) parent(id testID) *testRun {
	name := id.Name
	for {
		i := strings.LastIndexByte(name, '/')
		if i < 0 {
			return nil
		}
		name = name[:i]
		if t, ok := p.Tests[testID{id.Package, name}]; ok {
			return t
		}
	}
}

func (t *testRun) addOutput(line string) {
	t.output.WriteString(line)
	if !isFraming(line) {
		t.OwnOutput = true
	}
}

// isFraming reports whether the testing package printed the line to mark the
// start, a pause or the end of a test.
func isFraming(line string) bool {
	line = strings.TrimSpace(line)
	return line == "" || strings.HasPrefix(line, "=== ") || strings.HasPrefix(line, "--- ")
}

func lastLine(text string) string {
	trimmed := strings.TrimSuffix(text, "\n")
	return text[strings.LastIndexByte(trimmed, '\n')+1:]
}
