package config_test

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/config"
	"github.com/fescuecourse/fescuecourse/pkg/findings"
)

type numbers struct {
	ratio float64
	count int
	grace time.Duration
}

func parseNumbers(t *testing.T, text string) (numbers, error) {
	t.Helper()
	var n numbers
	s := config.NewSet("test", io.Discard)
	s.Float64Var(&n.ratio, "ratio", 0.5, "")
	s.IntVar(&n.count, "count", 3, "")
	s.DurationVar(&n.grace, "grace", time.Second, "")
	err := s.Parse([]string{"-config", write(t, text)})
	return n, err
}

// Guards against a process that does not start because a template renders a figure as a
// fraction or with an exponent.
func TestNumbersInEveryForm(t *testing.T) {
	for _, c := range []struct {
		text string
		want numbers
	}{
		{"", numbers{ratio: 0.5, count: 3, grace: time.Second}},
		{"ratio = 38\ncount = 38\ngrace = 8s\n", numbers{ratio: 38, count: 38, grace: 8 * time.Second}},
		{"ratio = 38.25\ncount = 38.0\ngrace = 8.5s\n", numbers{ratio: 38.25, count: 38, grace: 8500 * time.Millisecond}},
		{"ratio = 3.825e+01\ncount = 3.8e1\ngrace = 8.5e+00s\n", numbers{ratio: 38.25, count: 38, grace: 8500 * time.Millisecond}},
		{"ratio = 1e-3\ncount = 0\ngrace = 1.5E3ms\n", numbers{ratio: 0.001, count: 0, grace: 1500 * time.Millisecond}},
		{"grace = 1h30m\n", numbers{ratio: 0.5, count: 3, grace: 90 * time.Minute}},
	} {
		got, err := parseNumbers(t, c.text)
		assert.NilError(t, err, c.text)
		assert.Equal(t, got, c.want, c.text)
	}
}

// Guards against a wrong number that is accepted, or reported without its setting and its
// value.
func TestWrongNumbers(t *testing.T) {
	for _, c := range []struct{ name, value, want string }{
		{"ratio", "much", "finite number"},
		{"ratio", "NaN", "finite number"},
		{"ratio", "inf", "finite number"},
		{"ratio", "1e999", "finite number"},
		{"ratio", "", "finite number"},
		{"count", "7.5", "whole number"},
		{"count", "1e300", "whole number"},
		{"count", "-1e17", "whole number"},
		{"grace", "8", "duration"},
		{"grace", "s", "duration"},
		{"grace", "1e400s", "duration"},
		{"grace", "1e30s", "duration"},
		{"grace", "8e0 days", "duration"},
	} {
		_, err := parseNumbers(t, fmt.Sprintf("%s = %s\n", c.name, c.value))
		var list findings.List
		assert.Assert(t, errors.As(err, &list), "%+v", c)
		assert.Equal(t, len(list), 1)
		assert.Equal(t, list[0].Line, 1)
		assert.ErrorContains(t, err, fmt.Sprintf("setting %q", c.name))
		assert.ErrorContains(t, err, fmt.Sprintf("%q", c.value))
		assert.ErrorContains(t, err, c.want)
	}
}

// Guards against a number outside its range whose finding does not say what the value is.
func TestFindingNamesTheValue(t *testing.T) {
	var n numbers
	s := config.NewSet("test", io.Discard)
	s.Float64Var(&n.ratio, "ratio", 0.5, "")
	assert.NilError(t, s.Parse([]string{"-config", write(t, "ratio = 1.5e2\n")}))
	s.Requiref(n.ratio <= 1, "ratio", "must be between 0 and 1")
	assert.ErrorContains(t, s.Err(), `setting "ratio" is "150": must be between 0 and 1`)
}
