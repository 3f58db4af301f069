package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
)

// readStreams reads streams that `go test -json -race` printed for packages of
// the same names below ./pkg.
func readStreams(t *testing.T, names ...string) (*summary, string) {
	t.Helper()
	var all, out bytes.Buffer
	for _, name := range names {
		data, err := os.ReadFile(filepath.Join("testdata", name+".jsonl"))
		assert.NilError(t, err)
		all.Write(data)
	}
	s, err := readEvents(&all, &out)
	assert.NilError(t, err)
	return s, out.String()
}

func list(tests ...string) []entry {
	var entries []entry
	for _, test := range tests {
		dir, name, _ := strings.Cut(test, " ")
		entries = append(entries, entry{Tests: []testID{{dir, name}}, Text: []string{"seen"}})
	}
	return entries
}

// Guards against a failure that is passed over though it is not listed, and
// against a listed failure that fails the check.
func TestVerdict(t *testing.T) {
	for name, c := range map[string]struct {
		streams  []string
		list     []entry
		problems []string
	}{
		"all pass, empty list": {
			streams: []string{"ok"},
		},
		"failure, empty list": {
			streams:  []string{"ok", "fail"},
			problems: []string{"./pkg/fail TestFails: failed and is not listed"},
		},
		"failure, listed": {
			streams: []string{"ok", "fail"},
			list:    list("./pkg/fail TestFails"),
		},
		"failure, another test listed": {
			streams: []string{"fail"},
			list:    list("./pkg/fail TestPasses"),
			problems: []string{
				"./pkg/fail TestFails: failed and is not listed",
				"./pkg/fail TestPasses: listed, but passed; remove the entry",
			},
		},
		"failure, same name listed for another package": {
			streams: []string{"fail", "ok"},
			list:    list("./pkg/ok TestFails"),
			problems: []string{
				"./pkg/fail TestFails: failed and is not listed",
				"./pkg/ok TestFails: listed, but was not run",
			},
		},
		"listed package does not exist": {
			streams:  []string{"ok"},
			list:     list("./pkg/none TestOne"),
			problems: []string{"./pkg/none TestOne: listed, but was not run"},
		},
		"listed test is skipped": {
			streams:  []string{"ok"},
			list:     list("./pkg/ok TestSkipped"),
			problems: []string{"./pkg/ok TestSkipped: listed, but was skipped"},
		},
		"build failure, test listed": {
			streams: []string{"build"},
			list:    list("./pkg/build TestX"),
			problems: []string{
				"./pkg/build: build failed",
				"./pkg/build TestX: listed, but was not run",
			},
		},
		"panic, all failing tests listed": {
			streams:  []string{"panic"},
			list:     list("./pkg/panic TestFails", "./pkg/panic TestPanics"),
			problems: []string{"./pkg/panic: the test binary ended before its tests did"},
		},
		"exit in a test, failing test listed": {
			streams: []string{"exit"},
			list:    list("./pkg/exit TestFails"),
			problems: []string{
				"./pkg/exit: the test binary ended before its tests did",
				"./pkg/exit TestExits: did not end",
			},
		},
		"data race in a listed test": {
			streams: []string{"race"},
			list:    list("./pkg/race TestRaces"),
		},
		"data race in a test, empty list": {
			streams:  []string{"race"},
			problems: []string{"./pkg/race TestRaces: failed and is not listed"},
		},
		"data race outside of a test, failing test listed": {
			streams:  []string{"racebg"},
			list:     list("./pkg/racebg TestFails"),
			problems: []string{"./pkg/racebg: data race outside of a test"},
		},
		"subtest listed, parent failed by itself": {
			streams:  []string{"sub"},
			list:     list("./pkg/sub TestTable/bad_one", "./pkg/sub TestOwn/bad"),
			problems: []string{"./pkg/sub TestOwn: failed and is not listed"},
		},
		"parent listed, subtest not": {
			streams: []string{"sub"},
			list:    list("./pkg/sub TestTable", "./pkg/sub TestOwn", "./pkg/sub TestOwn/bad"),
			problems: []string{
				"./pkg/sub TestTable/bad_one: failed and is not listed",
			},
		},
		"subtest with a slash in its name, listed": {
			streams: []string{"slash"},
			list:    list("./pkg/slash TestTable/a/b@1"),
		},
		"no packages": {
			problems: []string{"go test reported no package"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := readStreams(t, c.streams...)
			got := judge(c.list, s, false)
			assert.DeepEqual(t, got.Problems, c.problems)
		})
	}
}

// Guards against an error of go test itself, which prints no event, being
// taken for success.
func TestVerdictOnErrorWithoutFailure(t *testing.T) {
	s, _ := readStreams(t, "ok")
	got := judge(nil, s, true)
	assert.DeepEqual(t, got.Problems, []string{"go test failed without a failing test"})
}

// Guards against a stream that ends in the middle of a package, as after the
// end of go test by a signal.
func TestVerdictOnTruncatedStream(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("testdata", "fail.jsonl"))
	assert.NilError(t, err)
	lines := bytes.SplitAfter(data, []byte("\n"))
	entries := list("./pkg/fail TestFails")
	for n := 1; n < len(lines)-1; n++ {
		s, err := readEvents(bytes.NewReader(bytes.Join(lines[:n], nil)), &bytes.Buffer{})
		assert.NilError(t, err)
		got := judge(entries, s, true)
		assert.Assert(t, len(got.Problems) > 0, "%d lines", n)
	}
}

// Guards against a list of known failures that hides in the log what failed
// and what passed.
func TestOutputKeepsClosingLinesAndFailures(t *testing.T) {
	s, out := readStreams(t, "ok", "fail", "build")
	assert.Assert(t, is.Contains(out, "ok  \tgithub.com/fescuecourse/fescuecourse/pkg/ok\t"))
	assert.Assert(t, is.Contains(out, "--- FAIL: TestFails"))
	assert.Assert(t, is.Contains(out, "a_test.go:3: want 1, got 2"))
	assert.Assert(t, is.Contains(out, "FAIL\tgithub.com/fescuecourse/fescuecourse/pkg/fail\t"))
	assert.Assert(t, is.Contains(out, "build/a_test.go:3:27: undefined: undefined"))
	assert.Assert(t, !strings.Contains(out, "TestPasses"))
	assert.Assert(t, !strings.Contains(out, "PASS"))

	entries := list("./pkg/fail TestFails")
	text := report(entries, judge(entries, s, true))
	assert.Assert(t, is.Contains(text, "known failures: 1 listed, 1 seen"))
	assert.Assert(t, is.Contains(text, "  known: ./pkg/fail TestFails\n      seen\n"))
	assert.Assert(t, is.Contains(text, "FAIL: ./pkg/build: build failed"))
}

// Guards against a second run of go test whose tests count as missing, or whose failures are
// passed over, because an earlier run had the same package.
func TestVerdictOfSeveralRuns(t *testing.T) {
	assert.DeepEqual(t, runs([]string{"-race", "./...", "--", "-tags", "x", "./e2e"}), [][]string{{"-race", "./..."}, {"-tags", "x", "./e2e"}})
	first := &packageRun{Dir: "./e2e", Result: passed, Tests: map[testID]*testRun{}}
	id := testID{"./e2e", "TestSlow"}
	second := &packageRun{Dir: "./e2e", Result: failed, Completed: true, Tests: map[testID]*testRun{id: {Result: failed}}, order: []testID{id}}
	s := &summary{Packages: []*packageRun{first, second}}
	assert.Equal(t, len(judge(list(id.String()), s, true).Problems), 0)
	assert.Equal(t, len(judge(nil, s, true).Problems), 1)
}
