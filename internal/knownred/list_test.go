package main

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
)

// Guards against entries that are lost or run together.
func TestParseList(t *testing.T) {
	const text = `Known failures.
Any text before the first entry.

test: ./pkg/a TestOne
test: ./pkg/a TestTwo/case_3
go test ./pkg/a, seed 4
issue 7

test: ./e2e TestThree
seen once
`
	got, err := parseList(strings.NewReader(text))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, []entry{
		{
			Tests: []testID{{"./pkg/a", "TestOne"}, {"./pkg/a", "TestTwo/case_3"}},
			Text:  []string{"go test ./pkg/a, seed 4", "issue 7"},
		},
		{Tests: []testID{{"./e2e", "TestThree"}}, Text: []string{"seen once"}},
	})
}

// Guards against a list that is only an introduction being refused.
func TestParseEmptyList(t *testing.T) {
	got, err := parseList(strings.NewReader("Known failures.\n\nNone.\n"))
	assert.NilError(t, err)
	assert.Equal(t, len(got), 0)
}

// Guards against a mistyped entry that is taken for text, so that the list
// says something else than the check reads.
func TestParseListRefuses(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"no package":     {"test: TestOne\nseen\n", "malformed head"},
		"import path":    {"test: example.test/m/a TestOne\nseen\n", "malformed head"},
		"text in head":   {"test: ./pkg/a TestOne seen\nseen\n", "malformed head"},
		"indented":       {" test: ./pkg/a TestOne\nseen\n", "malformed head"},
		"capital letter": {"Test: ./pkg/a TestOne\nseen\n", "malformed head"},
		"no description": {"test: ./pkg/a TestOne\n\ntest: ./pkg/a TestTwo\nseen\n", "no description"},
		"at the end":     {"test: ./pkg/a TestOne\n", "no description"},
		"listed twice":   {"test: ./pkg/a TestOne\nseen\n\ntest: ./pkg/a TestOne\nseen\n", "listed twice"},
		"stray text":     {"test: ./pkg/a TestOne\nseen\n\ntests: ./pkg/a TestTwo\nseen\n", "outside of an entry"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := parseList(strings.NewReader(c.text))
			assert.Assert(t, is.ErrorContains(err, c.want))
		})
	}
}

// Guards against a list in the repository that CI can't read.
func TestRepositoryListParses(t *testing.T) {
	_, err := readList("../../KNOWN-RED.txt")
	assert.NilError(t, err)
}
